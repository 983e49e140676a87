"""The listed servers as one router sees them. Data and estimates alone; nothing is decided here."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from ringledge.routing.control_events import RolePlan
from ringledge.routing.endpoints import Availability
from ringledge.routing.settings import Role, RouterSettings
from ringledge.routing.state import Server


@dataclass(slots=True)
class SpillChance:
    """How likely a KV cache entry leaves a place whose decode servers fall short of its prefills."""

    by_cell: dict[int, float] = field(default_factory=dict)
    by_zone: dict[int, float] = field(default_factory=dict)


@dataclass(slots=True)
class _WarmCapacity:
    """Sums of servers' warmth by role."""

    prefill: float = 0.0
    decode: float = 0.0

    def add(self, prefill: float, decode: float) -> None:
        """Include one server."""
        self.prefill += prefill
        self.decode += decode


class FleetState:
    """The servers of the list, which of them take new requests, and what operators said of them."""

    def __init__(self, settings: RouterSettings) -> None:
        self.settings = settings
        self.servers = dict[str, Server]()
        self.prefill_servers = list[Server]()  # those that are up and not excluded
        self.decode_servers = list[Server]()
        self.rankings: dict[str, list[Server]] = {}  # cached orders of `prefill_servers`, by affinity key
        self.excluded = set[str]()  # by operators
        self.readmitted = set[str]()  # by operators, and not used since
        self.unreachable = frozenset[str]()  # servers that no connection reaches just now
        self.role_plan = RolePlan()  # which servers of mixed kinds are restricted to one role
        self.peak_servers = Counter[Role]()  # maximum of servers listed at once
        self.spill_chance = SpillChance()

    def availability(self, server: Server) -> Availability:
        """By the list, unless operators excluded it: then it finishes what it has, as if it drained."""
        excluded = server.entry.server in self.excluded
        return Availability.DRAINING if excluded else server.entry.availability

    def warmth(self, server: Server, now_ms: float) -> float:
        """The part of its capacity that a server is trusted with since its start: 1 once it is warm."""
        age_ms, warm_ms = now_ms - server.warming_since_ms, self.settings.warm_after_ms
        if server.warming_since_ms <= 0 or age_ms >= warm_ms:
            return 1.0
        share = max(0.0, age_ms) / max(1.0, warm_ms)
        return self.settings.cold_capacity * (1 - share) + share

    def is_dedicated_to(self, server: Server, role: Role) -> bool:
        """Whether all that is new to a server is of this role, by its kind or by plan."""
        plan = self.role_plan
        names = plan.no_prefill if role == Role.DECODE else plan.no_decode
        return server.role == role or (server.role == Role.MIXED and server.entry.server in names)

    def estimate_spill(self, up: list[Server], now_ms: float) -> None:
        """How far each place's decode servers fall short of its prefills, relative to the whole fleet."""
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
    """For each place with prefills: the share of its prefills that its decode servers can't take."""
    needs = {place: ratio * capacity.prefill for place, capacity in places.items()}
    return {place: 1 - places[place].decode / need for place, need in needs.items() if need}
