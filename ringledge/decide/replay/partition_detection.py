"""Detects when a site is partitioned or saturated, as its conductors see it.

Partitioned: they reach no prefill or no decode server; saturated: none that has capacity. Free of I/O and
clocks; times in s.

Each conductor observes the servers and publishes its own state to the others of its site; the site counts as
partitioned only where all that have reported say so. The state is entered soon, so that requests are queued;
it is left only after a response from a server, for a recorded failure that merely expired proves nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from math import inf

import msgspec

PARTITIONED_AFTER_S = 0.5  # without servers: a first server list and a connect time-out take less
SATURATED_AFTER_S = 2.0  # without capacity: a jam of a second is what rejections are for
SATURATED_REJECTIONS = 3  # in a row, none served: one rejection may be the request's own (its time, its size)
AVAILABLE_AFTER_S = 2.0  # with servers and capacity: a link that is up for a moment changes nothing
PEER_STATE_TTL_S = 5.0  # after which another conductor's state expires


class SiteReachability(msgspec.Struct, array_like=True, frozen=True):
    """The state of a site as one conductor reports it (key reach/SITE)."""

    state: int  # a value of `SiteState`


class SiteState(Enum):
    """Whether a site can serve live requests; lower values are better."""

    AVAILABLE = 0
    SATURATED = 1
    PARTITIONED = 2

    @property
    def label(self) -> str:
        """The state's name in logs."""
        return _LABELS[self]


_LABELS = {SiteState.AVAILABLE: "open", SiteState.SATURATED: "short", SiteState.PARTITIONED: "cut_off"}


@dataclass(slots=True, frozen=True)
class ServerReachability:
    """One server as a conductor sees it at a moment."""

    does_prefill: bool
    does_decode: bool
    reachable: bool  # listed as up, and connections succeed
    has_capacity: bool  # it may get a new request
    last_response_s: float  # -inf: never


@dataclass(slots=True)
class _ConditionTimer:
    """For how long a condition has held without interruption."""

    since_s: float = inf

    def update(self, now_s: float, holds: bool) -> float:
        """The time for which the condition has held, in s; 0 where it does not hold."""
        if not holds:
            self.since_s = inf
            return 0.0
        self.since_s = min(self.since_s, now_s)
        return now_s - self.since_s


class PartitionDetector:
    """One conductor's view of its site."""

    def __init__(self) -> None:
        self.own_state = SiteState.AVAILABLE
        self.changed_s = -inf
        self._unreachable = _ConditionTimer()
        self._without_capacity = _ConditionTimer()
        self._available = _ConditionTimer()
        self._rejections = 0  # since a request was served
        self._served_s = -inf
        self._peer_states: dict[str, tuple[float, SiteState]] = {}  # by name: received at, state

    def record_rejected(self) -> None:
        """A request was rejected, or failed before any response."""
        self._rejections += 1

    def record_served(self, now_s: float) -> None:
        """A response has begun: there are a prefill and a decode server with capacity."""
        self._rejections = 0
        self._served_s = now_s

    def receive(self, now_s: float, reports: Iterable[tuple[str, SiteReachability]]) -> None:
        """Set the present reports of the site's other conductors by name; unknown states are ignored."""
        self._peer_states = {
            name: (now_s, SiteState(report.state))
            for name, report in reports
            if report.state in SiteState._value2member_map_
        }

    def update(self, now_s: float, servers: Iterable[ServerReachability]) -> SiteState:
        """Process the present view of the servers; returns the site's state."""
        servers = list(servers)
        reachable = [server for server in servers if server.reachable]
        with_capacity = [server for server in reachable if server.has_capacity]
        last_response_s = max([self._served_s, *(server.last_response_s for server in servers)])
        is_partitioned = not _has_both_roles(reachable)
        is_saturated = not _has_both_roles(with_capacity) or self._rejections >= SATURATED_REJECTIONS
        is_available = not is_partitioned and not is_saturated and last_response_s > self.changed_s
        unreachable_s = self._unreachable.update(now_s, is_partitioned)
        without_capacity_s = self._without_capacity.update(now_s, is_saturated)
        available_s = self._available.update(now_s, is_available)
        if unreachable_s >= PARTITIONED_AFTER_S:
            self._change_state(now_s, SiteState.PARTITIONED)
        elif without_capacity_s >= SATURATED_AFTER_S and self.own_state is SiteState.AVAILABLE:
            self._change_state(now_s, SiteState.SATURATED)
        elif available_s >= AVAILABLE_AFTER_S:
            self._change_state(now_s, SiteState.AVAILABLE)
        return self.state(now_s)

    def state(self, now_s: float) -> SiteState:
        """The site's state: the best that any of its conductors reports."""
        peer_states = [
            state for received_s, state in self._peer_states.values() if now_s - received_s < PEER_STATE_TTL_S
        ]
        return min([self.own_state, *peer_states], key=lambda state: state.value)

    def record(self) -> SiteReachability:
        """The record of this conductor's own state."""
        return SiteReachability(self.own_state.value)

    def _change_state(self, now_s: float, state: SiteState) -> None:
        if state is self.own_state:
            return
        self.own_state = state
        self.changed_s = now_s
        if state is SiteState.AVAILABLE:
            self._rejections = 0


def _has_both_roles(servers: list[ServerReachability]) -> bool:
    does_prefill = any(server.does_prefill for server in servers)
    return does_prefill and any(server.does_decode for server in servers)
