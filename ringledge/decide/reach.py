"""Which servers can be reached now, by what all calls to them have met; free of I/O and clocks.

Each conductor of a large fleet hears little of any one server, so what is met counts for its place too: while
connections to several servers of a zone never come up and none of that zone answers, the zone is cut off.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

FADE_MS = 3_000.0  # a failure older than this says nothing: links come back within seconds
REFUSED_MS = 1_000.0  # for how long one refusal counts, doubled with each: a process starts within seconds
MOST_REFUSED_MS = 30_000.0  # what that grows to: who is gone for good refuses until the list says so
GRAIN_MS = 20.0  # a silence that has faded may count so much longer: looking costs a walk over all servers
SEVERAL = 2  # servers of a zone that must be silent before the zone counts as cut off: one may be down itself


@dataclass(slots=True)
class Trace:
    """What was met last at one server; times in ms of the caller's clock, -inf for never."""

    zone: int = -1
    heard_ms: float = -inf
    silent_ms: float = -inf  # a connection never came up, or a call got no answer
    refused_ms: float = -inf  # its machine is there, but no process listens
    refusals: int = 0  # in a row

    def away(self, now_ms: float) -> bool:
        """Whether a connection there is likely to fail, by what was met at the server itself."""
        silent = self.silent_ms > self.heard_ms and now_ms - self.silent_ms < FADE_MS
        refused_ms = min(MOST_REFUSED_MS, REFUSED_MS * 2 ** min(self.refusals - 1, 8))
        return silent or (self.refused_ms > self.heard_ms and now_ms - self.refused_ms < refused_ms)


@dataclass(slots=True)
class Zone:
    """What was met last in one zone."""

    heard_ms: float = -inf
    silent: dict[str, float] = field(default_factory=dict)  # servers that were silent since, and when


class Reach:
    """Keeps the traces; a server is named as in the list."""

    def __init__(self, zone: int = -1) -> None:
        """`zone`: our own, which no cut between zones keeps from us."""
        self._own = zone
        self._traces: dict[str, Trace] = {}
        self.changed_ms = -inf  # when a silence began or ended
        self._told_ms, self._told = -inf, frozenset[str]()
        self._zones: dict[int, Zone] = {}

    def listed(self, servers: Iterable[tuple[str, int]]) -> None:
        """Take the list over: each server with its zone; what is known of others is dropped."""
        old, self._traces = self._traces, {}
        for server, zone in servers:
            trace = self._traces[server] = old.get(server, Trace())
            trace.zone = zone
        for told in self._zones.values():
            told.silent = {server: at_ms for server, at_ms in told.silent.items() if server in self._traces}

    def heard(self, server: str, now_ms: float) -> None:
        """The server has answered something."""
        if (trace := self._traces.get(server)) is not None:
            if max(trace.silent_ms, trace.refused_ms) > trace.heard_ms:
                self.changed_ms = now_ms
            trace.heard_ms, trace.refusals = now_ms, 0
            zone = self._zone(trace)
            zone.heard_ms = now_ms
            zone.silent.pop(server, None)

    def silent(self, server: str, now_ms: float) -> None:
        """A connection never came up, or a small call was not answered in time."""
        if (trace := self._traces.get(server)) is not None:
            trace.silent_ms = self.changed_ms = now_ms
            self._zone(trace).silent[server] = now_ms

    def refused(self, server: str, now_ms: float) -> None:
        """No process listens there: that tells of the server alone."""
        if (trace := self._traces.get(server)) is not None:
            trace.refused_ms = self.changed_ms = now_ms
            trace.refusals += 1

    def heard_ms(self, server: str) -> float:
        """When the server answered last."""
        trace = self._traces.get(server)
        return -inf if trace is None else trace.heard_ms

    def surest(self, servers: Iterable[str]) -> str | None:
        """The server that answered last; where none ever has, one of our own zone."""
        known = [(self._traces[server], server) for server in servers if server in self._traces]
        best = max(known, key=lambda each: (each[0].heard_ms, each[0].zone == self._own), default=None)
        return None if best is None else best[1]

    def doubtful(self, server: str, now_ms: float) -> bool:
        """Whether a call there would likely get no answer: its own trace says so, or its zone is cut off."""
        trace = self._traces.get(server)
        if trace is None:
            return True
        return trace.away(now_ms) or self.cut_off(trace.zone, now_ms)

    def silences(self, now_ms: float) -> frozenset[str]:
        """All servers that connections don't reach: those tried in vain lately, and whose zone is cut off.

        One that refuses is left alone ever longer: the list that should say that it is gone may not come.
        """
        if self.changed_ms <= self._told_ms and now_ms - self._told_ms < GRAIN_MS:
            return self._told
        self._told_ms, self._told = now_ms, self._silences(now_ms)
        return self._told

    def _silences(self, now_ms: float) -> frozenset[str]:
        if now_ms - self.changed_ms > MOST_REFUSED_MS:  # nothing is remembered for so long: no walk
            return frozenset()
        for told in self._zones.values():
            told.silent = {s: at_ms for s, at_ms in told.silent.items() if now_ms - at_ms < FADE_MS}
        cut = {zone for zone in self._zones if self.cut_off(zone, now_ms)}
        return frozenset(
            server for server, trace in self._traces.items() if trace.zone in cut or trace.away(now_ms)
        )

    def cut_off(self, zone: int, now_ms: float) -> bool:
        """Whether several servers of the zone were silent lately, and none of the zone was heard since."""
        told = self._zones.get(zone)
        if told is None:
            return False
        since_ms = max(now_ms - FADE_MS, told.heard_ms)
        return sum(at_ms > since_ms for at_ms in told.silent.values()) >= SEVERAL

    def _zone(self, trace: Trace) -> Zone:
        if (zone := self._zones.get(trace.zone)) is None:
            zone = self._zones[trace.zone] = Zone()
        return zone
