"""The conductor: feeds events to the routing policy one at a time and executes the actions it returns."""

from __future__ import annotations

import math
import time
from collections import deque
from collections.abc import Iterator
from typing import Any

from ringledge.core import send_guard
from ringledge.core.action_executor import ActionExecutor
from ringledge.core.clock import Clock
from ringledge.core.context import Context
from ringledge.core.invariants import Invariant, InvariantChecker
from ringledge.core.port import Payload, ResponseSink
from ringledge.core.records import Attempt, RequestRecord
from ringledge.core.registry import RequestRegistry
from ringledge.core.server_port import ServerTransport
from ringledge.core.stages import accept, admit, record_outcome, relay, send
from ringledge.core.timer_queue import TimerQueue
from ringledge.memory.server_list import ServerList, summarize_changes
from ringledge.observe.logging import log
from ringledge.observe.metrics import Metrics
from ringledge.observe.stalls import stall_detector
from ringledge.routing import snapshot
from ringledge.routing.interface import (
    AttemptStatus,
    CancelAttempt,
    EndpointUpdate,
    FailRequest,
    GiveUpReason,
    LoadReport,
    OperatorOverride,
    ProbeResult,
    Request,
    RolePlan,
    RouterSettings,
    RoutingEvent,
    Shutdown,
    TimerFired,
    UnreachableServers,
)
from ringledge.routing.policy import Policy
from ringledge.routing.server_views import server_views

OVERDUE_CHECK_INTERVAL_S = 0.2  # an overdue response is too late to count 0.5 s after its deadline
MAX_TIMER_WAIT_S = 1.0  # the timer loop runs at least this often, so that `timers_running` can see it


