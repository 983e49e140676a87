"""Infers from the results of all calls which servers are reachable; free of I/O and clocks.

A router process of a large fleet makes few calls to any single server, so each result also counts for the
server's zone. A zone is considered partitioned while connections to several of its servers time out and none
of its servers answers. All times are in ms of the caller's clock; -inf means never.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import islice
from math import inf

FAILURE_TTL_MS = 3_000.0  # how long a time-out counts; network links recover within seconds
INITIAL_REFUSAL_TTL_MS = 1_000.0  # doubled by each consecutive refusal; processes start within seconds
MAX_REFUSAL_TTL_MS = 30_000.0  # reached by servers that are down for good but still listed
MAX_REFUSAL_DOUBLINGS = 8
# The set of unreachable servers is cached for this time, because its computation visits all servers. An
# expired failure may count this much longer.
CACHE_TTL_MS = 20.0
MIN_TIMED_OUT_SERVERS = 2  # fewer don't show that a zone is partitioned; one server may itself be down


@dataclass(slots=True)
class ServerHistory:
    """The latest results of calls to one server."""

    zone: int = -1
    last_contact_ms: float = -inf  # when its process answered or its machine accepted a connection
    last_answer_ms: float = -inf  # when its process answered
    last_timeout_ms: float = -inf  # when a connection was not established or a call not answered in time
    last_refusal_ms: float = -inf  # when its machine refused a connection because no process listens
    consecutive_refusals: int = 0

    def is_unreachable(self, now_ms: float) -> bool:
        """Whether a connection is likely to fail, judging by this server's results alone."""
        timed_out = (
            self.last_timeout_ms > self.last_contact_ms and now_ms - self.last_timeout_ms < FAILURE_TTL_MS
        )
        doublings = min(self.consecutive_refusals - 1, MAX_REFUSAL_DOUBLINGS)
        refusal_ttl_ms = min(MAX_REFUSAL_TTL_MS, INITIAL_REFUSAL_TTL_MS * 2**doublings)
        return timed_out or (
            self.last_refusal_ms > self.last_contact_ms and now_ms - self.last_refusal_ms < refusal_ttl_ms
        )


@dataclass(slots=True)
class ZoneHistory:
    """The latest results of calls to the servers of one zone."""

    last_contact_ms: float = -inf
    timeouts_ms: dict[str, float] = field(default_factory=dict)  # latest time-out by server, until a contact


