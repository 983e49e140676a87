"""Listed servers and their state as one router sees them. Holds no decision logic."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from ringledge.routing.control_events import RolePlan
from ringledge.routing.endpoints import Availability
from ringledge.routing.settings import Role, RouterSettings
from ringledge.routing.state import Server


@dataclass(slots=True)
class SpillChance:
    """Probability that a KV cache entry leaves a cell or zone that is short of decode servers."""

    by_cell: dict[int, float] = field(default_factory=dict)
    by_zone: dict[int, float] = field(default_factory=dict)


@dataclass(slots=True)
class _WarmCapacity:
    """Sum of the servers' warmth for each role."""

    prefill: float = 0.0
    decode: float = 0.0

    def add(self, prefill: float, decode: float) -> None:
        """Add the warmth of one server."""
        self.prefill += prefill
        self.decode += decode


class FleetState:
    """Listed servers, those that take new requests, operator overrides and the role plan."""

    def __init__(self, settings: RouterSettings) -> None:
        self.settings = settings
        self.servers = dict[str, Server]()
        self.prefill_servers = list[Server]()  # available servers that get new prefills
        self.decode_servers = list[Server]()  # available servers that get new decodes
        self.rankings: dict[str, list[Server]] = {}  # `prefill_servers` ranked by affinity key (a cache)
        self.excluded = set[str]()  # excluded by an operator
        self.readmitted = set[str]()  # readmitted by an operator and not used since
        self.unreachable = frozenset[str]()  # servers to which no connection can be opened at present
        self.role_plan = RolePlan()  # mixed servers that are restricted to one role
        self.peak_servers = Counter[Role]()  # highest number of servers listed at once
        self.spill_chance = SpillChance()

    def availability(self, server: Server) -> Availability:
        """Return the listed availability, or DRAINING for an excluded server, which finishes its work."""
        excluded = server.entry.server in self.excluded
        return Availability.DRAINING if excluded else server.entry.availability

    def warmth(self, server: Server, now_ms: float) -> float:
        """Return the fraction of a server's capacity to use: it rises after its start and is 1 once warm."""
        age_ms, warm_ms = now_ms - server.warming_since_ms, self.settings.warm_after_ms
        if server.warming_since_ms <= 0 or age_ms >= warm_ms:
            return 1.0
        share = max(0.0, age_ms) / max(1.0, warm_ms)
        return self.settings.cold_capacity * (1 - share) + share

    def is_dedicated_to(self, server: Server, role: Role) -> bool:
        """Whether a server gets new work of this role only, by its kind or by the role plan."""
        plan = self.role_plan
        names = plan.no_prefill if role == Role.DECODE else plan.no_decode
        return server.role == role or (server.role == Role.MIXED and server.entry.server in names)

    def estimate_spill(self, up: list[Server], now_ms: float) -> None:
        """Update the spill probability of each cell and zone.

        It is the shortfall of decode capacity against prefill capacity, compared with the whole fleet.
        """
        fleet = _WarmCapacity()
        cells = defaultdict[int, _WarmCapacity](_WarmCapacity)
        zones = defaultdict[int, _WarmCapacity](_WarmCapacity)
        for server in up:
            warmth = self.warmth(server, now_ms)
            prefill = warmth * (not self.is_dedicated_to(server, Role.DECODE))
            decode = warmth * (not self.is_dedicated_to(server, Role.PREFILL))
            for capacity in (fleet, cells[server.entry.cell], zones[server.entry.zone]):
                capacity.add(prefill, decode)
        ratio = fleet.decode / max(1.0, fleet.prefill)
        self.spill_chance = SpillChance(_shortages(cells, ratio), _shortages(zones, ratio))


def _shortages(places: dict[int, _WarmCapacity], ratio: float) -> dict[int, float]:
    """Return the share of prefills beyond the decode capacity, for each cell or zone that prefills.

    `ratio` is the decode capacity that the whole fleet has per prefill capacity.
    """
    required = {place: ratio * capacity.prefill for place, capacity in places.items()}
    return {place: 1 - places[place].decode / need for place, need in required.items() if need}
