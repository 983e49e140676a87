"""Lifecycle of a request from arrival to final answer. The public types are in ``interface.py``."""

from __future__ import annotations

from dataclasses import dataclass

from ringledge.routing.actions import (
    GiveUpReason,
    RejectRequest,
    ReleaseCache,
    RoutingAction,
    SendAttempt,
    SetTimer,
    TimerName,
    TimerToken,
)
from ringledge.routing.affinity import SessionAffinities
from ringledge.routing.context import RoutingContext
from ringledge.routing.decode import DecodeSelector
from ringledge.routing.estimates import PREFILL_OVERHEAD_TOKENS, Estimates
from ringledge.routing.events import (
    NEVER_RAN,
    AttemptOutcome,
    AttemptStatus,
    ClientDisconnected,
    FirstToken,
    Request,
)
from ringledge.routing.fleet import FleetState
from ringledge.routing.observations import OutcomeObserver
from ringledge.routing.prefill import LATE_WAIT_SHARE, PrefillSelector
from ringledge.routing.quotas import TenantQuotas
from ringledge.routing.settings import Idempotency, Role
from ringledge.routing.state import FailureScope, PossibleRun, RequestState, Server
from ringledge.routing.termination import cancel_actions, final_answer

TIMEOUT_MULTIPLE = 4.0  # multiple of the usual delay after which an unresponsive attempt counts as failed


@dataclass(slots=True, frozen=True)
class LifecycleComponents:
    """Components that the lifecycle of a request uses."""

    fleet: FleetState
    affinities: SessionAffinities
    quotas: TenantQuotas
    estimates: Estimates
    observer: OutcomeObserver
    prefill_selector: PrefillSelector
    decode_selector: DecodeSelector