class Reachability:
    """Collects the results of calls by server name.

    Results of servers that are not in the endpoint list are ignored.
    """

    def __init__(self, own_zone: int = -1) -> None:
        """`own_zone`: the zone of this process, whose servers a partition between zones leaves reachable."""
        self._own_zone = own_zone
        self._histories: dict[str, ServerHistory] = {}
        self._zones: dict[int, ZoneHistory] = {}
        self._zone_servers = defaultdict[int, dict[str, None]](dict)
        self._failed = dict[str, None]()  # servers whose latest result may be a failure
        self._reached = dict[str, None]()  # servers with a contact, the latest one last
        self._changed_ms = -inf  # when a server last became unreachable, or reachable again
        self._cached_at_ms = -inf
        self._cached_unreachable = frozenset[str]()

    def update_servers(self, servers: Iterable[tuple[str, int]]) -> None:
        """Set the endpoint list, as pairs of server and zone; results of other servers are dropped."""
        listed = dict(servers)
        for server in [each for each in self._histories if each not in listed]:
            self.update_server(server, None)
        for server, zone in listed.items():
            self.update_server(server, zone)

    def update_server(self, server: str, zone: int | None) -> None:
        """Set the zone of one server; None if it is not in the endpoint list, which drops its results."""
        history = self._histories.get(server)
        if history is not None and history.zone != zone:
            self._zone_servers[history.zone].pop(server, None)
            if history.zone in self._zones:
                self._zones[history.zone].timeouts_ms.pop(server, None)
        if zone is None:
            self._histories.pop(server, None)
            self._failed.pop(server, None)
            self._reached.pop(server, None)
            return
        if history is None:
            history = self._histories[server] = ServerHistory()
        history.zone = zone
        self._zone_servers[zone][server] = None

    def record_answer(self, server: str, now_ms: float) -> None:
        """Record that the server's process has answered a call."""
        self.record_connection(server, now_ms)
        if (history := self._histories.get(server)) is not None:
            history.last_answer_ms = now_ms

    def record_connection(self, server: str, now_ms: float) -> None:
        """Record an established connection: the machine is reachable, although the process may hang."""
        if (history := self._histories.get(server)) is not None:
            if max(history.last_timeout_ms, history.last_refusal_ms) > history.last_contact_ms:
                self._changed_ms = now_ms
            history.last_contact_ms = now_ms
            history.consecutive_refusals = 0
            self._failed.pop(server, None)
            self._reached.pop(server, None)
            self._reached[server] = None
            zone_history = self._zone_history(history)
            zone_history.last_contact_ms = now_ms
            zone_history.timeouts_ms.pop(server, None)

    def record_timeout(self, server: str, now_ms: float) -> None:
        """Record that a connection was not established, or a small call not answered, in time."""
        if (history := self._histories.get(server)) is not None:
            self._changed_ms = now_ms
            history.last_timeout_ms = now_ms
            self._failed[server] = None
            timeouts_ms = self._zone_history(history).timeouts_ms
            timeouts_ms.pop(server, None)  # the latest one stands last
            timeouts_ms[server] = now_ms

    def record_refusal(self, server: str, now_ms: float) -> None:
        """Record a refused connection: no process listens, which does not count for the zone."""
        if (history := self._histories.get(server)) is not None:
            self._changed_ms = now_ms
            history.last_refusal_ms = now_ms
            self._failed[server] = None
            history.consecutive_refusals += 1

    def last_contact_ms(self, server: str) -> float:
        """When the server last answered or accepted a connection."""
        history = self._histories.get(server)
        return -inf if history is None else history.last_contact_ms

    def last_answer_ms(self, server: str) -> float:
        """When the server's process last answered."""
        history = self._histories.get(server)
        return -inf if history is None else history.last_answer_ms

    def latest_reached(self) -> Iterator[str]:
        """The listed servers that have been reached, the latest contact first."""
        return reversed(self._reached)

    def is_in_own_zone(self, server: str) -> bool:
        """Whether a listed server is in the zone of this process."""
        history = self._histories.get(server)
        return history is not None and history.zone == self._own_zone

    def most_recently_reached(self, servers: Iterable[str]) -> str | None:
        """The listed server with the latest contact, or None; the own zone is preferred among equals."""
        listed = [server for server in servers if server in self._histories]
        return max(listed, key=self._contact_rank) if listed else None

    def is_likely_unreachable(self, server: str, now_ms: float) -> bool:
        """Whether a call is likely to fail, judging by the results of the server and its zone."""
        history = self._histories.get(server)
        if history is None:
            return True
        return history.is_unreachable(now_ms) or self.is_zone_partitioned(history.zone, now_ms)

    def unreachable_servers(self, now_ms: float) -> frozenset[str]:
        """All servers to which connections are likely to fail, judging by their and their zones' results.

        A server that keeps refusing connections is included for increasing times, because the endpoint list
        that should remove it may be out of date. The returned set is cached for `CACHE_TTL_MS`, unless the
        result of a call changes it.
        """
        if self._changed_ms > self._cached_at_ms or now_ms - self._cached_at_ms >= CACHE_TTL_MS:
            self._cached_at_ms = now_ms
            self._cached_unreachable = self._find_unreachable(now_ms)
        return self._cached_unreachable

    def is_zone_partitioned(self, zone: int, now_ms: float) -> bool:
        """Whether several servers of the zone have timed out recently and none has been reached since."""
        zone_history = self._zones.get(zone)
        if zone_history is None:
            return False
        since_ms = max(now_ms - FAILURE_TTL_MS, zone_history.last_contact_ms)
        latest_ms = islice(reversed(zone_history.timeouts_ms.values()), MIN_TIMED_OUT_SERVERS)
        return sum(at_ms > since_ms for at_ms in latest_ms) >= MIN_TIMED_OUT_SERVERS

    def _find_unreachable(self, now_ms: float) -> frozenset[str]:
        if now_ms - self._changed_ms > MAX_REFUSAL_TTL_MS:  # all failures have expired
            return frozenset()
        for zone_history in self._zones.values():
            zone_history.timeouts_ms = {
                server: at_ms
                for server, at_ms in zone_history.timeouts_ms.items()
                if now_ms - at_ms < FAILURE_TTL_MS
            }
        partitioned = {zone for zone in self._zones if self.is_zone_partitioned(zone, now_ms)}
        # An expired failure does not count again without another one.
        self._failed = {each: None for each in self._failed if self._histories[each].is_unreachable(now_ms)}
        return frozenset(self._failed).union(*(self._zone_servers[zone] for zone in partitioned))

    def _contact_rank(self, server: str) -> tuple[float, bool]:
        history = self._histories[server]
        return history.last_contact_ms, history.zone == self._own_zone

    def _zone_history(self, history: ServerHistory) -> ZoneHistory:
        """The history of a server's zone, created by the zone's first result."""
        if (zone_history := self._zones.get(history.zone)) is None:
            zone_history = self._zones[history.zone] = ZoneHistory()
        return zone_history
