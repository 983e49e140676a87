"""Updates a router's estimates from the outcomes of its attempts. The types are in ``interface.py``.

This module holds no decision logic.
"""

from __future__ import annotations

from math import inf

from ringledge.routing.concurrency_limit import CONGESTION_WAIT_SHARE, ConcurrencyLimit
from ringledge.routing.context import RoutingContext
from ringledge.routing.estimates import PREFILL_OVERHEAD_TOKENS, Estimates
from ringledge.routing.events import AttemptOutcome, AttemptStatus
from ringledge.routing.fleet import FleetState
from ringledge.routing.server_pool import FULL_SCAN_SERVERS
from ringledge.routing.settings import Role
from ringledge.routing.state import ANY_REQUEST, SAMPLE_WEIGHT, SERVER_ERROR, RequestState, Server

# Number of first prefills whose fastest sets the prefill rate, since the very first may have queued.
INITIAL_PREFILLS = 4
# Maximum value of a prefill rate sample as a multiple of the current estimate. A prefill may have queued,
# which increases its sample.
MAX_SAMPLE_FACTOR = 4.0
# Decay of earlier streams with each stream that ends: about the last ten count.
STREAM_DECAY = 0.9
# Fraction of an attempt's wait. If a prefill that was sent to the same server within this last part of the
# wait has already completed, it is the better sample of the current delay.
OVERTAKEN_SHARE = 0.5
# Maximum number of samples in the mean work of requests, since a router's traffic mix changes over a day.
MAX_WORK_SAMPLES = 64


