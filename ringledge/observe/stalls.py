"""Detects stalls of the event loop, and logs what the time went to: one line for each stall.

It needs no thread, no signal and no timer of its own: a task that runs every `HEARTBEAT_INTERVAL_S` anyway
records the heartbeats. A heartbeat costs two system calls, some microseconds.
"""

from __future__ import annotations

import gc
import os
import resource
import time
from collections.abc import Callable

from ringledge.observe.logging import log
from ringledge.structures.stall_attribution import ProcessCounters, attribute_stall

HEARTBEAT_INTERVAL_S = 0.1  # a logged duration may be up to so much shorter than the stall
STALL_THRESHOLD_S = 0.2  # a heartbeat that is later is logged: clients notice, and a busy turn is far shorter
# Of the main thread, which runs the loop: ns running, ns runnable but not scheduled, number of time slices.
SCHEDSTAT = "/proc/self/schedstat"
SCHEDSTAT_BYTES = 96  # three numbers of 64 bits in decimal, with separators


class StallDetector:
    """Compares each heartbeat with the one before."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """`clock`: monotonic, in seconds."""
        self._clock = clock
        self.longest_event_s = 0.0  # of the routing events handled since the last heartbeat
        self.longest_event = ""  # its type
        self._due_s: float | None = None  # when the next heartbeat is due; None before the first
        self._counters = ProcessCounters()  # as of the last heartbeat
        self._gc_s = 0.0
        self._gc_started_s = 0.0
        self._schedstat: int | None = None

    def record_heartbeat(self) -> None:
        """Log a stall if this heartbeat is late.

        To be called from the loop every `HEARTBEAT_INTERVAL_S`, and once as the loop starts.
        """
        now_s = self._clock()
        if self._due_s is None:
            self._start()
        counters = self._read_counters()
        if self._due_s is not None and now_s - self._due_s > STALL_THRESHOLD_S:
            self._log_stall(now_s - self._due_s, counters)
        self._counters = counters
        self._due_s = now_s + HEARTBEAT_INTERVAL_S
        self.longest_event_s = 0.0
        self.longest_event = ""

    def _start(self) -> None:
        gc.callbacks.append(self._on_gc)
        try:
            self._schedstat = os.open(SCHEDSTAT, os.O_RDONLY)
        except OSError:
            self._schedstat = None  # not every system has it

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
        if self._schedstat is None:
            return None
        running_ns, not_scheduled_ns = os.pread(self._schedstat, SCHEDSTAT_BYTES, 0).split()[:2]
        return int(not_scheduled_ns) / 1e9 if int(running_ns) else None  # zeros: the kernel does not count

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
