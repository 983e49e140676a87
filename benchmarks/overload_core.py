"""A model of one core under load: a FIFO queue in which a request costs CPU at each of its steps.

A request costs CPU when it is read, when its prefill has ended and with each event of its stream; a rejection
costs only the parsing of its head. The costs were measured on this program.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial

import numpy

from benchmarks.overload_policies import PRIORITY_WEIGHTS, AdmitAll, CpuBudgetPolicy
from ringledge.lab.load_plan import Arrival

HEAD_MS, ADMIT_MS, PREFILL_MS, EVENT_MS, KB_MS = 0.3, 1.2, 0.8, 0.2, 0.02  # CPU time of each step
# The servers' prefill time, events per stream and the time between them.
SERVER_PREFILL_MS, EVENTS, GAP_MS = 20.0, 6, 50.0
TARGETS_MS = (1200.0, 2500.0)
CAPACITY = 1000 / (HEAD_MS + ADMIT_MS + PREFILL_MS + EVENTS * EVENT_MS)  # requests a second
SLOWDOWN = 20.0  # factor of the prefill time in the second half of the run "slow servers"
HEARTBEAT_INTERVAL_MS, SAMPLE_INTERVAL_MS = 20.0, 60.0
DRAIN_MS = 3000.0  # simulated after the last arrival


@dataclass(slots=True)
class Core:
    """One core with a FIFO queue; times in ms."""

    now_ms: float = 0.0
    # Due time, cost, callback.
    queue: deque[tuple[float, float, Callable[[], None]]] = field(default_factory=deque)
    timers: list[tuple[float, int, float, Callable[[], None]]] = field(default_factory=list)
    sequence: int = 0  # of the last timer; keeps timers of equal times in order
    cpu_ms: float = 0.0
    lags_ms: list[float] = field(default_factory=list)

    def schedule(self, at_ms: float, cost_ms: float, callback: Callable[[], None]) -> None:
        """Schedule work that costs CPU."""
        self.sequence += 1
        heapq.heappush(self.timers, (at_ms, self.sequence, cost_ms, callback))

    def run(self, until_ms: float) -> None:
        """Simulate until that time, or until no work is left."""
        while self.now_ms < until_ms:
            while self.timers and self.timers[0][0] <= self.now_ms:
                at_ms, _, cost_ms, callback = heapq.heappop(self.timers)
                self.queue.append((at_ms, cost_ms, callback))
            if not self.queue:
                if not self.timers:
                    return
                self.now_ms = max(self.now_ms, self.timers[0][0])
                continue
            _, cost_ms, callback = self.queue.popleft()
            self.now_ms += cost_ms
            self.cpu_ms += cost_ms
            callback()


@dataclass(slots=True)
class ClassCounts:
    """Counts of the requests of one class."""

    arrived: int = 0
    in_time: int = 0


class Replay:
    """Replays one run of arrivals under one policy."""

    def __init__(self, policy: AdmitAll, seconds: float, has_slow_servers: bool) -> None:
        self._policy = policy
        self._seconds = seconds
        self._has_slow_servers = has_slow_servers
        self._core = Core()
        self._counts = [ClassCounts() for _ in PRIORITY_WEIGHTS]
        self._lags_since_sample_ms = [0.0]
        self._sampled_at_ms = 0.0
        self._cpu_at_sample_ms = 0.0

    def run(self, arrivals: Iterator[Arrival]) -> dict[str, float]:
        """Replay the arrivals; returns the results of the policy."""
        for arrival in arrivals:
            self._core.schedule(1000 * arrival.at_s, HEAD_MS, partial(self._on_arrival, arrival))
        self._core.schedule(0.0, 0.0, lambda: self._on_heartbeat(0.0))
        self._core.run(1000 * self._seconds + DRAIN_MS)
        queries, bookings = self._counts
        weighted_in_time = sum(
            count.in_time * weight for count, weight in zip(self._counts, PRIORITY_WEIGHTS, strict=True)
        )
        return {
            "bookings_in_time": round(bookings.in_time / max(1, bookings.arrived), 3),
            "queries_in_time": round(queries.in_time / max(1, queries.arrived), 3),
            "worth_per_s": round(weighted_in_time / self._seconds, 1),
            "delay_p99_ms": round(float(numpy.percentile(self._core.lags_ms, 99)), 1),
        }

    def _cpu_rate(self, min_span_ms: float) -> float:
        """CPU time per elapsed time since the last sample."""
        span_ms = max(min_span_ms, self._core.now_ms - self._sampled_at_ms)
        return (self._core.cpu_ms - self._cpu_at_sample_ms) / span_ms

    def _on_heartbeat(self, due_ms: float) -> None:
        core = self._core
        loop_lag_ms = core.now_ms - due_ms
        core.lags_ms.append(loop_lag_ms)
        self._lags_since_sample_ms.append(loop_lag_ms)
        if core.now_ms - self._sampled_at_ms >= SAMPLE_INTERVAL_MS:
            self._policy.on_sample(core.now_ms, max(self._lags_since_sample_ms), self._cpu_rate(0.0))
            self._sampled_at_ms = core.now_ms
            self._cpu_at_sample_ms = core.cpu_ms
            self._lags_since_sample_ms = [0.0]
        next_ms = max(due_ms + HEARTBEAT_INTERVAL_MS, core.now_ms)
        core.schedule(next_ms, 0.0, lambda: self._on_heartbeat(next_ms))

    def _on_arrival(self, arrival: Arrival) -> None:
        core, start_ms = self._core, 1000 * arrival.at_s
        self._counts[arrival.class_index].arrived += 1
        if isinstance(self._policy, CpuBudgetPolicy):
            self._policy.loop_lag_ms = max(0.0, core.now_ms - start_ms)
            self._policy.cpu_rate = self._cpu_rate(1.0)
        if self._policy.admit(core.now_ms, arrival, core.now_ms - start_ms):
            cost_ms = ADMIT_MS + KB_MS * arrival.body_bytes / 1024
            core.queue.append((core.now_ms, cost_ms, lambda: self._on_admitted(arrival)))

    def _on_admitted(self, arrival: Arrival) -> None:
        is_slow = self._has_slow_servers and self._core.now_ms > 500 * self._seconds
        wait_ms = SERVER_PREFILL_MS * (SLOWDOWN if is_slow else 1.0)
        self._core.schedule(self._core.now_ms + wait_ms, PREFILL_MS, lambda: self._schedule_event(arrival, 1))

    def _schedule_event(self, arrival: Arrival, number: int) -> None:
        self._core.schedule(self._core.now_ms + GAP_MS, EVENT_MS, lambda: self._on_event(arrival, number))

    def _on_event(self, arrival: Arrival, number: int) -> None:
        if number == 1:
            latency_ms = self._core.now_ms - 1000 * arrival.at_s
            self._counts[arrival.class_index].in_time += latency_ms <= TARGETS_MS[arrival.class_index]
            self._policy.on_first_token(self._core.now_ms, latency_ms)
        if number < EVENTS:
            self._schedule_event(arrival, number + 1)
