"""The choice of a decode server; the types are in ``ringledge/routing/interface.py``."""

from __future__ import annotations

from ringledge.routing.eligibility import Eligibility
from ringledge.routing.prefill import CLEARLY_LESS
from ringledge.routing.state import Job, Server

# Tuned values: unit, and why.
BASE_DELAY_SHARE = 0.1  # share of the target time added to each delay, so that small differences don't count
CALM = 2.0  # times that base delay that a server's delay may reach until its cell counts as congested
MAX_MEMORY_USE = 1.0  # share of a server's memory from which it is passed over: beyond, answers are evicted
SLOW_STREAMS = 2.0  # times as long as usual that its streams must last to count: answers' lengths vary much


class DecodeChoice(Eligibility):
    """The lighter of two: one near the KV cache entry and one farther off."""

    def _choose_decode(self, job: Job, kv_server: Server) -> Server | None:
        """Power of two choices: in the KV cache entry's cell; in its zone only if that is slow."""
        ready = self._eligible(job, self.decode_servers)
        ready = [server for server in ready if self._memory_use(server, job) <= MAX_MEMORY_USE] or ready
        cell, zone = kv_server.entry.cell, kv_server.entry.zone
        near = [server for server in ready if server.entry.cell == cell]
        remote = [server for server in ready if server.entry.cell != cell]
        far = [server for server in remote if server.entry.zone == zone]
        chance = self.rng.random()
        out_of_zone = chance < self.spill_chance.get(f"zone {zone}", 0.0)
        far = remote if out_of_zone or not far else far
        base_ms = BASE_DELAY_SHARE * job.request_class.target_ms
        delays = {server: base_ms + server.delay.value(self.now_ms) for server in ready}
        for server in remote:
            delays[server] += self._transfer_penalty_ms(cell)
        for server in ready:
            delays[server] *= max(1.0, self._stream_slowdown(server) / SLOW_STREAMS) ** 2
        candidates = [self._lighter_of_two(servers, delays) for servers in (near, far) if servers]
        if len(candidates) < 2:
            return candidates[0] if candidates else None
        first, second = candidates
        if delays[first] <= CALM * base_ms and self._has_room(first, job):
            return first  # a transfer costs time and is priced: not for chance differences
        if out_of_zone or chance < self.spill_chance.get(f"cell {cell}", 0.0):
            first, second = second, first
        tokens = self._decode_tokens(job)
        loads = {each: (tokens + each.pending_tokens) * delays[each] for each in candidates}
        return second if loads[second] < CLEARLY_LESS * loads[first] else first

    def _lighter_of_two(self, servers: list[Server], delays: dict[Server, float]) -> Server:
        """The one with fewer pending tokens of two that are drawn, weighted by warmth and delay."""
        weights = [self.warmth(server) / delays[server] for server in servers]
        return min(self.rng.choices(servers, weights, k=2), key=lambda server: server.pending_tokens)

    def _has_room(self, server: Server, job: Job) -> bool:
        """Whether it is known to be warm and to have memory left."""
        return self.warmth(server) == 1.0 and 0.0 < self._memory_use(server, job) <= MAX_MEMORY_USE
