"""The routing policy's pending timers, ordered by due time."""

from __future__ import annotations

import heapq
import math
from itertools import count
from typing import NamedTuple

import anyio

from ringledge.core.clock import Clock
from ringledge.observe.metrics import Metrics


class ScheduledTimer(NamedTuple):
    """A pending timer; timers with the same due time fire in the order in which they were scheduled."""

    due_ms: float
    sequence: int
    token: str


class TimerQueue:
    """A min-heap of timers that also measures how late they fire."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._heap: list[ScheduledTimer] = []
        self._sequence = count()
        self._wakeup = anyio.Event()
        self._max_lag_ms = 0.0  # since the last call of `take_max_lag_ms`

    def schedule(self, due_ms: float, token: str) -> None:
        """Add a timer; a `wait` in progress returns early if this timer is now due first."""
        heapq.heappush(self._heap, ScheduledTimer(due_ms, next(self._sequence), token))
        if self._heap[0].token == token:
            self._wakeup.set()

    def pop_due(self, now_ms: float) -> str | None:
        """Remove the timer that is due first and return its token; None if no timer is due."""
        if not self._heap or self._heap[0].due_ms > now_ms:
            return None
        timer = heapq.heappop(self._heap)
        lag_ms = now_ms - timer.due_ms
        self._metrics.loop_lag_seconds.set(lag_ms / 1000)
        self._max_lag_ms = max(self._max_lag_ms, lag_ms)
        return timer.token

    def take_max_lag_ms(self) -> float:
        """Return the longest delay of a timer since the last call, in ms, and reset it."""
        max_lag_ms = self._max_lag_ms
        self._max_lag_ms = 0.0
        return max_lag_ms

    async def wait(self, max_wait_s: float) -> None:
        """Wait until a timer is due, at most `max_wait_s`."""
        self._wakeup = anyio.Event()
        until_due_s = math.inf
        if self._heap:
            until_due_s = max(0.0, (self._heap[0].due_ms - self._clock.now_ms()) / 1000)
        with anyio.move_on_after(min(max_wait_s, until_due_s)):
            await self._wakeup.wait()
