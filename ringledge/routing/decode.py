"""The choice of a decode server; the types are in ``ringledge/routing/interface.py``."""

from __future__ import annotations

from ringledge.routing.context import RoutingContext
from ringledge.routing.eligibility import EligibilityFilter
from ringledge.routing.estimates import Estimates
from ringledge.routing.fleet import FleetState
from ringledge.routing.prefill import CLEARLY_LESS
from ringledge.routing.state import RequestState, Server

BASE_DELAY_SHARE = 0.1  # share of the target time added to each delay, so that small differences don't count
MAX_CALM_DELAY = 2.0  # times that base delay that a server's may reach until its cell counts as congested
MAX_MEMORY_USE = 1.0  # share of a server's memory from which it is passed over: beyond, answers are evicted
SLOW_STREAMS = 2.0  # times as long as usual that its streams must last to count: answers' lengths vary much


class DecodeSelector:
    """Power of two choices (Mitzenmacher 2001): near the KV cache entry, and once more farther off."""

    def __init__(
        self, context: RoutingContext, fleet: FleetState, estimates: Estimates, eligibility: EligibilityFilter
    ) -> None:
        self.rng = context.rng
        self.clock = context.clock
        self.fleet = fleet
        self.estimates = estimates
        self.eligibility = eligibility

    def select(self, state: RequestState, kv_server: Server) -> Server | None:
        """A server in the KV cache entry's cell; in its zone only if that is slow. None: none is eligible."""
        ready = self._with_memory(state, self.eligibility.eligible(state, self.fleet.decode_servers))
        cell, zone = kv_server.entry.cell, kv_server.entry.zone
        spill_chance = self.fleet.spill_chance
        near = [server for server in ready if server.entry.cell == cell]
        remote = [server for server in ready if server.entry.cell != cell]
        far = [server for server in remote if server.entry.zone == zone]
        chance = self.rng.random()
        out_of_zone = chance < spill_chance.by_zone.get(zone, 0.0)
        far = remote if out_of_zone or not far else far
        base_ms = BASE_DELAY_SHARE * state.request_class.target_ms
        delays = self._delays_ms(ready, cell, base_ms)
        candidates = [self._lighter_of_two(servers, delays) for servers in (near, far) if servers]
        if len(candidates) < 2:
            return candidates[0] if candidates else None
        first, second = candidates
        if delays[first] <= MAX_CALM_DELAY * base_ms and self._has_capacity(first, state):
            return first  # a transfer costs time and is priced: not for chance differences
        if out_of_zone or chance < spill_chance.by_cell.get(cell, 0.0):
            first, second = second, first
        tokens = self.estimates.decode_tokens(state)
        loads = {each: (tokens + each.pending_tokens) * delays[each] for each in candidates}
        return second if loads[second] < CLEARLY_LESS * loads[first] else first

    def _with_memory(self, state: RequestState, servers: list[Server]) -> list[Server]:
        """Those with memory left for a further stream, or all if none has."""
        memory_use = self.estimates.memory_use
        return [server for server in servers if memory_use(server, state) <= MAX_MEMORY_USE] or servers

    def _delays_ms(self, servers: list[Server], cell: int, base_ms: float) -> dict[Server, float]:
        """The time to the first token at each server, more where streams are slow."""
        now_ms, estimates = self.clock.now_ms, self.estimates
        delays = {server: base_ms + server.delay.value(now_ms) for server in servers}
        for server in servers:
            if server.entry.cell != cell:
                delays[server] += estimates.transfer_penalty_ms(cell)
            delays[server] *= max(1.0, estimates.stream_slowdown(server) / SLOW_STREAMS) ** 2
        return delays

    def _lighter_of_two(self, servers: list[Server], delays: dict[Server, float]) -> Server:
        """The one with fewer pending tokens of two that are drawn, weighted by warmth and delay."""
        warmth, now_ms = self.fleet.warmth, self.clock.now_ms
        weights = [warmth(server, now_ms) / delays[server] for server in servers]
        return min(self.rng.choices(servers, weights, k=2), key=lambda server: server.pending_tokens)

    def _has_capacity(self, server: Server, state: RequestState) -> bool:
        """Whether it is known to be warm and to have memory left."""
        warm = self.fleet.warmth(server, self.clock.now_ms) == 1.0
        return warm and 0.0 < self.estimates.memory_use(server, state) <= MAX_MEMORY_USE
