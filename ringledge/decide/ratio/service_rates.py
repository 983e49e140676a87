"""What each server gets through in each role and how warm it is, from all members; free of I/O and clocks.

The median of what members tell counts, so that one that is slow itself, or tells nonsense, moves nothing. A
server's pace stands still while its role changes: what little it does then says nothing of what it can do.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from math import exp
from statistics import median

from ringledge.decide.interface import ServerObservation
from ringledge.decide.ratio.demand_estimate import sane
from ringledge.decide.ratio.settings import RatioConfig


@dataclass(slots=True)
class Pace:
    """One server's; a pace of 0 is not known, and the median of the others stands for it."""

    read: float = 0.0  # prompt tokens per s
    write: float = 0.0  # answer tokens per s
    warmth: float = 1.0  # 0 to 1
    waiting: int = 0  # read states of all members


class Paces:
    """The paces of all servers that are listed."""

    def __init__(self, settings: RatioConfig) -> None:
        self._slow_s = settings.slow_s
        self._at_s: float | None = None
        self._known = dict[str, Pace]()

    def look(
        self,
        now_s: float,
        seen: Mapping[tuple[str, str], ServerObservation],
        listed: Collection[str],
        changing: Collection[str],
    ) -> dict[str, Pace]:
        """Take what members tell, by member and server; gives each listed server's, guessed where need be."""
        weight = 1.0 if self._at_s is None else 1 - exp((self._at_s - now_s) / self._slow_s)
        self._at_s = now_s
        told = defaultdict[str, list[ServerObservation]](list)
        for (_, server), each in seen.items():
            if sane(each):
                told[server].append(each)
        for server in self._known.keys() - set(listed):
            del self._known[server]
        for server in listed:
            known, rows = self._known.setdefault(server, Pace()), told[server]
            known.waiting = sum(row.waiting_entries for row in rows)
            if rows:
                known.warmth = min(1.0, median(row.warmth for row in rows))
            if server not in changing:
                known.read = smoothed(known.read, [row.prefill_rate for row in rows], weight)
                known.write = smoothed(known.write, [row.decode_rate for row in rows], weight)
        reads = median([each.read for each in self._known.values() if each.read] or [0.0])
        writes = median([each.write for each in self._known.values() if each.write] or [0.0])
        return {
            server: Pace(each.read or reads, each.write or writes, each.warmth, each.waiting)
            for server, each in self._known.items()
        }


def smoothed(known: float, told: list[float], weight: float) -> float:
    """A pace with the median of what members know of it taken in."""
    paces = [pace for pace in told if pace > 0]
    if not paces:
        return known
    return median(paces) if not known else known + weight * (median(paces) - known)
