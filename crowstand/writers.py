"""The choice of a writer; the types are in ``crowstand/interface.py``."""

from __future__ import annotations

from crowstand.evidence import Job, Server
from crowstand.readers import CLEARLY_LESS
from crowstand.usable import Usable

# Tuned values: unit, and why.
EVEN = 0.1  # share of the time wanted by which waits may differ before they count: a read takes about that
CALM = 2.0  # times the even wait that a writer's may reach until its cell counts as behind
FULL = 1.0  # share of a writer's memory from which it is passed over: beyond it, answers are undone
DRAGS = 2.0  # times as long as usual that a writer's streams must last to count: answers' lengths vary much


class Writers(Usable):
    """The lighter of two: one near the read state and one farther off."""

    def _writer(self, job: Job, reader: Server) -> Server | None:
        """Late power of two choices: of the reader's cell, of its zone only if that is behind and lighter."""
        ready = self._usable(job, self.writers)
        ready = [server for server in ready if self._filled(server, job) <= FULL] or ready
        cell, zone = reader.entry.cell, reader.entry.zone
        near = [server for server in ready if server.entry.cell == cell]
        rest = [server for server in ready if server.entry.cell != cell]
        far = [server for server in rest if server.entry.zone == zone]
        chance = self.rng.random()
        out_of_zone = chance < self.leave.get(f"zone {zone}", 0.0)
        far = rest if out_of_zone or not far else far
        waits = {s: EVEN * job.kind.aim_ms + s.delay.now(self.now_ms) for s in ready}
        for server in rest:
            waits[server] += self._farther(cell)
        for server in ready:
            waits[server] *= max(1.0, self._drag(server) / DRAGS) ** 2
        burdens = {s: (self._tokens(job) + s.tokens) * waits[s] for s in ready}
        drawn = [self._lighter(servers, waits) for servers in (near, far) if servers]
        if len(drawn) < 2:
            return drawn[0] if drawn else None
        first, second = drawn
        if waits[first] <= CALM * EVEN * job.kind.aim_ms and self._has_room(first, job):
            return first  # to move a state costs time and is priced: not for chance differences
        if out_of_zone or chance < self.leave.get(f"cell {cell}", 0.0):
            first, second = second, first
        return second if burdens[second] < CLEARLY_LESS * burdens[first] else first

    def _lighter(self, servers: list[Server], waits: dict[Server, float]) -> Server:
        """The one with less under way of two that are drawn, the sooner ones rather."""
        two = self.rng.choices(servers, [self.warmth(server) / waits[server] for server in servers], k=2)
        return min(two, key=lambda server: server.tokens)

    def _has_room(self, server: Server, job: Job) -> bool:
        """Whether it is known to be warm and to have memory left."""
        return self.warmth(server) == 1.0 and 0.0 < self._filled(server, job) <= FULL
