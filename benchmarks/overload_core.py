"""A model of one core under load: work is done first come first, a request costs some of it at each step.

A request costs CPU when it is read, when its prefill has ended and with each event of its stream, and a
refusal costs its head alone. The costs are those measured of this program.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import numpy

from benchmarks.overload_policies import WORTHS, AdmitAll, Budget
from ringledge.lab.load_plan import Arrival

HEAD_MS, ADMIT_MS, PREFILL_MS, EVENT_MS, KB_MS = 0.3, 1.2, 0.8, 0.2, 0.02  # of CPU
SERVER_PREFILL_MS, EVENTS, GAP_MS = 20.0, 6, 50.0  # of the servers
TARGETS_MS = (1200.0, 2500.0)
CAPACITY = 1000 / (HEAD_MS + ADMIT_MS + PREFILL_MS + EVENTS * EVENT_MS)  # requests a second
SLOWDOWN = 20.0  # times as long that the servers take to prefill in the second half of "slow servers"
BEAT_MS, SAMPLE_MS = 20.0, 60.0
DRAIN_MS = 3000.0  # that the core works on after the last arrival


@dataclass(slots=True)
class Core:
    """One core that works things off first come first; times in ms."""

    now_ms: float = 0.0
    queue: deque[tuple[float, float, Callable[[], None]]] = field(default_factory=deque)  # since, cost, then
    later: list[tuple[float, int, float, Callable[[], None]]] = field(default_factory=list)
    number: int = 0
    used_ms: float = 0.0
    delays: list[float] = field(default_factory=list)

    def at(self, at_ms: float, cost_ms: float, then: Callable[[], None]) -> None:
        """Work that becomes due at a time."""
        self.number += 1
        heapq.heappush(self.later, (at_ms, self.number, cost_ms, then))

    def run(self, until_ms: float) -> None:
        """Work until then."""
        while self.now_ms < until_ms:
            while self.later and self.later[0][0] <= self.now_ms:
                at_ms, _, cost_ms, then = heapq.heappop(self.later)
                self.queue.append((at_ms, cost_ms, then))
            if not self.queue:
                if not self.later:
                    return
                self.now_ms = max(self.now_ms, self.later[0][0])
                continue
            _, cost_ms, then = self.queue.popleft()
            self.now_ms += cost_ms
            self.used_ms += cost_ms
            then()


@dataclass(slots=True)
class Counts:
    """What became of one class."""

    asked: int = 0
    in_time: int = 0


class Replay:
    """One policy on one run of arrivals."""

    def __init__(self, policy: AdmitAll, seconds: float, slow: bool) -> None:
        self._policy, self._seconds, self._slow = policy, seconds, slow
        self._core = Core()
        self._counts = [Counts() for _ in WORTHS]
        self._lags = [0.0]  # since the last sample
        self._sampled_ms = self._sampled_cpu_ms = 0.0

    def run(self, arrivals: Iterator[Arrival]) -> dict[str, float]:
        """Play the arrivals; returns what the policy kept."""
        for arrival in arrivals:
            self._core.at(1000 * arrival.at_s, HEAD_MS, lambda arrival=arrival: self._arrive(arrival))  # type: ignore[misc]
        self._core.at(0.0, 0.0, lambda: self._beat(0.0))
        self._core.run(1000 * self._seconds + DRAIN_MS)
        queries, bookings = self._counts
        worth = sum(each.in_time * worth for each, worth in zip(self._counts, WORTHS, strict=True))
        return {
            "bookings_in_time": round(bookings.in_time / max(1, bookings.asked), 3),
            "queries_in_time": round(queries.in_time / max(1, queries.asked), 3),
            "worth_per_s": round(worth / self._seconds, 1),
            "delay_p99_ms": round(float(numpy.percentile(self._core.delays, 99)), 1),
        }

    def _busy(self, least_ms: float) -> float:
        """The core's use since the last sample."""
        span_ms = max(least_ms, self._core.now_ms - self._sampled_ms)
        return (self._core.used_ms - self._sampled_cpu_ms) / span_ms

    def _beat(self, due_ms: float) -> None:
        core = self._core
        late_ms = core.now_ms - due_ms
        core.delays.append(late_ms)
        self._lags.append(late_ms)
        if core.now_ms - self._sampled_ms >= SAMPLE_MS:
            self._policy.sample(core.now_ms, max(self._lags), self._busy(0.0))
            self._sampled_ms, self._sampled_cpu_ms, self._lags = core.now_ms, core.used_ms, [0.0]
        next_ms = max(due_ms + BEAT_MS, core.now_ms)
        core.at(next_ms, 0.0, lambda: self._beat(next_ms))

    def _arrive(self, arrival: Arrival) -> None:
        core, start_ms = self._core, 1000 * arrival.at_s
        self._counts[arrival.class_index].asked += 1
        if isinstance(self._policy, Budget):
            self._policy.late_ms = max(0.0, core.now_ms - start_ms)
            self._policy.busy = self._busy(1.0)
        if self._policy.admits(core.now_ms, arrival, core.now_ms - start_ms):
            cost_ms = ADMIT_MS + KB_MS * arrival.body_bytes / 1024
            core.queue.append((core.now_ms, cost_ms, lambda: self._admitted(arrival)))

    def _admitted(self, arrival: Arrival) -> None:
        slow = self._slow and self._core.now_ms > 500 * self._seconds
        wait_ms = SERVER_PREFILL_MS * (SLOWDOWN if slow else 1.0)
        self._core.at(self._core.now_ms + wait_ms, PREFILL_MS, lambda: self._next_event(arrival, 1))

    def _next_event(self, arrival: Arrival, number: int) -> None:
        self._core.at(self._core.now_ms + GAP_MS, EVENT_MS, lambda: self._event(arrival, number))

    def _event(self, arrival: Arrival, number: int) -> None:
        if number == 1:
            took_ms = self._core.now_ms - 1000 * arrival.at_s
            self._counts[arrival.class_index].in_time += took_ms <= TARGETS_MS[arrival.class_index]
            self._policy.first_token(self._core.now_ms, took_ms)
        if number < EVENTS:
            self._next_event(arrival, number + 1)
