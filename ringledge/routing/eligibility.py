"""Which servers a request may be sent to at all; the types are in ``ringledge/routing/interface.py``."""

from __future__ import annotations

from ringledge.routing.estimates import PREFILL_OVERHEAD_TOKENS, Estimates
from ringledge.routing.settings import DedupScope, Idempotency, Role
from ringledge.routing.state import Job, Server

# Tuned values: unit, and why.
COLD_ATTEMPTS = 0.75  # of what overloads a cold server, were the usual all that a warm one can do
MAX_ATTEMPTS_PER_SERVER = 2  # of a request that fail: one may be chance, a full server stays full for a while
COLD_WORK = 0.5  # of the prefills that overload a cold server: the rest is for busy routers, and for chance
CREDIT_WINDOWS = 2.0  # windows of the settings whose room is saved without traffic: all may come at once then
MEAN_REQUESTS = 64  # that a mean of their work counts at most: a router's mix changes within a day


class Eligibility(Estimates):
    """The guards before every choice: no effect twice, no cold server overloaded, none that fails."""

    def _eligible(self, job: Job, servers: list[Server]) -> list[Server]:
        """Those it may be sent to, without those that chance leaves out by their failures, unless all are."""
        repeatable = [each for each in servers if self.repeatable(job, each, self.now_ms)]
        allowed = [each for each in repeatable if self._slow_start(job, each)]
        tried = job.failed_servers.count
        allowed = [server for server in allowed if tried(server) < MAX_ATTEMPTS_PER_SERVER]
        allowed = [server for server in allowed if self._draw_cold(job, server)] or allowed
        fresh = [server for server in allowed if server not in job.failed_servers] or allowed
        fresh = [server for server in fresh if server.entry.server not in self.unreachable] or fresh
        if (
            job.request_class.idempotency == Idempotency.IDEMPOTENT
        ):  # a readmitted one is next, once, whatever the chance
            fresh = [server for server in fresh if server.entry.server in self.readmitted] or fresh
        risk = self._failure_probability
        return [s for s in fresh if not s.failures or self.rng.random() >= risk(job, s)] or fresh

    def repeatable(self, job: Job, server: Server, at_ms: float) -> bool:
        """No effect twice: what may have run goes again only where the repeat, at that time, is dropped."""
        if job.request_class.idempotency == Idempotency.IDEMPOTENT or not job.possible_runs:
            return True
        entry, scope = server.entry, job.request_class.dedup_scope
        return job.request_class.idempotency == Idempotency.KEYED and all(
            at_ms < run.sent_ms + job.request_class.dedup_window_ms
            and (scope != DedupScope.ZONE or run.server.entry.zone == entry.zone)
            and (scope != DedupScope.CELL or run.server.entry.cell == entry.cell)
            for run in job.possible_runs
        )

    def _slow_start(self, job: Job, server: Server) -> bool:
        """Room in what would overload a cold server, by what a warm one here is known to do."""
        warmth = self.warmth(server)
        if warmth == 1.0:
            return True
        window_ms, completions = self.settings.overload_window_ms, self.completions[server.role]
        known_ms = self.now_ms - completions[0] if completions else 0.0
        usual = len(completions) * window_ms / max(window_ms, known_ms) / self.peak_servers[server.role]
        floor = self.settings.overload_multiple * self.settings.cold_capacity / self.settings.routers
        if server.role == Role.PREFILL and self.prefill_ms_per_token:
            work = self.mean_work[server.role] or self._work(job, server)
            prefill_ms = self.prefill_ms_per_token * work
            floor *= max(1.0, COLD_WORK * window_ms / prefill_ms)
        rate = max(COLD_ATTEMPTS * self.settings.overload_multiple * warmth * usual, floor)
        saved_ms = min(self.now_ms - server.start_credit_ms, CREDIT_WINDOWS * window_ms)
        gained = rate * saved_ms / max(1.0, window_ms)
        server.start_credit = min(max(1.0, rate), server.start_credit + gained)
        server.start_credit_ms = self.now_ms
        return server.start_credit >= 1.0

    def _draw_cold(self, job: Job, server: Server) -> bool:
        """Whether chance lets a request go to a cold server: the heavier it is, the less often."""
        return self.warmth(server) == 1.0 or self.rng.random() * self._relative_work(job, server) < 1.0

    def _work(self, job: Job, server: Server) -> float:
        """Tokens that a request may cost a server, as if nothing of its prompt were cached."""
        prefills = server.role == Role.PREFILL
        return job.request.prompt_tokens + PREFILL_OVERHEAD_TOKENS if prefills else self._decode_tokens(job)

    def _relative_work(self, job: Job, server: Server) -> float:
        """The same relative to the mean of what completed, one at least: light requests count as well."""
        mean = self.mean_work[server.role]
        return max(1.0, self._work(job, server) / mean) if mean else 1.0

    def _record_success(self, job: Job, server: Server, delay_ms: float) -> None:
        super()._record_success(job, server, delay_ms)
        work, mean = self._work(job, server), self.mean_work[server.role]
        weight = 1 / min(len(self.completions[server.role]), MEAN_REQUESTS)
        self.mean_work[server.role] = mean + weight * (work - mean) if mean else work
