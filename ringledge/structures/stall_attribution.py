"""Attributes the time of a stall to causes, from two readings of the process's counters."""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import StrEnum
from typing import Any


class StallCause(StrEnum):
    """The cause that took the largest share of a stall."""

    CPU = "cpu"
    NOT_SCHEDULED = "withheld"  # runnable, but the CPU ran another process
    BLOCKED = "waited"  # neither running nor runnable, as in a system call, a page fault or after SIGSTOP


@dataclass(slots=True, frozen=True)
class ProcessCounters:
    """Counters since the start of the process: times in seconds, and numbers of events."""

    user_s: float = 0.0
    system_s: float = 0.0
    not_scheduled_s: float | None = None  # runnable but not running; None if the system does not count it
    involuntary_switches: int = 0
    minor_faults: int = 0
    major_faults: int = 0
    gc_s: float = 0.0  # in the garbage collector; included in the CPU times
    log_write_s: float = 0.0


@dataclass(slots=True, frozen=True)
class StallAttribution:
    """The attribution of one stall; `deltas`: increments of the counters since the last heartbeat."""

    duration_s: float
    deltas: ProcessCounters
    blocked_s: float  # includes the time not scheduled if the system does not count that
    cause: StallCause


def attribute_stall(duration_s: float, before: ProcessCounters, after: ProcessCounters) -> StallAttribution:
    """Attribute a stall to the cause that took the largest share of its time.

    The two readings enclose the stall, and possibly some idle time before it. So the blocked time, which no
    counter measures, is derived from the duration of the stall alone, and never includes idle time. A tie
    goes to the cause that is measured best: CPU first, blocked last.
    """
    deltas = ProcessCounters(
        **{each.name: _delta(each.name, before, after) for each in fields(ProcessCounters)}
    )
    cpu_s = deltas.user_s + deltas.system_s
    not_scheduled_s = deltas.not_scheduled_s or 0.0
    blocked_s = max(0.0, duration_s - cpu_s - not_scheduled_s)
    shares_s = {
        StallCause.CPU: cpu_s,
        StallCause.NOT_SCHEDULED: not_scheduled_s,
        StallCause.BLOCKED: blocked_s,
    }
    cause = max(shares_s, key=lambda each: shares_s[each])
    return StallAttribution(duration_s, deltas, blocked_s, cause)


def _delta(name: str, before: ProcessCounters, after: ProcessCounters) -> Any:
    earlier, later = getattr(before, name), getattr(after, name)
    return None if earlier is None or later is None else max(0, later - earlier)
