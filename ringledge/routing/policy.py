"""Every decision, read as the life of a request; its types are in ``ringledge/routing/interface.py``."""

from __future__ import annotations

from math import exp
from typing import Any

from ringledge.routing.actions import (
    FailRequest,
    GiveUpReason,
    RejectRequest,
    ReleaseCache,
    RoutingAction,
    SendAttempt,
    SetTimer,
    TimerName,
    WatchEndpoints,
)
from ringledge.routing.control_events import OperatorOverride, RolePlan, Shutdown, UnreachableServers
from ringledge.routing.decode import DecodeChoice
from ringledge.routing.endpoints import EndpointUpdate
from ringledge.routing.estimates import CONNECTION_LOST, PREFILL_OVERHEAD_TOKENS
from ringledge.routing.events import (
    NEVER_RAN,
    AttemptOutcome,
    AttemptStatus,
    ClientDisconnected,
    FirstToken,
    Request,
    TimerFired,
)
from ringledge.routing.interface import RoutingEvent
from ringledge.routing.membership import FleetMembership
from ringledge.routing.prefill import LATE, PrefillChoice
from ringledge.routing.quotas import ARRIVALS_MS, TenantQuotas
from ringledge.routing.settings import DedupScope, Idempotency, Role, RouterSettings
from ringledge.routing.state import Job, PossibleRun, Server

# Tuned values: unit, and why.
RETRY_AFTER_SHARE = 0.25  # of the longest wait that a client follows: congestion often clears within one try
WATCH_MULTIPLE = 4.0  # times the usual delay without a sign of life that count as a failure, if over `LATE`
AVOIDED = 0.5  # failure probability from which a server counts as avoided: it is left out more often than not