class OutcomeObserver:
    """Updates the estimates and the concurrency limit from outcomes and first tokens."""

    def __init__(
        self,
        context: RoutingContext,
        fleet: FleetState,
        estimates: Estimates,
        concurrency_limit: ConcurrencyLimit,
    ) -> None:
        self.settings = context.settings
        self.clock = context.clock
        self.fleet = fleet
        self.estimates = estimates
        self.concurrency_limit = concurrency_limit

    def observe(self, state: RequestState, server: Server, outcome: AttemptOutcome) -> None:
        """Update the estimates from the outcome of an attempt."""
        status, now_ms = outcome.status, self.clock.now_ms
        queued_ms = state.queued_tokens * self.estimates.prefill_ms_per_token
        delay_ms = max(0.0, outcome.latency_ms - queued_ms)
        if status == AttemptStatus.PREFILLED:
            self._observe_prefill_rate(state, server, outcome)
            server.newest_prefill_sent_ms = max(server.newest_prefill_sent_ms, state.sent_ms)
        if status == AttemptStatus.PREFILLED or (status == AttemptStatus.OK and not state.streaming):
            self.record_success(state, server, delay_ms)
        elif status == AttemptStatus.OK:
            self._observe_stream(state, server)
        elif not state.streaming and delay_ms > server.delay_of(state).value(now_ms):
            self._add_delay(state, server, delay_ms)  # a lower bound of the delay without the failure
        self._observe_failure(state, server, outcome)
        if server.role == Role.PREFILL and status in (AttemptStatus.PREFILLED, AttemptStatus.CANCELLED):
            self._observe_congestion(state, outcome)

    def _observe_failure(self, state: RequestState, server: Server, outcome: AttemptOutcome) -> None:
        """Record a failed attempt in the scopes that the failure applies to."""
        status = outcome.status
        if status == AttemptStatus.ERROR and server.role != Role.PREFILL:
            server.failures[SERVER_ERROR].add(self.clock.now_ms, 1.0)
        if outcome.connection_failed:
            server.failures[ANY_REQUEST].add(self.clock.now_ms, 1.0)
        elif status in (AttemptStatus.ERROR, AttemptStatus.TIMEOUT) or outcome.rejected:
            self.record_result(state, server, 1.0)

    def _observe_congestion(self, state: RequestState, outcome: AttemptOutcome) -> None:
        """Adapt the concurrency limit to the wait of a prefill."""
        estimates, now_ms = self.estimates, self.clock.now_ms
        target_ms = state.request_class.target_ms
        wait = (outcome.latency_ms - state.queued_tokens * estimates.prefill_ms_per_token) / target_ms
        if outcome.status == AttemptStatus.CANCELLED and wait <= CONGESTION_WAIT_SHARE:
            return  # cancelled too early to show whether the server queues
        if not self.concurrency_limit.observe_wait(now_ms, wait, state.sent_ms):
            return
        self.fleet.update_warmth(now_ms, FULL_SCAN_SERVERS)
        warm = self.fleet.capacity.prefill_only
        token_ms = max(estimates.prefill_ms_per_token, 1e-3)
        floor = warm * CONGESTION_WAIT_SHARE * target_ms / token_ms / self.settings.routers
        in_flight = state.pending_tokens + PREFILL_OVERHEAD_TOKENS + estimates.prefill_tokens_in_flight()
        self.concurrency_limit.decrease(now_ms, in_flight, floor)

    def _observe_prefill_rate(self, state: RequestState, server: Server, outcome: AttemptOutcome) -> None:
        """Update the prefill rate of an idle server. Faster samples, which queued less, have more weight."""
        estimates = self.estimates
        known = estimates.prefill_ms_per_token
        uncached = max(0.0, state.request.prompt_tokens - outcome.cached_tokens)
        sample = min(
            outcome.latency_ms / (uncached + PREFILL_OVERHEAD_TOKENS), MAX_SAMPLE_FACTOR * known or inf
        )
        weight = SAMPLE_WEIGHT / (6 if sample < known else 60)
        early = len(estimates.completions[server.role]) < INITIAL_PREFILLS and sample < known
        estimates.prefill_ms_per_token += (1.0 if early or not known else weight) * (sample - known)

    def _observe_stream(self, state: RequestState, server: Server) -> None:
        """Add an ended stream to its class's usual duration and its server's slowdown."""
        class_index = state.request.class_index
        duration_ms = self.clock.now_ms - state.stream_start_ms
        usual_ms = self.estimates.usual_stream_ms(class_index)
        change_ms = SAMPLE_WEIGHT / 20 * (duration_ms - usual_ms)
        self.estimates.class_stream_ms[class_index] = usual_ms + change_ms
        server.stream_ratio_sum = STREAM_DECAY * server.stream_ratio_sum + duration_ms / usual_ms
        server.stream_count = STREAM_DECAY * server.stream_count + 1

    def record_success(self, state: RequestState, server: Server, delay_ms: float) -> None:
        """Add a prefill or a first token to the delay and work estimates, and clear failures."""
        estimates, now_ms, role = self.estimates, self.clock.now_ms, server.role
        estimates.completions[role].append(now_ms)
        estimates.usual_delay[role].add(now_ms, delay_ms)
        self._add_delay(state, server, delay_ms)
        server.failures.pop(ANY_REQUEST, None)
        self.record_result(state, server, 0.0)
        work, mean = estimates.work_tokens(state, server), estimates.mean_work[role]
        weight = 1 / min(len(estimates.completions[role]), MAX_WORK_SAMPLES)
        estimates.mean_work[role] = mean + weight * (work - mean) if mean else work

    def _add_delay(self, state: RequestState, server: Server, delay_ms: float) -> None:
        """Add a delay to the server's estimate, unless a later prefill there has overtaken the attempt."""
        now_ms = self.clock.now_ms
        prefills = state.queued_tokens > 0
        if prefills and now_ms - server.newest_prefill_sent_ms < OVERTAKEN_SHARE * (now_ms - state.sent_ms):
            return
        server.delay_of(state).add(now_ms, delay_ms)

    def record_result(self, state: RequestState, server: Server, failed: float) -> None:
        """Add a result (1 if failed, 0 if succeeded) to the failure rates of the request's scopes.

        A success of another class or tenant does not clear a failure.
        """
        for scope in state.failure_scopes:
            if failed or scope in server.failures:
                server.failures[scope].add(self.clock.now_ms, failed)
