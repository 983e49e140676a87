"""The choice of a writer; the types are in ``crowstand/interface.py``."""

from __future__ import annotations

from crowstand.evidence import Job, Server
from crowstand.readers import CLEARLY_LESS
from crowstand.usable import Usable

# Tuned values: unit, and why.
EVEN = 0.1  # share of the time wanted by which waits may differ before they count: a read takes about that
DRAGS = 2.0  # times as long as usual that a writer's streams must last to count: answers' lengths vary much


class Writers(Usable):
    """The lighter of two: one near the read state and one farther off."""

    def _writer(self, job: Job, reader: Server) -> Server | None:
        """Late power of two choices: one of the reader's cell, one of its zone, if much lighter."""
        ready = self._usable(job, self.writers)
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
        drawn = [self.rng.choices(s, [self.warmth(w) / waits[w] for w in s])[0] for s in (near, far) if s]
        if len(drawn) < 2:
            return drawn[0] if drawn else None
        first, second = drawn
        if out_of_zone or chance < self.leave.get(f"cell {cell}", 0.0):
            first, second = second, first
        burdens = [(self._tokens(job) + s.tokens) * waits[s] for s in (first, second)]
        return second if burdens[1] < CLEARLY_LESS * burdens[0] else first
