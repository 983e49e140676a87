"""Listed servers and their state as one router sees them, kept by change. Holds no decision logic."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from itertools import count
from math import inf

from ringledge.routing.control_events import RolePlan
from ringledge.routing.endpoints import Availability, ServerEntry
from ringledge.routing.server_pool import ServerPool
from ringledge.routing.settings import Role, RouterSettings
from ringledge.routing.state import RequestState, Server
from ringledge.routing.warm_capacity import WARM_UNITS, Contribution, SpillChance, WarmCapacity


@dataclass(slots=True)
class _RolePools:
    """The available servers of each role."""

    prefill: ServerPool = field(default_factory=ServerPool)
    decode: ServerPool = field(default_factory=ServerPool)


class FleetState:
    """Listed servers, those that take new requests, operator overrides and the role plan."""

    def __init__(self, settings: RouterSettings) -> None:
        self.settings = settings
        self.servers = dict[str, Server]()
        self.busy = dict[Server, None]()  # servers with requests in flight
        self.rankings: dict[str, list[Server]] = {}  # servers ranked by affinity key (a cache)
        self.excluded = set[str]()  # excluded by an operator
        self.readmitted = set[str]()  # readmitted by an operator and not used since
        self.unreachable = frozenset[str]()  # servers to which no connection can be opened at present
        self.role_plan = RolePlan()  # mixed servers that are restricted to one role
        self.peak_servers = Counter[Role]()  # highest number of servers listed at once
        self.capacity = WarmCapacity()
        self._capable = _RolePools()  # by the kinds of the servers
        self._planned: _RolePools | None = None  # and by the role plan; None before the first one
        self._warming = dict[Server, None]()  # available servers that were cold when last looked at
        self._roles = Counter[Role]()  # number of listed servers
        self._cells = Counter[int]()  # number of listed servers
        self._emptied_cells = set[int]()  # since the last completed event
        self._positions = count()

    @property
    def prefill_pool(self) -> ServerPool:
        """The available servers that get new prefills."""
        pool = (self._planned or self._capable).prefill or self._capable.prefill
        return self._capable.decode if not pool and self.settings.decode_may_prefill else pool

    @property
    def decode_pool(self) -> ServerPool:
        """The available servers that get new decodes.

        The plan limits a server to one role, except where that would leave a role without servers.
        """
        return (self._planned or self._capable).decode or self._capable.decode

    @property
    def prefill_servers(self) -> list[Server]:
        """The available servers that get new prefills, in the order of the list."""
        return self.prefill_pool.servers

    @property
    def decode_servers(self) -> list[Server]:
        """The available servers that get new decodes, in the order of the list."""
        return self.decode_pool.servers

    @property
    def spill_chance(self) -> SpillChance:
        """The spill probabilities of all cells and zones."""
        return self.capacity.spill_chance()

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

    def set_role_plan(self, plan: RolePlan) -> None:
        """Replace the role plan; the servers that it concerns are to be placed afterwards."""
        self.role_plan = plan
        if self._planned is None:
            self._planned = _RolePools(self._capable.prefill.copy(), self._capable.decode.copy())

    # Changes of single servers. After them `place` brings the pools and sums up to date.

    def add(self, server: Server) -> None:
        """Add a server, at the position of the one that it replaces or behind all others."""
        before = self.servers.get(server.entry.server)
        if before is not None:
            self._forget(before)
        server.position = next(self._positions) if before is None else before.position
        self.servers[server.entry.server] = server
        self._roles[server.role] += 1
        self._cells[server.entry.cell] += 1

    def remove(self, name: str) -> Server:
        """Remove and return a listed server."""
        server = self.servers.pop(name)
        self._forget(server)
        return server

    def _forget(self, server: Server) -> None:
        self._displace(server)
        self._roles[server.role] -= 1
        self._leave_cell(server)

    def _leave_cell(self, server: Server) -> None:
        cell = server.entry.cell
        self._cells[cell] -= 1
        if not self._cells[cell]:
            del self._cells[cell]
            self._emptied_cells.add(cell)

    def update_entry(self, server: Server, entry: ServerEntry) -> None:
        """Replace the entry of a listed server, which keeps its role."""
        self._displace(server)
        self._leave_cell(server)
        self._cells[entry.cell] += 1
        server.entry = entry

    def place(self, server: Server, now_ms: float) -> None:
        """Put a listed server into the pools of the roles that it gets new work of, and count its warmth."""
        self._displace(server)
        if self.availability(server) != Availability.UP:
            return
        role = server.role
        if role != Role.DECODE:
            self._capable.prefill.add(server)
        if role != Role.PREFILL:
            self._capable.decode.add(server)
        prefills, decodes = self._planned_roles(server)
        if self._planned is not None and prefills:
            self._planned.prefill.add(server)
        if self._planned is not None and decodes:
            self._planned.decode.add(server)
        self._count_warmth(server, now_ms, prefills, decodes)

    def _planned_roles(self, server: Server) -> tuple[bool, bool]:
        """Whether a server gets new prefills, and new decodes, by its kind and the role plan."""
        return not self.is_dedicated_to(server, Role.DECODE), not self.is_dedicated_to(server, Role.PREFILL)

    def _displace(self, server: Server) -> None:
        if server not in self.capacity:
            return
        for pools in (self._capable, self._planned):
            if pools is not None:
                pools.prefill.discard(server)
                pools.decode.discard(server)
        self.capacity.set(server, None)
        self._warming.pop(server, None)

    def _count_warmth(self, server: Server, now_ms: float, prefills: bool, decodes: bool) -> None:
        warmth = round(WARM_UNITS * self.warmth(server, now_ms))
        if warmth == WARM_UNITS:
            self._warming.pop(server, None)
        else:
            self._warming[server] = None
        contribution = Contribution(
            server.entry.cell,
            server.entry.zone,
            warmth * prefills,
            warmth * decodes,
            warmth * (server.role == Role.PREFILL),
        )
        self.capacity.set(server, contribution)

    def update_warmth(self, now_ms: float, max_servers: float = inf) -> None:
        """Count the warmth of the servers that are warming up anew, unless the fleet is too large."""
        for server in list(self._warming) if len(self.servers) <= max_servers else ():
            self._count_warmth(server, now_ms, *self._planned_roles(server))

    def finish_update(self) -> list[int]:
        """Complete the changes of one event; return the cells that no longer have listed servers."""
        self.rankings.clear()
        self.peak_servers |= self._roles  # keeps the higher count
        empty, self._emptied_cells = self._emptied_cells, set()
        return [cell for cell in empty if cell not in self._cells]

    # Requests in flight.

    def reserve(self, server: Server, state: RequestState) -> None:
        """Add an attempt that is being sent to a server."""
        server.reserve(state)
        self.busy[server] = None

    def release(self, server: Server, state: RequestState) -> None:
        """Remove an attempt that has ended."""
        server.release(state)
        if not server.in_flight:
            self.busy.pop(server, None)
