"""Which servers a request may be sent to. The types are in ``ringledge/routing/interface.py``."""

from __future__ import annotations

from ringledge.routing.context import RoutingContext
from ringledge.routing.estimates import Estimates
from ringledge.routing.fleet import FleetState
from ringledge.routing.settings import DedupScope, Idempotency, Role
from ringledge.routing.state import RequestState, Server

# A cold server gets attempts up to this fraction of the rate that is expected to overload it. That rate is
# estimated by taking the usual rate of a warm server as the warm server's capacity.
COLD_ATTEMPT_SHARE = 0.75
# Attempts of a request that may fail on one server. One failure may be chance; a full server stays full.
MAX_ATTEMPTS_PER_SERVER = 2
# The lower bound of a cold server's rate permits this fraction of the prefills that would overload it. The
# rest is left for busy routers and for variance.
COLD_WORK_SHARE = 0.5
# Overload windows for which an idle server saves up credit, since all saved attempts may be sent at once.
MAX_CREDIT_WINDOWS = 2.0


class EligibilityFilter:
    """Filters servers before every selection.

    It prevents repeated effects of a request and the overload of cold servers, and avoids failing servers.
    """

    def __init__(self, context: RoutingContext, fleet: FleetState, estimates: Estimates) -> None:
        self.settings = context.settings
        self.rng = context.rng
        self.clock = context.clock
        self.fleet = fleet
        self.estimates = estimates

    def eligible(self, state: RequestState, servers: list[Server]) -> list[Server]:
        """Return the servers that a request may be sent to, in the given order.

        Some criteria are preferences, each of which is dropped if no server meets it: the random admission
        to cold servers, no earlier failure of this request, reachability, readmission, and the random
        avoidance of failing servers.
        """
        now_ms, rng = self.clock.now_ms, self.rng
        repeatable = [each for each in servers if self.repeatable(state, each, now_ms)]
        allowed = [each for each in repeatable if self._has_start_credit(state, each)]
        failed_attempts_at = state.failed_servers.count
        allowed = [server for server in allowed if failed_attempts_at(server) < MAX_ATTEMPTS_PER_SERVER]
        allowed = [server for server in allowed if self._admit_to_cold_server(state, server)] or allowed
        preferred = [server for server in allowed if server not in state.failed_servers] or allowed
        preferred = [
            server for server in preferred if server.entry.server not in self.fleet.unreachable
        ] or preferred
        if state.request_class.idempotency == Idempotency.IDEMPOTENT:
            # A readmitted server gets the next idempotent request, once, regardless of rank or random choice.
            preferred = [
                server for server in preferred if server.entry.server in self.fleet.readmitted
            ] or preferred
        risk = self.estimates.failure_probability
        return [s for s in preferred if not s.failures or rng.random() >= risk(state, s)] or preferred

    def is_preferred(self, state: RequestState, server: Server) -> bool:
        """Whether a server is reachable, and no attempt of the request has failed there."""
        return server.entry.server not in self.fleet.unreachable and server not in state.failed_servers

    def repeatable(self, state: RequestState, server: Server, sent_ms: float) -> bool:
        """Whether a request sent to a server at `sent_ms` cannot take effect twice.

        A request that may have run is sent again only to a server that still deduplicates it at that time.
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
        """Update a cold server's slow-start credit; return whether the server may get an attempt."""
        now_ms = self.clock.now_ms
        warmth = self.fleet.warmth(server, now_ms)
        if warmth == 1.0:
            return True
        window_ms = self.settings.overload_window_ms
        rate = self._start_rate(state, server, warmth)
        saved_ms = min(now_ms - server.start_credit_ms, MAX_CREDIT_WINDOWS * window_ms)
        gained = rate * saved_ms / max(1.0, window_ms)
        server.start_credit = min(max(1.0, rate), server.start_credit + gained)
        server.start_credit_ms = now_ms
        return server.start_credit >= 1.0

    def _start_rate(self, state: RequestState, server: Server, warmth: float) -> float:
        """Estimate the attempts per overload window that a cold server can take from this router.

        The estimate follows the completions of warm servers. Its lower bound keeps a cold server in use by
        routers that have seen few completions.
        """
        settings, estimates, role = self.settings, self.estimates, server.role
        window_ms, completions = settings.overload_window_ms, estimates.completions[role]
        known_ms = self.clock.now_ms - completions[0] if completions else 0.0
        usual = len(completions) * window_ms / max(window_ms, known_ms) / self.fleet.peak_servers[role]
        floor = settings.overload_multiple * settings.cold_capacity / settings.routers
        if role == Role.PREFILL and estimates.prefill_ms_per_token:
            work = estimates.mean_work[role] or estimates.work_tokens(state, server)
            prefill_ms = estimates.prefill_ms_per_token * work
            floor *= max(1.0, COLD_WORK_SHARE * window_ms / prefill_ms)
        return max(COLD_ATTEMPT_SHARE * settings.overload_multiple * warmth * usual, floor)

    def _admit_to_cold_server(self, state: RequestState, server: Server) -> bool:
        """Decide at random whether a request may go to a cold server, less likely the more work it is."""
        if self.fleet.warmth(server, self.clock.now_ms) == 1.0:
            return True
        return self.rng.random() * self.estimates.relative_work(state, server) < 1.0
