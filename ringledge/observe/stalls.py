"""Tells when the event loop was away, and what that time went to: one log line for each time.

It needs no thread, no signal and no timer of its own: whoever looks round every `BEAT_S` anyway beats here.
A beat costs two system calls, some microseconds.
"""

from __future__ import annotations

import gc
import os
import resource
import time
from collections.abc import Callable

from ringledge.observe.logging import log
from ringledge.structures.stall_attribution import Counters, account

BEAT_S = 0.1  # between beats; a line may tell up to so much less than the loop was away
STALL_S = 0.2  # late by more than this, a beat is told of: clients notice it, and a busy turn is far shorter
SCHEDSTAT = "/proc/self/schedstat"  # of the main thread, where the loop runs: ns run, ns withheld, slices
SCHEDSTAT_BYTES = 96  # three numbers of 64 bits in decimal, with what is between them


class Stalls:
    """Compares each beat with the one before."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self.longest_s, self.longest = 0.0, ""  # what the core ran longest since the last beat
        self._due_s: float | None = None  # by the monotonic clock; None: it has not begun
        self._before = Counters()
        self._collected_s = self._collecting_s = 0.0
        self._schedstat: int | None = None

    def beat(self) -> None:
        """Look at the clock; called every `BEAT_S` from the loop, the first time as it begins."""
        now_s = self._clock()
        if self._due_s is None:
            self._begin()
        now = self._read()
        if self._due_s is not None and now_s - self._due_s > STALL_S:
            self._tell(now_s - self._due_s, now)
        self._before, self._due_s = now, now_s + BEAT_S
        self.longest_s, self.longest = 0.0, ""

    def _begin(self) -> None:
        gc.callbacks.append(self._collect)
        try:
            self._schedstat = os.open(SCHEDSTAT, os.O_RDONLY)
        except OSError:
            self._schedstat = None  # not every system tells

    def _collect(self, phase: str, _: dict[str, int]) -> None:
        if phase == "start":
            self._collecting_s = time.perf_counter()
        else:
            self._collected_s += time.perf_counter() - self._collecting_s

    def _read(self) -> Counters:
        used = resource.getrusage(resource.RUSAGE_SELF)
        return Counters(
            used.ru_utime,
            used.ru_stime,
            self._withheld(),
            used.ru_nivcsw,
            used.ru_minflt,
            used.ru_majflt,
            self._collected_s,
            log.spent_s,
        )

    def _withheld(self) -> float | None:
        if self._schedstat is None:
            return None
        ran_ns, withheld_ns = os.pread(self._schedstat, SCHEDSTAT_BYTES, 0).split()[:2]
        return int(withheld_ns) / 1e9 if int(ran_ns) else None  # zeros: a kernel that keeps no count

    def _tell(self, away_s: float, now: Counters) -> None:
        away = account(away_s, self._before, now)
        spent = away.spent
        log.warning(
            "stalled",
            away_ms=_ms(away.away_s),
            why=away.why,
            cpu_ms=_ms(spent.user_s + spent.system_s),
            system_ms=_ms(spent.system_s),
            withheld_ms=None if spent.withheld_s is None else _ms(spent.withheld_s),
            waited_ms=_ms(away.waited_s),
            collected_ms=_ms(spent.collected_s),
            logged_ms=_ms(spent.logged_s),
            switches=spent.switches,
            minor=spent.minor,
            major=spent.major,
            longest=self.longest,
            longest_ms=_ms(self.longest_s),
        )


def _ms(seconds: float) -> float:
    return round(seconds * 1000, 1)


stalls = Stalls()