class Policy(PrefillChoice, DecodeChoice, FleetMembership, TenantQuotas):
    """One router's decisions: events in, actions out."""

    def __init__(self, settings: RouterSettings, seed: int) -> None:
        super().__init__(settings, seed)
        self.handlers: dict[type, Any] = {
            Request: self._accept,
            AttemptOutcome: self._finish_attempt,
            FirstToken: self._start_stream,
            ClientDisconnected: self._client_gone,
            TimerFired: self._timer,
            EndpointUpdate: self._update_members,
            OperatorOverride: self._override,
            UnreachableServers: self._update_reachability,
            RolePlan: self._update_role_plan,
            Shutdown: self._shut_down,
        }

    def handle(self, now_ms: float, event: RoutingEvent) -> list[RoutingAction]:
        """Handle one event; return the actions it calls for."""
        self.now_ms, self.actions = now_ms, []
        if type(event) in self.handlers:
            self.handlers[type(event)](event)
        return self.actions

    def _accept(self, request: Request) -> None:
        classes = self.settings.classes
        if request.class_index >= len(classes):
            return self.actions.append(RejectRequest(request.request, reason=GiveUpReason.UNKNOWN_CLASS))
        arrivals, counted_ms = self.recent_arrivals
        self.recent_arrivals = (arrivals * exp((counted_ms - self.now_ms) / ARRIVALS_MS) + 1, self.now_ms)
        request_class = classes[request.class_index]
        value = request_class.priority_weight / max(each.priority_weight for each in classes)
        if self._over_quota(request.tenant):
            value *= self.settings.over_quota_weight
        scopes = [f"class {request.class_index}"]
        if request.tenant < len(self.settings.tenants):
            scopes.append(f"tenant {request.tenant}")
        job = Job(request, request_class, value, self.now_ms + request.expires_in_ms, scopes)
        self.jobs[request.request] = job
        self._proceed(job)
        self._watch(job)

    def _proceed(self, job: Job) -> None:
        """Take the next step of a request with no attempt in flight: prefill, decode, or give up."""
        job.shed_why = GiveUpReason.NO_SERVER
        server = self._choose_decode(job, job.kv_server) if job.kv_server else self._choose_prefill(job)
        # A prefill needs one more attempt, for the decode.
        if server is None:
            self._give_up(job, job.shed_why)
        elif job.attempts + (server.role == Role.PREFILL) >= self.settings.max_attempts:
            self._give_up(job, GiveUpReason.ATTEMPTS_USED)
        else:
            self._send(job, server)

    def _send(self, job: Job, server: Server) -> None:
        self.readmitted.discard(server.entry.server)
        uncached = self._uncached_tokens(job.request, server)
        job.prefill_tokens = 0.0 if job.kv_server else uncached
        job.pending_tokens = uncached if server.role == Role.PREFILL else self._decode_tokens(job)
        server.prefill_tokens += job.prefill_tokens
        server.pending_tokens += job.pending_tokens
        job.queued_tokens = 0.0 if job.kv_server else server.prefill_tokens + PREFILL_OVERHEAD_TOKENS
        job.server, job.sent_ms = server, self.now_ms
        job.attempts += 1
        server.in_flight.append(job)
        server.start_credit -= self._relative_work(job, server)
        timeout_ms = None if self.settings.may_cancel else self._watch_timeout_ms(job, server)
        self.actions.append(SendAttempt(job.request.request, server.entry.server, timeout_ms))

    def _watch_timeout_ms(self, job: Job, server: Server) -> float:
        """How long a server may give no sign of life while a request waits: a slow fleet earns more."""
        usual_ms = self.usual_delay[server.role].value(self.now_ms)
        expected_ms = usual_ms + job.queued_tokens * self.prefill_ms_per_token
        return max(WATCH_MULTIPLE * expected_ms, LATE * job.request_class.target_ms)

    def _watch(self, job: Job) -> None:
        """Give up a request in time; suspect a server with no sign of life since its attempt was sent."""
        if job.ended or job.streaming:
            return
        end_ms = next_ms = job.deadline_ms - self.settings.tick_ms
        if self.now_ms >= end_ms:
            return self._give_up(job, GiveUpReason.OUT_OF_TIME)
        if job.server is not None:
            next_ms = job.sent_ms + self._watch_timeout_ms(job, job.server)
            if self.now_ms >= next_ms:
                next_ms = end_ms
                self._record_result(job, job.server, 1.0)
                prefills = job.server.role == Role.PREFILL
                repeatable = (
                    prefills or job.request_class.idempotency != Idempotency.NON_IDEMPOTENT
                )  # else it could only fail
                if repeatable and job.attempts + prefills < self.settings.max_attempts:
                    self._cancel(job)
        self.actions.append(SetTimer(min(end_ms, next_ms), f"{TimerName.WATCH}:{job.request.request}"))

    def _finish_attempt(self, outcome: AttemptOutcome) -> None:
        job = self.jobs.get(outcome.request)
        if job is None or job.server is None or outcome.attempt != job.attempts - 1:
            return
        server, job.server = job.server, None
        server.in_flight.remove(job)
        server.pending_tokens -= job.pending_tokens
        self._end_prefill(job, server)
        self._learn(job, server, outcome)
        if outcome.status == AttemptStatus.PREFILLED:
            job.kv_server = server
            self._bind(job, server)
        elif outcome.status == AttemptStatus.FULL and outcome.note == 1:
            job.kv_server = None
        if outcome.status not in NEVER_RAN and server.role != Role.PREFILL:
            job.possible_runs.append(PossibleRun(server, job.sent_ms))
        if outcome.status != AttemptStatus.PREFILLED and not (
            outcome.status in CONNECTION_LOST and outcome.note
        ):
            job.failed_servers.append(server)
        job.ended = job.ended or outcome.request_ended
        (self._forget if job.ended else self._proceed)(job)

    def _start_stream(self, event: FirstToken) -> None:
        job = self.jobs.get(event.request)
        if job is None or job.server is None or event.attempt != job.attempts - 1:
            return
        penalty_ms = 0.0
        if job.kv_server is not None:
            cell = job.kv_server.entry.cell
            remote = job.server.entry.cell != cell
            penalty_ms = self._transfer_penalty_ms(cell) if remote else 0.0
            self.fetch_delays[cell, remote].add(self.now_ms, event.latency_ms)
        job.streaming, job.stream_start_ms, job.kv_server = True, self.now_ms, None
        self._end_prefill(job, job.server)
        queued_ms = job.queued_tokens * self.prefill_ms_per_token
        self._record_success(job, job.server, max(0.0, event.latency_ms - penalty_ms - queued_ms))
        if job.server.role == Role.MIXED:
            self._bind(job, job.server)

    def _give_up(self, job: Job, why: GiveUpReason) -> None:
        """Answer at once: refuse where a repeat is harmless, else fail; release what is held."""
        # An attempt still in flight proves nothing, a prefill neither.
        ran = bool(job.possible_runs) or job.server is not None
        effect, scope = job.request_class.idempotency, job.request_class.dedup_scope
        if (
            not ran
            or effect == Idempotency.IDEMPOTENT
            or (effect == Idempotency.KEYED and scope == DedupScope.ALL)
        ):
            longest_ms = self.settings.max_retry_after_ms
            retry_after_ms = RETRY_AFTER_SHARE * longest_ms if self.settings.retry_after else None
            self.actions.append(RejectRequest(job.request.request, retry_after_ms, why))
        else:
            self.actions.append(FailRequest(job.request.request, why))
        self._end(job)

    def _end(self, job: Job) -> None:
        job.ended = True
        self._cancel(job)
        self._forget(job)

    def _forget(self, job: Job) -> None:
        """With no attempt in flight, drop an ended request and release its KV cache entry."""
        if job.server is None:
            if job.kv_server is not None:
                self.actions.append(ReleaseCache(job.request.request))
            del self.jobs[job.request.request]

    def _shut_down(self, _: Shutdown) -> None:
        """Give up all that has not begun while there is time to say so and to release what is held."""
        for job in [job for job in self.jobs.values() if not (job.streaming or job.ended)]:
            self._give_up(job, GiveUpReason.SHUTDOWN)

    def _client_gone(self, event: ClientDisconnected) -> None:
        if event.request in self.jobs:
            self._end(self.jobs[event.request])

    def _timer(self, timer: TimerFired) -> None:
        name, _, request = timer.token.partition(":")
        if name == TimerName.WATCH and request in self.jobs:
            self._watch(self.jobs[request])
        elif name == TimerName.MEMBERS:
            self.actions.append(WatchEndpoints())
        elif name == TimerName.EXPIRE:
            self._expire()
