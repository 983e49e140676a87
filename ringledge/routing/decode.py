"""Selection of a decode server. The public types are in ``ringledge/routing/interface.py``."""

from __future__ import annotations

from ringledge.routing.context import RoutingContext
from ringledge.routing.eligibility import EligibilityFilter
from ringledge.routing.estimates import Estimates
from ringledge.routing.fleet import FleetState
from ringledge.routing.prefill import MAX_ALTERNATIVE_RATIO
from ringledge.routing.server_pool import FULL_SCAN_SERVERS, ServerPool
from ringledge.routing.state import RequestState, Server

# Servers of a cell, a zone and the pool that a selection looks at. Two would do, but some may be ineligible.
SAMPLE_SERVERS = 32
# Share of the target time that is added to each delay, so that small differences carry little weight.
BASE_DELAY_SHARE = 0.1
# Multiple of the base delay (`BASE_DELAY_SHARE` of the target time) above which a server, and with it its
# cell, counts as congested.
CONGESTED_DELAY_FACTOR = 2.0
# Share of a server's memory above which it is passed over, because streams would be evicted.
MAX_MEMORY_USE = 1.0
# Multiple of the usual duration above which a server's streams count as slow. Answer lengths vary widely.
SLOW_STREAM_FACTOR = 2.0


class DecodeSelector:
    """Selects decode servers by the power of two choices (Mitzenmacher 2001).

    One choice is made in the cell of the KV cache entry and one outside it.
    """

    def __init__(
        self, context: RoutingContext, fleet: FleetState, estimates: Estimates, eligibility: EligibilityFilter
    ) -> None:
        self.rng = context.rng
        self.clock = context.clock
        self.fleet = fleet
        self.estimates = estimates
        self.eligibility = eligibility

    def select(self, state: RequestState, kv_server: Server) -> Server | None:
        """Select a decode server, or return None if none is eligible.

        A server in the KV cache entry's cell is taken unless it is congested, cold or short of memory. If it
        is, a server outside the cell, if possible in the same zone, is taken if it is clearly less loaded.
        If the cell or zone is short of decode servers, the preference is reversed with its spill probability.
        """
        cell, zone = kv_server.entry.cell, kv_server.entry.zone
        fleet_use = self.estimates.fleet_memory_use(state)
        eligible_servers = self._with_memory(state, self._eligible(state, cell, zone), fleet_use)
        capacity = self.fleet.capacity
        in_cell = [server for server in eligible_servers if server.entry.cell == cell]
        outside_cell = [server for server in eligible_servers if server.entry.cell != cell]
        alternatives = [server for server in outside_cell if server.entry.zone == zone]
        chance = self.rng.random()
        out_of_zone = chance < capacity.zone_spill(zone)
        alternatives = outside_cell if out_of_zone or not alternatives else alternatives
        base_ms = BASE_DELAY_SHARE * state.request_class.target_ms
        delays = self._delays_ms(eligible_servers, cell, base_ms)
        candidates = [
            self._less_loaded_of_two(servers, delays) for servers in (in_cell, alternatives) if servers
        ]
        if len(candidates) < 2:
            return candidates[0] if candidates else None
        preferred, alternative = candidates
        if delays[preferred] <= CONGESTED_DELAY_FACTOR * base_ms and self._has_capacity(
            preferred, state, fleet_use
        ):
            return preferred  # a transfer takes time and has a cost, so random differences do not justify it
        if out_of_zone or chance < capacity.cell_spill(cell):
            preferred, alternative = alternative, preferred
        tokens = self.estimates.decode_tokens(state)
        loads = {each: (tokens + each.pending_tokens) * delays[each] for each in candidates}
        return alternative if loads[alternative] < MAX_ALTERNATIVE_RATIO * loads[preferred] else preferred

    def _eligible(self, state: RequestState, cell: int, zone: int) -> list[Server]:
        """Return the eligible servers: of a large pool, among random ones of the cell, the zone and the pool.

        If none of those can be expected to be reached, others take their place.
        """
        pool = self.fleet.decode_pool
        if len(pool) <= FULL_SCAN_SERVERS:
            return self.eligibility.eligible(state, pool.servers)
        near = (pool.in_cell(cell), pool.in_zone(zone))
        samples = [self._sample(servers) for servers in (*near, pool.servers)]
        candidates = dict.fromkeys(server for sample in samples for server in sample)
        candidates |= dict.fromkeys(self._readmitted(pool))
        eligible_servers = self.eligibility.eligible(state, list(candidates))
        if any(self.eligibility.is_preferred(state, server) for server in eligible_servers):
            return eligible_servers
        others = [server for server in pool.servers if self.eligibility.is_preferred(state, server)]
        return self.eligibility.eligible(state, self._sample(others)) or eligible_servers

    def _readmitted(self, pool: ServerPool) -> list[Server]:
        names = sorted(self.fleet.readmitted & self.fleet.servers.keys())
        servers = [self.fleet.servers[name] for name in names]
        return [server for server in servers if server in pool]

    def _sample(self, servers: list[Server]) -> list[Server]:
        return servers if len(servers) <= SAMPLE_SERVERS else self.rng.sample(servers, SAMPLE_SERVERS)

    def _with_memory(self, state: RequestState, servers: list[Server], fleet_use: float) -> list[Server]:
        """Return the servers with memory left for one more stream, or all if there is none."""
        memory_use = self.estimates.memory_use
        return [
            server for server in servers if memory_use(server, state, fleet_use) <= MAX_MEMORY_USE
        ] or servers

    def _delays_ms(self, servers: list[Server], cell: int, base_ms: float) -> dict[Server, float]:
        """Estimate the time to first token on each server, increased where streams are slow."""
        now_ms, estimates = self.clock.now_ms, self.estimates
        delays = {server: base_ms + server.delay.value(now_ms) for server in servers}
        for server in servers:
            if server.entry.cell != cell:
                delays[server] += estimates.transfer_penalty_ms(cell)
            delays[server] *= max(1.0, estimates.stream_slowdown(server) / SLOW_STREAM_FACTOR) ** 2
        return delays

    def _less_loaded_of_two(self, servers: list[Server], delays: dict[Server, float]) -> Server:
        """Draw two servers, weighted by warmth and delay, and return the one with fewer pending tokens."""
        warmth, now_ms = self.fleet.warmth, self.clock.now_ms
        weights = [warmth(server, now_ms) / delays[server] for server in servers]
        return min(self.rng.choices(servers, weights, k=2), key=lambda server: server.pending_tokens)

    def _has_capacity(self, server: Server, state: RequestState, fleet_use: float) -> bool:
        """Whether a server is warm and known to have memory left."""
        warm = self.fleet.warmth(server, self.clock.now_ms) == 1.0
        return warm and 0.0 < self.estimates.memory_use(server, state, fleet_use) <= MAX_MEMORY_USE