class Conductor:
    """Owns the timers and the registry of requests; every choice of a server is the policy's.

    Not re-entrant: an event that arrives while another is handled waits in the queue behind it.
    """

    def __init__(
        self,
        settings: RouterSettings,
        seed: int,
        clock: Clock,
        servers: ServerList,
        metrics: Metrics,
        transport: ServerTransport,
    ) -> None:
        self.policy = Policy(settings, seed)
        self.clock = clock
        self.registry = RequestRegistry()
        self.context = Context(
            settings=settings,
            clock=clock,
            registry=self.registry,
            servers=servers,
            metrics=metrics,
            transport=transport,
            dispatch=self._dispatch,
            invariants=InvariantChecker(settings, clock, servers, metrics),
        )
        self._events: deque[RoutingEvent] = deque()
        self._processing = False
        self._unreachable = frozenset[str]()  # as last reported to the policy
        self._timers = TimerQueue(clock, metrics)
        self._timers_checked_s = -math.inf  # monotonic time of the timer loop's last turn
        self._executor = ActionExecutor(self.context, self._timers)

    # Calls from the clients' side.

    def accept(self, request: Request, payload: Payload, sink: ResponseSink) -> RequestRecord:
        """Register a client's request; exactly one final answer goes to `sink`.

        Raises `DuplicateRequestError` if a request with this id is open.
        """
        record = accept.accept(self.context, request, payload, sink)
        admit.admit(self.context, record)
        return record

    def may_reject(self, record: RequestRecord) -> bool:
        """Whether the request may be rejected, which promises the client that a retry is safe."""
        return admit.may_reject(self.context, record)

    def on_client_disconnected(self, record: RequestRecord) -> None:
        """The client has closed its connection."""
        accept.on_client_disconnected(self.context, record)

    # Calls from discovery and from operators.

    def update_endpoints(self, update: EndpointUpdate, addresses: dict[str, str]) -> None:
        """Apply an update of the server list before all queued events, so that no send overtakes a drain."""
        changed = self.context.servers.apply(update, addresses)
        if changed:
            log.info("endpoints_changed", version=update.version, **summarize_changes(changed))
        self.context.transport.endpoints_changed()
        self._events.appendleft(update)
        self._process_events()

    def override_server(self, server: str, excluded: bool) -> None:
        """Exclude a server by operator override, or include it again, before all queued events."""
        self._events.appendleft(OperatorOverride(server, excluded))
        self._process_events()

    def update_role_plan(self, plan: RolePlan) -> None:
        """Apply a plan of which mixed servers get no new work of one role."""
        self._dispatch(plan)

    # Calls from the servers' side.

    def may_send(self, attempt: Attempt) -> bool:
        """Whether the attempt may be written; call it in the same loop turn that writes its first byte."""
        reason = send_guard.send_rejection_reason(self.context, self.policy, attempt)
        if reason is None:
            return True
        self.context.metrics.not_begun.labels(reason.value).inc()
        request_id = attempt.record.request_id
        log.info("attempt_prevented", request=request_id, server=attempt.server, why=reason.value)
        if reason is send_guard.SendRejectionReason.CLIENT_DISCONNECTED:
            self.on_client_disconnected(attempt.record)  # the loop may not have reached its socket yet
        return False

    def on_attempt_sent(self, attempt: Attempt, timeout_ms: float) -> None:
        """The attempt is being written; `timeout_ms` is the time limit that its server is told."""
        self.context.invariants.check_send(attempt, timeout_ms)

    def on_first_token(self, attempt: Attempt) -> bool:
        """A response has started; False if the client no longer wants it."""
        return relay.begin_stream(self.context, attempt)

    async def relay_chunk(self, attempt: Attempt, data: bytes) -> None:
        """Forward a chunk of the response to the client; waits while the client does not read."""
        await relay.relay_chunk(attempt, data)

    def on_attempt_outcome(
        self, attempt: Attempt, status: AttemptStatus, note: int = 0, load: LoadReport | None = None
    ) -> None:
        """The attempt has ended; for `note` see `AttemptOutcome`."""
        record_outcome.record_outcome(self.context, attempt, status, note, load)

    def on_probe_result(self, result: ProbeResult) -> None:
        """A health check has been answered or has failed."""
        self._dispatch(result)

    # Handover between two processes of one conductor.

    def dump_snapshot(self) -> Iterator[dict[str, Any]]:
        """What the policy has learned, one table at a time."""
        return snapshot.dump(self.policy)

    def load_snapshot(self, part: dict[str, Any]) -> None:
        """Restore what a predecessor's policy has learned; an unreadable part is logged and skipped."""
        try:
            snapshot.load(self.policy, part)
        except (ValueError, TypeError, KeyError) as error:  # written by another version: learn it anew
            log.warning("snapshot_unreadable", error=repr(error))

    def shut_down(self) -> None:
        """Give up all requests that have not started streaming: the process is about to end."""
        self._dispatch(Shutdown())

    # Timers.

    async def run_timers(self) -> None:
        """Fire due timers and check for overdue requests; runs until cancelled."""
        overdue_checked_s = -math.inf
        while True:
            self._timers_checked_s = time.monotonic()
            now_ms = self.clock.now_ms()
            while (token := self._timers.pop_due(now_ms)) is not None:
                self._dispatch(TimerFired(token))
            # After the timers, because a stall of the event loop delays those as well.
            if self._timers_checked_s - overdue_checked_s >= OVERDUE_CHECK_INTERVAL_S:
                overdue_checked_s = self._timers_checked_s
                self._fail_overdue_requests()
            await self._timers.wait(OVERDUE_CHECK_INTERVAL_S if self.registry.records else MAX_TIMER_WAIT_S)

    def _fail_overdue_requests(self) -> None:
        """Fail each open request past its deadline and cancel its attempts."""
        for record in self.context.invariants.check_open_requests(list(self.registry.records.values())):
            admit.fail(self.context, FailRequest(record.request_id, GiveUpReason.OUT_OF_TIME))
            for attempt in record.attempts:
                send.cancel(self.context, CancelAttempt(record.request_id, attempt.number))

    def take_max_timer_lag_ms(self) -> float:
        """The longest delay of a timer since the last call, in ms."""
        return self._timers.take_max_lag_ms()

    def timers_running(self) -> bool:
        """Whether the timer loop runs (a liveness check)."""
        return time.monotonic() - self._timers_checked_s < 2 * MAX_TIMER_WAIT_S

    def avoided_server_count(self) -> int:
        """How many servers of the list the policy avoids now."""
        return sum(view.avoided for view in server_views(self.policy, self.clock.now_ms()))

    # Events to the policy, actions to the stages.

    def _dispatch(self, event: RoutingEvent) -> None:
        self._events.append(event)
        self._process_events()

    def _process_events(self) -> None:
        """Handle queued events one by one, those that their own actions bring about as well."""
        if self._processing:
            return
        self._processing = True
        try:
            while self._events:
                self._handle_safely(self._events.popleft())
        finally:
            self._processing = False

    def _handle_safely(self, event: RoutingEvent) -> None:
        """Handle one event; an exception is counted, and costs only the requests of this event."""
        started_s = time.perf_counter()
        event_type = type(event).__name__
        try:
            self._handle(event)
        except Exception as error:
            log.exception("event_failed", error, type=event_type)
            self.context.invariants.record_violation(Invariant.EVENT_HANDLING_FAILED, type=event_type)
        if (duration_s := time.perf_counter() - started_s) > stall_detector.longest_event_s:
            stall_detector.longest_event_s, stall_detector.longest_event = duration_s, event_type

    def _handle(self, event: RoutingEvent) -> None:
        """Feed one event to the policy and execute the actions it returns."""
        unreachable = self.context.transport.unreachable_servers()
        if unreachable != self._unreachable:  # the policy has to know before it decides anything more
            self._unreachable = unreachable
            self.policy.handle(self.clock.now_ms(), UnreachableServers(unreachable))
        for action in self.policy.handle(self.clock.now_ms(), event):
            self._executor.execute(action)
