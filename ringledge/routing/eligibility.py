"""Which servers a request may be sent to at all; the types are in ``ringledge/routing/interface.py``."""

from __future__ import annotations

from ringledge.routing.context import RoutingContext
from ringledge.routing.estimates import Estimates
from ringledge.routing.fleet import FleetState
from ringledge.routing.settings import DedupScope, Idempotency, Role
from ringledge.routing.state import RequestState, Server

COLD_ATTEMPTS = 0.75  # of what overloads a cold server, were the usual all that a warm one can do
MAX_ATTEMPTS_PER_SERVER = 2  # of a request that fail: one may be chance, a full server stays full for a while
COLD_WORK = 0.5  # of the prefills that overload a cold server: the rest is for busy routers, and for chance
CREDIT_WINDOWS = 2.0  # overload windows whose credit is saved without traffic: all may come at once then


class EligibilityFilter:
    """The guards before every choice: no effect twice, no cold server overloaded, none that fails."""

    def __init__(self, context: RoutingContext, fleet: FleetState, estimates: Estimates) -> None:
        self.settings = context.settings
        self.rng = context.rng
        self.clock = context.clock
        self.fleet = fleet
        self.estimates = estimates

    def eligible(self, state: RequestState, servers: list[Server]) -> list[Server]:
        """Those it may be sent to, in their order; empty where there is none.

        Preferences (not cold by chance, not failed before, reachable, readmitted, not failing by chance) are
        dropped one by one where no server would meet them.
        """
        now_ms, rng = self.clock.now_ms, self.rng
        repeatable = [each for each in servers if self.repeatable(state, each, now_ms)]
        allowed = [each for each in repeatable if self._has_start_credit(state, each)]
        failures_at = state.failed_servers.count
        allowed = [server for server in allowed if failures_at(server) < MAX_ATTEMPTS_PER_SERVER]
        allowed = [server for server in allowed if self._draw_cold(state, server)] or allowed
        fresh = [server for server in allowed if server not in state.failed_servers] or allowed
        fresh = [server for server in fresh if server.entry.server not in self.fleet.unreachable] or fresh
        if state.request_class.idempotency == Idempotency.IDEMPOTENT:
            # A readmitted one is next, once, whatever the chance.
            fresh = [server for server in fresh if server.entry.server in self.fleet.readmitted] or fresh
        risk = self.estimates.failure_probability
        return [s for s in fresh if not s.failures or rng.random() >= risk(state, s)] or fresh

    def repeatable(self, state: RequestState, server: Server, sent_ms: float) -> bool:
        """Whether an attempt sent to a server at a time can't take effect twice.

        What may have run is repeated only where the server, at that time, still drops the duplicate.
        """
        request_class = state.request_class
        if request_class.idempotency == Idempotency.IDEMPOTENT or not state.possible_runs:
            return True
        entry, scope = server.entry, request_class.dedup_scope
        return request_class.idempotency == Idempotency.KEYED and all(
            sent_ms < run.sent_ms + request_class.dedup_window_ms
            and (scope != DedupScope.ZONE or run.server.entry.zone == entry.zone)
            and (scope != DedupScope.CELL or run.server.entry.cell == entry.cell)
            for run in state.possible_runs
        )

    def _has_start_credit(self, state: RequestState, server: Server) -> bool:
        """Slow start: whether a server is warm, or has credit for an attempt while it warms up."""
        now_ms = self.clock.now_ms
        warmth = self.fleet.warmth(server, now_ms)
        if warmth == 1.0:
            return True
        window_ms = self.settings.overload_window_ms
        rate = self._start_rate(state, server, warmth)
        saved_ms = min(now_ms - server.start_credit_ms, CREDIT_WINDOWS * window_ms)
        gained = rate * saved_ms / max(1.0, window_ms)
        server.start_credit = min(max(1.0, rate), server.start_credit + gained)
        server.start_credit_ms = now_ms
        return server.start_credit >= 1.0

    def _start_rate(self, state: RequestState, server: Server, warmth: float) -> float:
        """Attempts in a window that a cold server can take, by what a warm one here is known to do."""
        settings, estimates, role = self.settings, self.estimates, server.role
        window_ms, completions = settings.overload_window_ms, estimates.completions[role]
        known_ms = self.clock.now_ms - completions[0] if completions else 0.0
        usual = len(completions) * window_ms / max(window_ms, known_ms) / self.fleet.peak_servers[role]
        floor = settings.overload_multiple * settings.cold_capacity / settings.routers
        if role == Role.PREFILL and estimates.prefill_ms_per_token:
            work = estimates.mean_work[role] or estimates.work_tokens(state, server)
            prefill_ms = estimates.prefill_ms_per_token * work
            floor *= max(1.0, COLD_WORK * window_ms / prefill_ms)
        return max(COLD_ATTEMPTS * settings.overload_multiple * warmth * usual, floor)

    def _draw_cold(self, state: RequestState, server: Server) -> bool:
        """Whether chance lets a request go to a cold server: the heavier it is, the less often."""
        if self.fleet.warmth(server, self.clock.now_ms) == 1.0:
            return True
        return self.rng.random() * self.estimates.relative_work(state, server) < 1.0
