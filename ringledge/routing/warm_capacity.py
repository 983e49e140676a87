"""Sums of the servers' warmth, kept by change. Holds no decision logic."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from ringledge.routing.state import Server

WARM_UNITS = 10**15  # of a warm server; integers, so that sums kept by change equal a recount


@dataclass(slots=True)
class SpillChance:
    """Probability that a KV cache entry leaves a cell or zone that is short of decode servers."""

    by_cell: dict[int, float] = field(default_factory=dict)
    by_zone: dict[int, float] = field(default_factory=dict)


@dataclass(slots=True)
class _Capacity:
    """Warmth of the servers of one place for each role, in units of which a warm server has `WARM_UNITS`."""

    prefill: int = 0
    decode: int = 0
    servers: int = 0


class Contribution(NamedTuple):
    """What one server adds to the sums."""

    cell: int
    zone: int
    prefill: int
    decode: int
    dedicated: int  # warmth of a server that only prefills


class WarmCapacity:
    """Capacity for each role in the fleet, its cells and its zones."""

    def __init__(self) -> None:
        self._fleet = _Capacity()
        self._cells = defaultdict[int, _Capacity](_Capacity)
        self._zones = defaultdict[int, _Capacity](_Capacity)
        self._dedicated = 0
        self._contributions: dict[Server, Contribution] = {}

    def __contains__(self, server: Server) -> bool:
        return server in self._contributions

    @property
    def prefill_only(self) -> float:
        """Sum of the warmth of the servers that only prefill."""
        return self._dedicated / WARM_UNITS

    def set(self, server: Server, contribution: Contribution | None) -> None:
        """Replace what a server adds to the sums; None if it takes no requests."""
        before = self._contributions.pop(server, None)
        if before is not None:
            self._add(before, -1)
        if contribution is not None:
            self._contributions[server] = contribution
            self._add(contribution, 1)

    def _add(self, contribution: Contribution, sign: int) -> None:
        self._dedicated += sign * contribution.dedicated
        places = (self._cells, contribution.cell), (self._zones, contribution.zone)
        for capacity in (self._fleet, *(table[place] for table, place in places)):
            capacity.prefill += sign * contribution.prefill
            capacity.decode += sign * contribution.decode
            capacity.servers += sign
        for table, place in places:
            if not table[place].servers:
                del table[place]

    def cell_spill(self, cell: int) -> float:
        """The spill probability of a cell."""
        return self._shortage(self._cells.get(cell), self._ratio())

    def zone_spill(self, zone: int) -> float:
        """The spill probability of a zone."""
        return self._shortage(self._zones.get(zone), self._ratio())

    def spill_chance(self) -> SpillChance:
        """The spill probabilities of all cells and zones that prefill."""
        return SpillChance(dict(self._shortages(self._cells)), dict(self._shortages(self._zones)))

    def _ratio(self) -> float:
        """The decode capacity that the whole fleet has for each unit of prefill capacity."""
        return self._fleet.decode / max(WARM_UNITS, self._fleet.prefill)

    def _shortages(self, places: dict[int, _Capacity]) -> Iterator[tuple[int, float]]:
        ratio = self._ratio()
        for place, capacity in places.items():
            if ratio * capacity.prefill:
                yield place, self._shortage(capacity, ratio)

    @staticmethod
    def _shortage(capacity: _Capacity | None, ratio: float) -> float:
        """The share of a place's prefills beyond its decode capacity, compared with the whole fleet."""
        required = ratio * capacity.prefill if capacity is not None else 0.0
        return 1 - capacity.decode / required if capacity is not None and required else 0.0
