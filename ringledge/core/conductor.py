"""The conductor passes events to the routing policy one at a time and executes the actions it returns."""

from __future__ import annotations

import math
import time
from collections import deque
from collections.abc import Iterator
from typing import Any

from ringledge.core import send_guard
from ringledge.core.action_executor import ActionExecutor
from ringledge.core.clock import Clock
from ringledge.core.context import StageContext
from ringledge.core.event_runner import EventRunner
from ringledge.core.invariants import InvariantChecker
from ringledge.core.port import Payload, ResponseSink
from ringledge.core.records import Attempt, RequestRecord
from ringledge.core.registry import RequestRegistry
from ringledge.core.server_port import ServerTransport
from ringledge.core.stages import accept, admit, record_outcome, relay, send
from ringledge.core.timer_queue import TimerQueue
from ringledge.memory.server_list import ServerList, summarize_changes
from ringledge.observe.logging import log
from ringledge.observe.metrics import Metrics
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

OVERDUE_CHECK_INTERVAL_S = 0.2  # a response counts only until 0.5 s after its deadline
MAX_TIMER_WAIT_S = 1.0  # between two iterations of the timer loop; `timers_running` relies on it


class Conductor:
    """Owns the timers and the registry of requests; the policy makes every choice of a server.

    Not re-entrant: an event that arrives while another one is being handled is queued.
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
        self.context = StageContext(
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
        self._event_runner = EventRunner(self._handle, self.context.invariants, metrics)
        self._processing = False
        self._unreachable = frozenset[str]()  # as last reported to the policy
        self._timers = TimerQueue(clock, metrics)
        self._timers_checked_s = -math.inf  # monotonic time of the timer loop's last iteration
        self._executor = ActionExecutor(self.context, self._timers)

    # Called by the fronts.

    def accept(self, request: Request, payload: Payload, sink: ResponseSink) -> RequestRecord:
        """Register a client's request, which gets exactly one final answer through `sink`.

        Raises `DuplicateRequestError` if a request with the same id is open.
        """
        record = accept.accept(self.context, request, payload, sink)
        admit.admit(self.context, record)
        return record

    def may_reject(self, record: RequestRecord) -> bool:
        """Whether the request may be rejected: a rejection tells the client that a retry is safe."""
        return admit.may_reject(self.context, record)

    def on_client_disconnected(self, record: RequestRecord) -> None:
        """Called when the client has closed its connection."""
        accept.on_client_disconnected(self.context, record)

    # Called by discovery, by operators and by the role planner.

    def update_endpoints(self, update: EndpointUpdate, addresses: dict[str, str]) -> None:
        """Apply a server list update before all queued events, which then use no draining server."""
        changed = self.context.servers.apply(update, addresses)
        if changed:
            log.info("endpoints_changed", version=update.version, **summarize_changes(changed))
        self.context.transport.endpoints_changed([entry.server for entry in update.entries], update.is_whole)
        self._events.appendleft(update)
        self._process_events()

    def override_server(self, server: str, excluded: bool) -> None:
        """Exclude a server, or end its exclusion, by an operator override that precedes all queued events."""
        self._events.appendleft(OperatorOverride(server, excluded))
        self._process_events()

    def update_role_plan(self, plan: RolePlan) -> None:
        """Apply a role plan, by which some mixed servers get no new work of one role."""
        self._dispatch(plan)

    # Called by the transport.

    def may_send(self, attempt: Attempt) -> bool:
        """Whether the attempt may be sent; call it in the event-loop iteration that writes its first byte."""
        reason = send_guard.send_rejection_reason(self.context, self.policy, attempt)
        if reason is None:
            return True
        self.context.metrics.attempts_not_begun.labels(reason.value).inc()
        request_id = attempt.record.request_id
        log.info("attempt_prevented", request=request_id, server=attempt.server, why=reason.value)
        if reason is send_guard.SendRejectionReason.CLIENT_DISCONNECTED:
            self.on_client_disconnected(attempt.record)  # the event loop may not have polled its socket yet
        return False

    def on_attempt_sent(self, attempt: Attempt, timeout_ms: float) -> None:
        """Called as the attempt is being written; `timeout_ms` is the time limit that its server receives."""
        self.context.invariants.check_send(attempt, timeout_ms)

    def on_first_token(self, attempt: Attempt) -> bool:
        """Called when a response has started; returns False if it is no longer to be relayed."""
        return relay.begin_stream(self.context, attempt)

    async def relay_chunk(self, attempt: Attempt, data: bytes) -> None:
        """Forward a chunk of the response to the client; blocks while the client does not read."""
        await relay.relay_chunk(attempt, data)

    def on_attempt_outcome(
        self, attempt: Attempt, status: AttemptStatus, note: int = 0, load: LoadReport | None = None
    ) -> None:
        """Called when the attempt has ended; `AttemptOutcome` describes `note`."""
        record_outcome.record_outcome(self.context, attempt, status, note, load)

    def on_probe_result(self, result: ProbeResult) -> None:
        """Called when a health check has been answered or has failed."""
        self._dispatch(result)

    # Hand-over between the predecessor and the successor process.

    def dump_snapshot(self) -> Iterator[dict[str, Any]]:
        """Yield the policy's estimates in parts, as `snapshot.dump` does."""
        return snapshot.dump(self.policy)

    def load_snapshot(self, part: dict[str, Any]) -> None:
        """Restore one part of the predecessor's snapshot; an unreadable one is logged and skipped."""
        try:
            snapshot.load(self.policy, part)
        except (ValueError, TypeError, KeyError) as error:  # of another version; the estimates are relearned
            log.warning("snapshot_unreadable", error=repr(error))

    def shut_down(self) -> None:
        """End all requests that are not streaming yet, because the process is about to exit."""
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
            # Checked after firing the due timers, which a stall of the event loop delays as well.
            if self._timers_checked_s - overdue_checked_s >= OVERDUE_CHECK_INTERVAL_S:
                overdue_checked_s = self._timers_checked_s
                self._fail_overdue_requests()
            await self._timers.wait(OVERDUE_CHECK_INTERVAL_S if self.registry.records else MAX_TIMER_WAIT_S)

    def _fail_overdue_requests(self) -> None:
        """Fail each overdue request and cancel its attempts."""
        for record in self.context.invariants.check_open_requests(list(self.registry.records.values())):
            admit.fail(self.context, FailRequest(record.request_id, GiveUpReason.OUT_OF_TIME))
            for attempt in record.attempts:
                send.cancel(self.context, CancelAttempt(record.request_id, attempt.number))

    def take_max_timer_lag_ms(self) -> float:
        """Return the longest delay of a timer since the last call, in ms, and reset it."""
        return self._timers.take_max_lag_ms()

    def timers_running(self) -> bool:
        """Whether the timer loop is running, for liveness checks."""
        return time.monotonic() - self._timers_checked_s < 2 * MAX_TIMER_WAIT_S

    def avoided_server_count(self) -> int:
        """The number of listed servers that the policy currently avoids."""
        return sum(view.avoided for view in server_views(self.policy, self.clock.now_ms()))

    # Event handling.

    def _dispatch(self, event: RoutingEvent) -> None:
        self._events.append(event)
        self._process_events()

    def _process_events(self) -> None:
        """Handle the queued events one by one, including those that their actions add."""
        if self._processing:
            return
        self._processing = True
        try:
            while self._events:
                self._event_runner.run(self._events.popleft())
        finally:
            self._processing = False

    def _handle(self, event: RoutingEvent) -> None:
        """Pass one event to the policy and execute the actions it returns."""
        unreachable = self.context.transport.unreachable_servers()
        if unreachable != self._unreachable:  # reported before the event, whose decisions depend on it
            self._unreachable = unreachable
            self.policy.handle(self.clock.now_ms(), UnreachableServers(unreachable))
        for action in self.policy.handle(self.clock.now_ms(), event):
            self._executor.execute(action)
