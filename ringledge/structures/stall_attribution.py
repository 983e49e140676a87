"""Where a process's time went between two readings of its counters."""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import Any

CPU, WITHHELD, WAITED = "cpu", "withheld", "waited"


@dataclass(slots=True, frozen=True)
class Counters:
    """Sums since the process began: times in seconds, the rest are counts."""

    user_s: float = 0.0
    system_s: float = 0.0
    withheld_s: float | None = None  # runnable and not running; None where the system doesn't tell
    switches: int = 0  # taken off the processor against its will
    minor: int = 0  # pages found in memory
    major: int = 0  # pages that had to be read
    collected_s: float = 0.0  # in the garbage collector, a part of the CPU
    logged_s: float = 0.0  # in writes of the log


@dataclass(slots=True, frozen=True)
class Away:
    """Times in seconds; `spent` is what the counters gained, from the last sign of life on."""

    away_s: float
    spent: Counters
    waited_s: float  # neither ran nor was ready to run; and withheld too, where that is not told
    why: str  # cpu, withheld or waited: the largest share


def account(away_s: float, before: Counters, after: Counters) -> Away:
    """Say what most of the time went to that a process was away.

    The readings enclose that time and may enclose some rest before it, so what is left over is counted
    against the time away alone: rest is then never taken for a wait. A tie goes to what is surer: CPU
    first, the left-over last.
    """
    spent = Counters(**{each.name: _gained(each.name, before, after) for each in fields(Counters)})
    cpu_s, withheld_s = spent.user_s + spent.system_s, spent.withheld_s or 0.0
    waited_s = max(0.0, away_s - cpu_s - withheld_s)
    shares = {CPU: cpu_s, WITHHELD: withheld_s, WAITED: waited_s}
    return Away(away_s, spent, waited_s, max(shares, key=lambda why: shares[why]))


def _gained(name: str, before: Counters, after: Counters) -> Any:
    earlier, later = getattr(before, name), getattr(after, name)
    return None if earlier is None or later is None else max(0, later - earlier)
