"""Detects that a site is partitioned or saturated, as seen by its routers.

A site is partitioned if its routers reach no prefill or no decode server, and saturated if they reach none
that has capacity. Each router observes the servers and publishes its own state to the others of its site.
The site is considered partitioned only if all routers that have reported say so. The state is entered
quickly, so that requests are queued. It is left only after a response from a server, since the expiry of a
recorded failure does not prove that the server is reachable. Free of I/O and clocks; times in s.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from math import inf

import msgspec

PARTITIONED_AFTER_S = 0.5  # time without servers; a first server list or a connect timeout takes less
SATURATED_AFTER_S = 2.0  # time without capacity; shorter congestion is handled by rejections
SATURATED_REJECTIONS = 3  # consecutive; a single one may be due to the request's deadline or size
AVAILABLE_AFTER_S = 2.0  # time with servers and capacity; a momentary recovery of the link has no effect
PEER_STATE_TTL_S = 5.0  # time until another router's reported state expires


class SiteReachability(msgspec.Struct, array_like=True, frozen=True):
    """Record of a site's state as reported by one router (key reach/SITE)."""

    state: int  # a value of `SiteState`


class SiteState(Enum):
    """Whether a site can serve live requests; a lower value is a better state."""

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
    """One server as a router sees it now."""

    does_prefill: bool
    does_decode: bool
    reachable: bool  # listed as up, and connections to it succeed
    has_capacity: bool  # it may be sent a new request
    last_response_s: float  # -inf: never


@dataclass(slots=True)
class _ConditionTimer:
    """Measures for how long a condition has held without interruption."""

    since_s: float = inf

    def update(self, now_s: float, holds: bool) -> float:
        """The time (s) for which the condition has held; 0 if it does not hold."""
        if not holds:
            self.since_s = inf
            return 0.0
        self.since_s = min(self.since_s, now_s)
        return now_s - self.since_s


class PartitionDetector:
    """Determines the state of a router's site."""

    def __init__(self) -> None:
        self.own_state = SiteState.AVAILABLE
        self.changed_s = -inf
        self._unreachable = _ConditionTimer()
        self._without_capacity = _ConditionTimer()
        self._available = _ConditionTimer()
        self._consecutive_rejections = 0  # since the last served request
        self._last_served_s = -inf
        self._peer_states: dict[str, tuple[float, SiteState]] = {}  # by name: time of receipt, state

    def record_rejected(self) -> None:
        """Record a request that was rejected, or that failed before any response."""
        self._consecutive_rejections += 1

    def record_served(self, now_s: float) -> None:
        """Record the start of a response, which proves that both roles have a server with capacity."""
        self._consecutive_rejections = 0
        self._last_served_s = now_s

    def receive(self, now_s: float, reports: Iterable[tuple[str, SiteReachability]]) -> None:
        """Replace the reports of the site's other routers, by name; unknown states are ignored."""
        self._peer_states = {
            name: (now_s, SiteState(report.state))
            for name, report in reports
            if report.state in SiteState._value2member_map_
        }

    def update(self, now_s: float, servers: Iterable[ServerReachability]) -> SiteState:
        """Process the present observations of the servers; returns the site's state."""
        servers = list(servers)
        reachable = [server for server in servers if server.reachable]
        with_capacity = [server for server in reachable if server.has_capacity]
        last_response_s = max([self._last_served_s, *(server.last_response_s for server in servers)])
        is_partitioned = not _has_both_roles(reachable)
        is_saturated = (
            not _has_both_roles(with_capacity) or self._consecutive_rejections >= SATURATED_REJECTIONS
        )
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
        """The site's state: the best state that any of its routers reports."""
        peer_states = [
            state for received_s, state in self._peer_states.values() if now_s - received_s < PEER_STATE_TTL_S
        ]
        return min([self.own_state, *peer_states], key=lambda state: state.value)

    def record(self) -> SiteReachability:
        """The record to publish: this router's own state."""
        return SiteReachability(self.own_state.value)

    def _change_state(self, now_s: float, state: SiteState) -> None:
        if state is self.own_state:
            return
        self.own_state = state
        self.changed_s = now_s
        if state is SiteState.AVAILABLE:
            self._consecutive_rejections = 0


def _has_both_roles(servers: list[ServerReachability]) -> bool:
    does_prefill = any(server.does_prefill for server in servers)
    return does_prefill and any(server.does_decode for server in servers)
