"""What the process measures of itself: delays of its loop, CPU, memory, descriptors, waits of input."""

from __future__ import annotations

import asyncio
import ctypes
import time
from collections.abc import Callable
from dataclasses import dataclass

import psutil

from ringledge.observe.metrics import Metrics

HEARTBEAT_INTERVAL_S = (
    0.02  # between heartbeats: shorter than any delay that matters, and half a percent of a core at most
)
READING_INTERVAL_S = 0.055  # between two readings: the first beat after so long brings one
READINGS_PER_MEMORY_READ = 8  # samples between two looks at memory, which costs a read of /proc
READINGS_PER_DESCRIPTOR_COUNT = 50  # and at descriptors, which costs one for each of them


@dataclass(slots=True, frozen=True)
class ProcessReading:
    """What was measured since the last reading."""

    span_ms: float
    cpu_ms: float
    loop_lag_ms: float  # worst delay of a heartbeat or timer
    queue_wait_ms: float  # mean wait of requests in their sockets
    rss_bytes: int  # bytes
    descriptors: int


class ProcessStatistics:
    """Beats at a fixed pace; every few beats it has a reading taken."""

    def __init__(self, metrics: Metrics, timer_lag_ms: Callable[[], float]) -> None:
        self._metrics, self._timer_lag_ms = metrics, timer_lag_ms
        self._process = psutil.Process()
        self._libc = ctypes.CDLL(None)
        self._loop: asyncio.AbstractEventLoop | None = None
        self._due = time.monotonic()
        self._worst_ms, self._waited_ms, self._waits = 0.0, 0.0, 0
        self._cpu_s, self._at = time.process_time(), time.monotonic()
        self._samples = 0
        self.rss_bytes, self.descriptors = self._process.memory_info().rss, 0

    def loop_lag_ms(self) -> float:
        """How late the next heartbeat is at this moment."""
        return max(0.0, (time.monotonic() - self._due) * 1000)

    def cpu_rate(self) -> float:
        """The share of a core used since the last reading."""
        return (time.process_time() - self._cpu_s) / max(0.001, time.monotonic() - self._at)

    def record_queue_wait(self, ms: float) -> None:
        """A request had waited in its socket for so long before it was read."""
        self._waited_ms += ms
        self._waits += 1

    def start(self, take: Callable[[ProcessReading], None]) -> None:
        """Beat from now on, and hand each reading over."""
        self._loop, self._take = asyncio.get_running_loop(), take
        self._cpu_s, self._at = time.process_time(), time.monotonic()  # the start itself is no load
        self._due = time.monotonic() + HEARTBEAT_INTERVAL_S
        self._loop.call_later(HEARTBEAT_INTERVAL_S, self._beat)
        take(self._read())

    def _beat(self) -> None:
        late_s = max(0.0, time.monotonic() - self._due)
        self._metrics.loop_delay.observe(late_s)
        self._worst_ms = max(self._worst_ms, late_s * 1000)
        if time.monotonic() - self._at >= READING_INTERVAL_S:
            self._take(self._read())
        assert self._loop is not None
        # From the time that was due, so that what a slow turn delays shows once; never for beats missed.
        self._due = max(self._due + HEARTBEAT_INTERVAL_S, time.monotonic() + HEARTBEAT_INTERVAL_S / 2)
        self._loop.call_later(self._due - time.monotonic(), self._beat)

    def _read(self) -> ProcessReading:
        if self._samples % READINGS_PER_MEMORY_READ == 0:
            self.rss_bytes = self._process.memory_info().rss
        if self._samples % READINGS_PER_DESCRIPTOR_COUNT == 0:
            self.descriptors = self._process.num_fds()
        self._samples += 1
        now, cpu_s = time.monotonic(), time.process_time()
        reading = ProcessReading(
            (now - self._at) * 1000,
            (cpu_s - self._cpu_s) * 1000,
            max(self._worst_ms, self._timer_lag_ms()),
            self._waited_ms / self._waits if self._waits else 0.0,
            self.rss_bytes,
            self.descriptors,
        )
        self._at, self._cpu_s = now, cpu_s
        self._worst_ms, self._waited_ms, self._waits = 0.0, 0.0, 0
        return reading

    def trim_memory(self) -> None:
        """Have the allocator give back what is free, so that memory let go of counts no longer."""
        if hasattr(self._libc, "malloc_trim"):
            self._libc.malloc_trim(0)
        self.rss_bytes = self._process.memory_info().rss
