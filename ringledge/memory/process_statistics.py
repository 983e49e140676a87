"""The process's measurements of itself: event loop lag, CPU, memory, descriptors and waits of input."""

from __future__ import annotations

import asyncio
import ctypes
import time
from collections.abc import Callable
from dataclasses import dataclass

import psutil

from ringledge.observe.metrics import Metrics

HEARTBEAT_INTERVAL_S = 0.02  # shorter than any delay that matters, and half a percent of a core at most
READING_INTERVAL_S = 0.055  # the first heartbeat after so long takes a reading
READINGS_PER_MEMORY_READ = 8  # as it costs a read of /proc
READINGS_PER_DESCRIPTOR_COUNT = 50  # as it costs one for each descriptor


@dataclass(slots=True, frozen=True)
class ProcessReading:
    """Measurements since the previous reading."""

    span_ms: float
    cpu_ms: float
    loop_lag_ms: float  # longest delay of a heartbeat or timer
    queue_wait_ms: float  # mean time that requests waited in their sockets
    rss_bytes: int
    descriptors: int


class ProcessStatistics:
    """Measures the event loop's lag by a periodic heartbeat, every few of which take a reading."""

    def __init__(self, metrics: Metrics, take_max_timer_lag_ms: Callable[[], float]) -> None:
        """`take_max_timer_lag_ms` returns the longest delay of a timer since its last call."""
        self._metrics = metrics
        self._take_max_timer_lag_ms = take_max_timer_lag_ms
        self._on_reading: Callable[[ProcessReading], None] | None = None
        self._process = psutil.Process()
        self._libc = ctypes.CDLL(None)
        self._loop: asyncio.AbstractEventLoop | None = None
        self._due_s = time.monotonic()  # of the next heartbeat
        # Since the last reading:
        self._max_lag_ms = 0.0
        self._queue_wait_sum_ms = 0.0
        self._queue_wait_count = 0
        self._cpu_s = time.process_time()  # at the last reading
        self._read_at_s = time.monotonic()
        self._reading_count = 0
        self.rss_bytes = self._process.memory_info().rss
        self.descriptors = 0

    def loop_lag_ms(self) -> float:
        """How late the next heartbeat is at this moment."""
        return max(0.0, (time.monotonic() - self._due_s) * 1000)

    def cpu_rate(self) -> float:
        """CPU time per time used since the last reading."""
        return (time.process_time() - self._cpu_s) / max(0.001, time.monotonic() - self._read_at_s)

    def record_queue_wait(self, wait_ms: float) -> None:
        """A request waited in its socket for so long before it was read."""
        self._queue_wait_sum_ms += wait_ms
        self._queue_wait_count += 1

    def start(self, on_reading: Callable[[ProcessReading], None]) -> None:
        """Start the heartbeat on the running loop; each reading, the first at once, goes to `on_reading`."""
        self._loop = asyncio.get_running_loop()
        self._on_reading = on_reading
        self._cpu_s = time.process_time()  # the start itself is no load
        self._read_at_s = time.monotonic()
        self._due_s = time.monotonic() + HEARTBEAT_INTERVAL_S
        self._loop.call_later(HEARTBEAT_INTERVAL_S, self._on_heartbeat)
        on_reading(self._read())

    def _on_heartbeat(self) -> None:
        lag_s = max(0.0, time.monotonic() - self._due_s)
        self._metrics.loop_delay_seconds.observe(lag_s)
        self._max_lag_ms = max(self._max_lag_ms, lag_s * 1000)
        assert self._loop is not None and self._on_reading is not None
        if time.monotonic() - self._read_at_s >= READING_INTERVAL_S:
            self._on_reading(self._read())
        # Counted from the time that was due, so that a slow turn shows once; missed beats are not made up.
        self._due_s = max(self._due_s + HEARTBEAT_INTERVAL_S, time.monotonic() + HEARTBEAT_INTERVAL_S / 2)
        self._loop.call_later(self._due_s - time.monotonic(), self._on_heartbeat)

    def _read(self) -> ProcessReading:
        if self._reading_count % READINGS_PER_MEMORY_READ == 0:
            self.rss_bytes = self._process.memory_info().rss
        if self._reading_count % READINGS_PER_DESCRIPTOR_COUNT == 0:
            self.descriptors = self._process.num_fds()
        self._reading_count += 1
        now_s = time.monotonic()
        cpu_s = time.process_time()
        reading = ProcessReading(
            span_ms=(now_s - self._read_at_s) * 1000,
            cpu_ms=(cpu_s - self._cpu_s) * 1000,
            loop_lag_ms=max(self._max_lag_ms, self._take_max_timer_lag_ms()),
            queue_wait_ms=self._mean_queue_wait_ms(),
            rss_bytes=self.rss_bytes,
            descriptors=self.descriptors,
        )
        self._read_at_s = now_s
        self._cpu_s = cpu_s
        self._max_lag_ms = 0.0
        self._queue_wait_sum_ms = 0.0
        self._queue_wait_count = 0
        return reading

    def _mean_queue_wait_ms(self) -> float:
        return self._queue_wait_sum_ms / self._queue_wait_count if self._queue_wait_count else 0.0

    def trim_memory(self) -> None:
        """Have the allocator return free memory to the system, so that it no longer counts as resident."""
        if hasattr(self._libc, "malloc_trim"):
            self._libc.malloc_trim(0)
        self.rss_bytes = self._process.memory_info().rss
