"""Which servers a request may be sent to at all; the types are in ``crowstand/interface.py``."""

from __future__ import annotations

from crowstand import interface as i
from crowstand.evidence import Evidence, Job, Server

# Tuned values: unit, and why.
COLD_SENDS = 0.75  # of what pushes a cold server over, were the usual all that a warm one can do
COLD_WORK = 0.5  # of the reads that push a cold reader over: the rest is for busy routers, and for chance
CARRIED = 2.0  # windows of the settings whose room a router without traffic keeps: all may come at once then


class Usable(Evidence):
    """The guards before every choice: no effect twice, no cold server pushed over, none that fails."""

    def _usable(self, job: Job, servers: list[Server]) -> list[Server]:
        """Those it may be sent to, without those that chance leaves out by their blame, unless all are."""
        allowed = [s for s in servers if self._repeatable(job, s) and self._cold_room(job, s)]
        allowed = [s for s in allowed if self._light(job, s)] or allowed
        fresh = [s for s in allowed if s not in job.avoid] or allowed
        fresh = [s for s in fresh if s.entry.server not in self.silent] or fresh
        if job.kind.effect == i.Effect.SAFE:  # who was called back is next, once: else chance may pass it by
            fresh = [s for s in fresh if s.entry.server in self.recalled] or fresh
        return [s for s in fresh if not s.blame or self.rng.random() >= self._doubt(job, s)] or fresh

    def _repeatable(self, job: Job, server: Server) -> bool:
        """No effect twice: what may have run goes again only where the repeat is dropped."""
        if job.kind.effect == i.Effect.SAFE or not job.may_have_run:
            return True
        entry, group = server.entry, job.kind.group
        return job.kind.effect == i.Effect.KEYED and all(
            self.now_ms < sent_ms + job.kind.window_ms
            and (group != i.Group.ZONE or ran.entry.zone == entry.zone)
            and (group != i.Group.CELL or ran.entry.cell == entry.cell)
            for ran, sent_ms in job.may_have_run
        )

    def _light(self, job: Job, server: Server) -> bool:
        """Whether a request may be drawn for a server: what costs a cold one several shares seldom is."""
        return self.warmth(server) == 1.0 or self.rng.random() * self._work_share(job, server) < 1.0

    def _cold_room(self, job: Job, server: Server) -> bool:
        """Slow start: room in what would push a fresh server over, by what a warm one here is known to do."""
        warmth = self.warmth(server)
        if warmth == 1.0:
            return True
        window_ms, done = self.settings.overload_for_ms, self.done[server.role]
        span_ms = max(window_ms, self.settings.warm_after_ms, self.now_ms - done[0] if done else 0.0)
        usual = len(done) * window_ms / span_ms / self.peak[server.role]
        least = self.settings.fall_multiple * self.settings.cold_share / self.settings.routers
        if server.role == i.Role.READER and self.read_pace:
            read_ms = self.read_pace * (self.mean_work[server.role] or self._work(job, server))
            least *= max(1.0, COLD_WORK * window_ms / read_ms)
        rate = max(COLD_SENDS * self.settings.fall_multiple * warmth * usual, least)
        saved_ms = min(self.now_ms - server.credit_ms, CARRIED * window_ms)
        gained = rate * saved_ms / max(1.0, window_ms)
        server.credit, server.credit_ms = min(max(1.0, rate), server.credit + gained), self.now_ms
        return server.credit >= 1.0
