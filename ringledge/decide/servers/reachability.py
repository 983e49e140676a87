"""Which servers can be reached now, by what all calls to them have met; free of I/O and clocks.

Each conductor of a large fleet hears little of any one server, so what is met counts for its place too: while
connections to several servers of a zone never come up and none of that zone answers, the zone is cut off.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

EXPIRY_MS = 3_000.0  # a failure older than this says nothing: links come back within seconds
REFUSED_MS = 1_000.0  # for how long one refusal counts, doubled with each: a process starts within seconds
MAX_REFUSED_MS = 30_000.0  # what that grows to: who is gone for good refuses until the list says so
CACHE_MS = 20.0  # a silence that has faded may count so much longer: looking costs a walk over all servers
MIN_SILENT = 2  # servers of a zone that must be silent for it to count as cut off: one may be down itself


@dataclass(slots=True)
class ServerHistory:
    """What was met last at one server; times in ms of the caller's clock, -inf for never."""

    zone: int = -1
    heard_ms: float = -inf  # its process answered, or its machine took a connection
    answered_ms: float = -inf  # its process answered
    silent_ms: float = -inf  # a connection never came up, or a call got no answer
    refused_ms: float = -inf  # its machine is there, but no process listens
    refusals: int = 0  # in a row

    def unreachable(self, now_ms: float) -> bool:
        """Whether a connection there is likely to fail, by what was met at the server itself."""
        silent = self.silent_ms > self.heard_ms and now_ms - self.silent_ms < EXPIRY_MS
        refused_ms = min(MAX_REFUSED_MS, REFUSED_MS * 2 ** min(self.refusals - 1, 8))
        return silent or (self.refused_ms > self.heard_ms and now_ms - self.refused_ms < refused_ms)


@dataclass(slots=True)
class ZoneHistory:
    """What was met last in one zone."""

    heard_ms: float = -inf
    silent: dict[str, float] = field(default_factory=dict)  # servers that were silent since, and when


class Reachability:
    """Keeps what was met at each server, by its name in the list."""

    def __init__(self, zone: int = -1) -> None:
        """`zone`: our own, which no cut between zones keeps from us."""
        self._own = zone
        self._histories: dict[str, ServerHistory] = {}
        self.changed_ms = -inf  # when a silence began or ended
        self._told_ms, self._told = -inf, frozenset[str]()
        self._zones: dict[int, ZoneHistory] = {}

    def listed(self, servers: Iterable[tuple[str, int]]) -> None:
        """Take the list over: each server with its zone; what is known of others is dropped."""
        old, self._histories = self._histories, {}
        for server, zone in servers:
            history = self._histories[server] = old.get(server, ServerHistory())
            history.zone = zone
        for told in self._zones.values():
            silent = told.silent.items()
            told.silent = {server: at_ms for server, at_ms in silent if server in self._histories}

    def heard(self, server: str, now_ms: float) -> None:
        """The server has answered something."""
        self.connected(server, now_ms)
        if (history := self._histories.get(server)) is not None:
            history.answered_ms = now_ms

    def connected(self, server: str, now_ms: float) -> None:
        """A connection came up: the server's machine is there, though its process may hang."""
        if (history := self._histories.get(server)) is not None:
            if max(history.silent_ms, history.refused_ms) > history.heard_ms:
                self.changed_ms = now_ms
            history.heard_ms, history.refusals = now_ms, 0
            zone = self._zone(history)
            zone.heard_ms = now_ms
            zone.silent.pop(server, None)

    def silent(self, server: str, now_ms: float) -> None:
        """A connection never came up, or a small call was not answered in time."""
        if (history := self._histories.get(server)) is not None:
            history.silent_ms = self.changed_ms = now_ms
            self._zone(history).silent[server] = now_ms

    def refused(self, server: str, now_ms: float) -> None:
        """No process listens there: that tells of the server alone."""
        if (history := self._histories.get(server)) is not None:
            history.refused_ms = self.changed_ms = now_ms
            history.refusals += 1

    def heard_ms(self, server: str) -> float:
        """When the server answered last."""
        history = self._histories.get(server)
        return -inf if history is None else history.heard_ms

    def answered_ms(self, server: str) -> float:
        """When the server's process answered last."""
        history = self._histories.get(server)
        return -inf if history is None else history.answered_ms

    def surest(self, servers: Iterable[str]) -> str | None:
        """The server that answered last; where none ever has, one of our own zone."""
        known = [(self._histories[server], server) for server in servers if server in self._histories]
        best = max(known, key=lambda each: (each[0].heard_ms, each[0].zone == self._own), default=None)
        return None if best is None else best[1]

    def doubtful(self, server: str, now_ms: float) -> bool:
        """Whether a call there would likely get no answer: by its own history, or its zone is cut off."""
        history = self._histories.get(server)
        if history is None:
            return True
        return history.unreachable(now_ms) or self.cut_off(history.zone, now_ms)

    def silences(self, now_ms: float) -> frozenset[str]:
        """All servers that connections don't reach: those tried in vain lately, and whose zone is cut off.

        One that refuses is left alone ever longer: the list that should say that it is gone may not come.
        """
        if self.changed_ms <= self._told_ms and now_ms - self._told_ms < CACHE_MS:
            return self._told
        self._told_ms, self._told = now_ms, self._silences(now_ms)
        return self._told

    def _silences(self, now_ms: float) -> frozenset[str]:
        if now_ms - self.changed_ms > MAX_REFUSED_MS:  # nothing is remembered for so long: no walk
            return frozenset()
        for told in self._zones.values():
            told.silent = {s: at_ms for s, at_ms in told.silent.items() if now_ms - at_ms < EXPIRY_MS}
        cut = {zone for zone in self._zones if self.cut_off(zone, now_ms)}
        return frozenset(
            server
            for server, history in self._histories.items()
            if history.zone in cut or history.unreachable(now_ms)
        )

    def cut_off(self, zone: int, now_ms: float) -> bool:
        """Whether several servers of the zone were silent lately, and none of the zone was heard since."""
        told = self._zones.get(zone)
        if told is None:
            return False
        since_ms = max(now_ms - EXPIRY_MS, told.heard_ms)
        return sum(at_ms > since_ms for at_ms in told.silent.values()) >= MIN_SILENT

    def _zone(self, history: ServerHistory) -> ZoneHistory:
        if (zone := self._zones.get(history.zone)) is None:
            zone = self._zones[history.zone] = ZoneHistory()
        return zone
