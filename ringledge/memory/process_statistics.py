"""Measures this process: event loop lag, CPU time, memory, file descriptors and waits of requests."""

from __future__ import annotations

import asyncio
import ctypes
import time
from collections.abc import Callable
from dataclasses import dataclass

import psutil

from ringledge.observe.metrics import Metrics

HEARTBEAT_INTERVAL_S = 0.02  # shorter than any delay that matters; costs at most 0.5% of a core
MIN_READING_INTERVAL_S = 0.055  # the first heartbeat after this interval takes a reading
READINGS_PER_MEMORY_READ = 8  # each memory read costs a read of /proc
READINGS_PER_DESCRIPTOR_COUNT = 50  # each count costs a read of /proc for each descriptor


@dataclass(slots=True, frozen=True)
class ProcessReading:
    """Measurements since the previous reading."""

    span_ms: float
    cpu_ms: float
    loop_lag_ms: float  # the longest delay of a heartbeat or timer
    queue_wait_ms: float  # mean time that requests waited in their sockets before they were read
    rss_bytes: int
    descriptors: int


class ProcessStatistics:
    """Measures event loop lag with a periodic heartbeat, and takes a reading every few heartbeats."""

    def __init__(self, metrics: Metrics, take_max_timer_lag_ms: Callable[[], float]) -> None:
        """Start without a heartbeat; `start` schedules it.

        `take_max_timer_lag_ms` returns the longest delay of a timer since its last call.
        """
        self._metrics = metrics
        self._take_max_timer_lag_ms = take_max_timer_lag_ms
        self._on_reading: Callable[[ProcessReading], None] | None = None
        self._process = psutil.Process()
        self._libc = ctypes.CDLL(None)
        self._loop: asyncio.AbstractEventLoop | None = None
        self._heartbeat_due_s = time.monotonic()
        # Accumulated since the last reading.
        self._max_lag_ms = 0.0
        self._queue_wait_sum_ms = 0.0
        self._queue_wait_count = 0
        self._cpu_s = time.process_time()  # at the last reading
        self._last_reading_s = time.monotonic()
        self._reading_count = 0
        self.rss_bytes = self._process.memory_info().rss
        self.descriptors = 0

    def loop_lag_ms(self) -> float:
        """By how much the next heartbeat is overdue now; 0 if it is not yet due."""
        return max(0.0, (time.monotonic() - self._heartbeat_due_s) * 1000)

    def cpu_rate(self) -> float:
        """CPU seconds used per second of wall-clock time since the last reading."""
        return (time.process_time() - self._cpu_s) / max(0.001, time.monotonic() - self._last_reading_s)

    def record_queue_wait(self, wait_ms: float) -> None:
        """Record how long a request waited in its socket before it was read."""
        self._queue_wait_sum_ms += wait_ms
        self._queue_wait_count += 1

    def start(self, on_reading: Callable[[ProcessReading], None]) -> None:
        """Start the heartbeat on the running loop; `on_reading` gets each reading, the first one at once."""
        self._loop = asyncio.get_running_loop()
        self._on_reading = on_reading
        self._cpu_s = time.process_time()  # the CPU time of the start-up is not counted as load
        self._last_reading_s = time.monotonic()
        self._heartbeat_due_s = time.monotonic() + HEARTBEAT_INTERVAL_S
        self._loop.call_later(HEARTBEAT_INTERVAL_S, self._on_heartbeat)
        on_reading(self._read())

    def _on_heartbeat(self) -> None:
        lag_s = max(0.0, time.monotonic() - self._heartbeat_due_s)
        self._metrics.loop_delay_seconds.observe(lag_s)
        self._max_lag_ms = max(self._max_lag_ms, lag_s * 1000)
        assert self._loop is not None and self._on_reading is not None
        if time.monotonic() - self._last_reading_s >= MIN_READING_INTERVAL_S:
            self._on_reading(self._read())
        # The next heartbeat counts from the time this one was due, so that one slow turn of the loop is
        # counted once; missed heartbeats are skipped.
        self._heartbeat_due_s = max(
            self._heartbeat_due_s + HEARTBEAT_INTERVAL_S, time.monotonic() + HEARTBEAT_INTERVAL_S / 2
        )
        self._loop.call_later(self._heartbeat_due_s - time.monotonic(), self._on_heartbeat)

    def _read(self) -> ProcessReading:
        if self._reading_count % READINGS_PER_MEMORY_READ == 0:
            self.rss_bytes = self._process.memory_info().rss
        if self._reading_count % READINGS_PER_DESCRIPTOR_COUNT == 0:
            self.descriptors = self._process.num_fds()
        self._reading_count += 1
        now_s = time.monotonic()
        cpu_s = time.process_time()
        reading = ProcessReading(
            span_ms=(now_s - self._last_reading_s) * 1000,
            cpu_ms=(cpu_s - self._cpu_s) * 1000,
            loop_lag_ms=max(self._max_lag_ms, self._take_max_timer_lag_ms()),
            queue_wait_ms=self._mean_queue_wait_ms(),
            rss_bytes=self.rss_bytes,
            descriptors=self.descriptors,
        )
        self._last_reading_s = now_s
        self._cpu_s = cpu_s
        self._max_lag_ms = 0.0
        self._queue_wait_sum_ms = 0.0
        self._queue_wait_count = 0
        return reading

    def _mean_queue_wait_ms(self) -> float:
        return self._queue_wait_sum_ms / self._queue_wait_count if self._queue_wait_count else 0.0

    def trim_memory(self) -> None:
        """Make the allocator return free memory to the system, so that it no longer counts as resident."""
        if hasattr(self._libc, "malloc_trim"):
            self._libc.malloc_trim(0)
        self.rss_bytes = self._process.memory_info().rss
