"""Detects stalls of the event loop, and logs one line for each stall with an attribution of its time.

The detector needs no thread, signal or timer: a task that runs every `HEARTBEAT_INTERVAL_S` for other reasons
records the heartbeats. A heartbeat costs two system calls, which take some microseconds.
"""

from __future__ import annotations

import gc
import os
import resource
import time
from collections.abc import Callable

from ringledge.observe.logging import log
from ringledge.structures.stall_attribution import ProcessCounters, attribute_stall

HEARTBEAT_INTERVAL_S = 0.1  # a logged duration may be shorter than the stall by up to this
# A heartbeat that is later than this is logged: clients notice such a delay, and a busy turn of the loop is
# far shorter.
STALL_THRESHOLD_S = 0.2
# Scheduling statistics of the main thread, which runs the loop: ns running, ns runnable but not scheduled,
# number of time slices.
SCHEDSTAT = "/proc/self/schedstat"
SCHEDSTAT_BYTES = 96  # enough for three 64-bit numbers in decimal, with separators


class StallDetector:
    """Compares the time of each heartbeat with the time it was due."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """`clock` returns monotonic time in seconds."""
        self._clock = clock
        self.longest_event_s = 0.0  # handling time of the longest routing event since the last heartbeat
        self.longest_event = ""  # the type of that event
        self._heartbeat_due_s: float | None = None  # None before the first heartbeat
        self._counters = ProcessCounters()  # as of the last heartbeat
        self._gc_s = 0.0
        self._gc_started_s = 0.0
        self._schedstat_descriptor: int | None = None  # file descriptor; None if not available

    def record_heartbeat(self) -> None:
        """Record a heartbeat, and log a stall if it is late.

        To be called from the loop every `HEARTBEAT_INTERVAL_S`, and once as the loop starts.
        """
        now_s = self._clock()
        if self._heartbeat_due_s is None:
            self._start()
        counters = self._read_counters()
        if self._heartbeat_due_s is not None and now_s - self._heartbeat_due_s > STALL_THRESHOLD_S:
            self._log_stall(now_s - self._heartbeat_due_s, counters)
        self._counters = counters
        self._heartbeat_due_s = now_s + HEARTBEAT_INTERVAL_S
        self.longest_event_s = 0.0
        self.longest_event = ""

    def _start(self) -> None:
        gc.callbacks.append(self._on_gc)
        try:
            self._schedstat_descriptor = os.open(SCHEDSTAT, os.O_RDONLY)
        except OSError:
            self._schedstat_descriptor = None  # the kernel does not provide it

    def _on_gc(self, phase: str, _: dict[str, int]) -> None:
        if phase == "start":
            self._gc_started_s = time.perf_counter()
        else:
            self._gc_s += time.perf_counter() - self._gc_started_s

    def _read_counters(self) -> ProcessCounters:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return ProcessCounters(
            user_s=usage.ru_utime,
            system_s=usage.ru_stime,
            not_scheduled_s=self._read_not_scheduled_s(),
            involuntary_switches=usage.ru_nivcsw,
            minor_faults=usage.ru_minflt,
            major_faults=usage.ru_majflt,
            gc_s=self._gc_s,
            log_write_s=log.write_time_s,
        )

    def _read_not_scheduled_s(self) -> float | None:
        if self._schedstat_descriptor is None:
            return None
        running_ns, not_scheduled_ns = os.pread(self._schedstat_descriptor, SCHEDSTAT_BYTES, 0).split()[:2]
        return int(not_scheduled_ns) / 1e9 if int(running_ns) else None  # zeros: the kernel keeps no counts

    def _log_stall(self, duration_s: float, counters: ProcessCounters) -> None:
        stall = attribute_stall(duration_s, self._counters, counters)
        deltas = stall.deltas
        log.warning(
            "stalled",
            away_ms=_to_ms(stall.duration_s),
            why=stall.cause.value,
            cpu_ms=_to_ms(deltas.user_s + deltas.system_s),
            system_ms=_to_ms(deltas.system_s),
            withheld_ms=None if deltas.not_scheduled_s is None else _to_ms(deltas.not_scheduled_s),
            waited_ms=_to_ms(stall.blocked_s),
            collected_ms=_to_ms(deltas.gc_s),
            logged_ms=_to_ms(deltas.log_write_s),
            switches=deltas.involuntary_switches,
            minor=deltas.minor_faults,
            major=deltas.major_faults,
            longest=self.longest_event,
            longest_ms=_to_ms(self.longest_event_s),
        )


def _to_ms(seconds: float) -> float:
    return round(seconds * 1000, 1)


stall_detector = StallDetector()