class RequestLifecycle:
    """Owns the open requests and the actions of the event being handled.

    Each request gets exactly one final answer, and everything reserved for it is released when it ends.
    """

    def __init__(self, context: RoutingContext, components: LifecycleComponents) -> None:
        self.settings = context.settings
        self.clock = context.clock
        self.fleet = components.fleet
        self.affinities = components.affinities
        self.quotas = components.quotas
        self.estimates = components.estimates
        self.observer = components.observer
        self.prefill_selector = components.prefill_selector
        self.decode_selector = components.decode_selector
        self.requests = dict[str, RequestState]()  # open requests by id
        self.actions = list[RoutingAction]()  # actions of the event being handled

    def begin_event(self) -> list[RoutingAction]:
        """Start and return the list of actions for the next event."""
        self.actions = []
        return self.actions

    # Arrival and server selection.

    def accept(self, request: Request) -> None:
        """Register a request; send its first attempt or answer it at once."""
        if request.class_index >= len(self.settings.classes):
            self.actions.append(RejectRequest(request.request, reason=GiveUpReason.UNKNOWN_CLASS))
            return
        self.quotas.record_arrival()
        request_class = self.settings.classes[request.class_index]
        priority = self.quotas.priority(request_class, request.tenant)
        scopes = [FailureScope.of_class(request.class_index)]
        if request.tenant < len(self.settings.tenants):
            scopes.append(FailureScope.of_tenant(request.tenant))
        deadline_ms = self.clock.now_ms + request.expires_in_ms
        state = RequestState(request, request_class, priority, deadline_ms, scopes)
        self.requests[request.request] = state
        self._take_next_step(state)
        self._check_deadlines(state)

    def _take_next_step(self, state: RequestState) -> None:
        """Start the next prefill or decode of a request without an attempt in flight, or give it up."""
        selected = self._select(state)
        if isinstance(selected, GiveUpReason):
            self._give_up(state, selected)
        elif state.attempt_count + (selected.role == Role.PREFILL) >= self.settings.max_attempts:
            self._give_up(state, GiveUpReason.ATTEMPTS_USED)  # a prefill needs another attempt for its decode
        else:
            self._send(state, selected)

    def _select(self, state: RequestState) -> Server | GiveUpReason:
        if state.kv_server is None:
            return self.prefill_selector.select(state)
        return self.decode_selector.select(state, state.kv_server) or GiveUpReason.NO_SERVER

    def _send(self, state: RequestState, server: Server) -> None:
        estimates = self.estimates
        self.fleet.readmitted.discard(server.entry.server)
        uncached = estimates.uncached_tokens(state.request, server)
        decode_only = state.kv_server is not None
        state.prefill_tokens = 0.0 if decode_only else uncached
        state.pending_tokens = uncached if server.role == Role.PREFILL else estimates.decode_tokens(state)
        self.fleet.reserve(server, state)
        state.queued_tokens = 0.0 if decode_only else server.prefill_tokens + PREFILL_OVERHEAD_TOKENS
        state.server = server
        state.sent_ms = self.clock.now_ms
        state.attempt_count += 1
        server.start_credit -= estimates.relative_work(state, server)
        timeout_ms = None if self.settings.may_cancel else self._response_timeout_ms(state, server)
        self.actions.append(SendAttempt(state.request.request, server.entry.server, timeout_ms))

    # Deadlines and timeouts.

    def _response_timeout_ms(self, state: RequestState, server: Server) -> float:
        """Return how long to wait for a response, which is longer if the whole fleet is slow."""
        usual_ms = self.estimates.usual_delay[server.role].value(self.clock.now_ms)
        expected_ms = usual_ms + state.queued_tokens * self.estimates.prefill_ms_per_token
        return max(TIMEOUT_MULTIPLE * expected_ms, LATE_WAIT_SHARE * state.request_class.target_ms)

    def check_timeout(self, request: str) -> None:
        """Check the deadlines of a request whose timer has fired, if it is still open."""
        if request in self.requests:
            self._check_deadlines(self.requests[request])

    def _check_deadlines(self, state: RequestState) -> None:
        """Give up a request at its deadline, time out its attempt if unresponsive, and set the next timer."""
        if state.ended or state.streaming:
            return
        now_ms = self.clock.now_ms
        end_ms = state.deadline_ms - self.settings.tick_ms
        if now_ms >= end_ms:
            self._give_up(state, GiveUpReason.OUT_OF_TIME)
            return
        next_ms = end_ms
        if state.server is not None:
            timeout_at_ms = state.sent_ms + self._response_timeout_ms(state, state.server)
            if now_ms >= timeout_at_ms:
                self._time_out(state, state.server)
            else:
                next_ms = min(end_ms, timeout_at_ms)
        token = TimerToken(TimerName.WATCH, state.request.request)
        self.actions.append(SetTimer(next_ms, token.encode()))

    def _time_out(self, state: RequestState, server: Server) -> None:
        """Record a failed attempt. Cancel it only if a retry can follow, else the request would fail."""
        self.observer.record_result(state, server, 1.0)
        prefills = server.role == Role.PREFILL
        repeatable = prefills or state.request_class.idempotency != Idempotency.NON_IDEMPOTENT
        if repeatable and state.attempt_count + prefills < self.settings.max_attempts:
            self.actions += cancel_actions(self.settings, state)

    # Attempts.

    def _state_of(self, event: AttemptOutcome | FirstToken) -> RequestState | None:
        """Return the request of an event, or None if the event is not for the attempt in flight."""
        state = self.requests.get(event.request)
        in_flight = (
            state is not None and state.server is not None and event.attempt == state.attempt_count - 1
        )
        return state if in_flight else None

    def finish_attempt(self, outcome: AttemptOutcome) -> None:
        """Process the outcome of an attempt and start the next step of its request."""
        state = self._state_of(outcome)
        if state is None or state.server is None:
            return
        server, state.server = state.server, None
        self.fleet.release(server, state)
        self.observer.observe(state, server, outcome)
        if outcome.status == AttemptStatus.PREFILLED:
            state.kv_server = server
            self.affinities.bind(state.request, server, self.clock.now_ms)
        elif outcome.cache_entry_missing:
            state.kv_server = None
        if outcome.status not in NEVER_RAN and server.role != Role.PREFILL:
            state.possible_runs.append(PossibleRun(server, state.sent_ms))
        if outcome.status != AttemptStatus.PREFILLED and not outcome.idle_connection_closed:
            state.failed_servers.append(server)
        state.ended = state.ended or outcome.request_ended
        if state.ended:
            self._remove_if_idle(state)
        else:
            self._take_next_step(state)

    def start_stream(self, event: FirstToken) -> None:
        """Process the first token of an attempt, after which the request is not retried."""
        state = self._state_of(event)
        if state is None or state.server is None:
            return
        server, now_ms = state.server, self.clock.now_ms
        penalty_ms = 0.0
        if state.kv_server is not None:
            cell = state.kv_server.entry.cell
            remote = server.entry.cell != cell
            penalty_ms = self.estimates.transfer_penalty_ms(cell) if remote else 0.0
            self.estimates.fetch_delays[cell, remote].add(now_ms, event.latency_ms)
        state.streaming = True
        state.stream_start_ms = now_ms
        state.kv_server = None
        server.end_prefill(state)
        queued_ms = state.queued_tokens * self.estimates.prefill_ms_per_token
        delay_ms = max(0.0, event.latency_ms - penalty_ms - queued_ms)
        self.observer.record_success(state, server, delay_ms)
        if server.role == Role.MIXED:
            self.affinities.bind(state.request, server, now_ms)

    # Termination.

    def _give_up(self, state: RequestState, reason: GiveUpReason) -> None:
        """Give the final answer and release everything reserved for the request."""
        self.actions.append(final_answer(self.settings, state, reason))
        self._end(state)

    def _end(self, state: RequestState) -> None:
        state.ended = True
        self.actions += cancel_actions(self.settings, state)
        self._remove_if_idle(state)

    def _remove_if_idle(self, state: RequestState) -> None:
        """Delete an ended request and release its KV cache entry, unless an attempt is in flight."""
        if state.server is None:
            if state.kv_server is not None:
                self.actions.append(ReleaseCache(state.request.request))
            del self.requests[state.request.request]

    def disconnect_client(self, event: ClientDisconnected) -> None:
        """End the request of a disconnected client."""
        if event.request in self.requests:
            self._end(self.requests[event.request])

    def shut_down(self) -> None:
        """Give up all requests that are not streaming, while there is time to answer and release them."""
        for state in [each for each in self.requests.values() if not (each.streaming or each.ended)]:
            self._give_up(state, GiveUpReason.SHUTDOWN)
