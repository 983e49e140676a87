"""Attribution of a stall: where a process's time went between two readings of its counters."""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import StrEnum
from typing import Any


class StallCause(StrEnum):
    """What took the largest share of a stall."""

    CPU = "cpu"
    NOT_SCHEDULED = "withheld"  # runnable, but another process had the processor
    BLOCKED = "waited"  # neither running nor runnable: a system call, a page fault, SIGSTOP


@dataclass(slots=True, frozen=True)
class ProcessCounters:
    """Sums since the process began: times in seconds, the rest are counts."""

    user_s: float = 0.0
    system_s: float = 0.0
    not_scheduled_s: float | None = None  # runnable and not running; None where the system doesn't count it
    involuntary_switches: int = 0
    minor_faults: int = 0
    major_faults: int = 0
    gc_s: float = 0.0  # in the garbage collector; included in the CPU times
    log_write_s: float = 0.0


@dataclass(slots=True, frozen=True)
class StallAttribution:
    """Times in seconds; `deltas` is what the counters gained since the last heartbeat."""

    duration_s: float
    deltas: ProcessCounters
    blocked_s: float  # includes the time not scheduled where the system doesn't count that
    cause: StallCause


def attribute_stall(duration_s: float, before: ProcessCounters, after: ProcessCounters) -> StallAttribution:
    """Attribute the time of a stall to what took the largest share of it.

    The readings enclose the stall, and may enclose some idle time before it. So the time that no counter
    explains is computed from the duration of the stall alone: idle time never counts as blocked. A tie goes
    to the cause that is measured best: CPU first, blocked last.
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
