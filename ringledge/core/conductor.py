"""The conductor: gives one policy its events and carries its actions out, stage by stage."""

from __future__ import annotations

import heapq
import math
import time
from collections import deque
from collections.abc import Iterator
from itertools import count
from typing import Any

import anyio

from ringledge.core import retry_guard as repeats
from ringledge.core import send_guard as begin
from ringledge.core.clock import Clock
from ringledge.core.context import Context
from ringledge.core.invariants import Invariant, Invariants
from ringledge.core.port import Payload, ResponseSink
from ringledge.core.records import Attempt, Record
from ringledge.core.registry import RequestRegistry
from ringledge.core.server_port import ServerTransport
from ringledge.core.stages import accept, admit, record_outcome, relay, route, send
from ringledge.memory.server_list import ServerList, some_of
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
    LogMessage,
    OperatorOverride,
    PollEndpoints,
    ProbeResult,
    ProbeServer,
    RejectRequest,
    ReleaseCache,
    Request,
    RolePlan,
    RouterSettings,
    RoutingAction,
    RoutingEvent,
    SendAttempt,
    SetTimer,
    Shutdown,
    TimerFired,
    UnreachableServers,
    WatchEndpoints,
)
from ringledge.routing.policy import Policy
from ringledge.routing.server_views import server_views

OVERDUE_LOOK_S = 0.2  # between two looks over the open requests: an overdue answer is lost 0.5 s later
LOOK_S = 1.0  # timers are looked at this often, though none falls due


class Conductor:
    """Owns timers and the registry of requests; every choice of a server is the policy's."""

    def __init__(
        self,
        settings: RouterSettings,
        seed: int,
        clock: Clock,
        servers: ServerList,
        metrics: Metrics,
        port: ServerTransport,
    ) -> None:
        self.policy = Policy(settings, seed)
        self.clock = clock
        self.registry = RequestRegistry()
        invariants = Invariants(settings, clock, servers, metrics)
        self.context = Context(settings, clock, self.registry, servers, metrics, port, self._tell, invariants)
        self._events: deque[RoutingEvent] = deque()
        self._busy = False
        self._silent = frozenset[str]()  # as the policy was told
        self._timers: list[tuple[float, int, str]] = []
        self._numbers = count()
        self._wake = anyio.Event()
        self._late_ms = 0.0  # the latest timer since it was asked
        self._looked_s = -math.inf  # when timers were last looked at

    # What the wires report.

    def accept(self, request: Request, payload: Payload, caller: ResponseSink) -> Record:
        """Accept a client's request; its one final answer comes through the caller."""
        record = accept.accept(self.context, request, payload, caller)
        admit.admit(self.context, record)
        return record

    def may_refuse(self, record: Record) -> bool:
        """Whether a refusal of the request, outside of the decisions too, is true: a retry does no harm."""
        return repeats.may_refuse(self.context.settings.classes[record.request.class_index], record)

    def client_gone(self, record: Record) -> None:
        """The client has closed its connection."""
        accept.client_gone(self.context, record)

    def update_endpoints(self, members: EndpointUpdate, addresses: dict[str, str]) -> None:
        """News of the list; it goes before all else that waits, so that a drain is never overtaken."""
        changed = self.context.servers.apply(members, addresses)
        if changed:
            log.info("servers_changed", version=members.version, **some_of(changed))
        self.context.port.endpoints_changed()
        self._events.appendleft(members)
        self._work()

    def override_server(self, server: str, out: bool) -> None:
        """Operators have left a server out or called it back; like a drain, it is never overtaken."""
        self._events.appendleft(OperatorOverride(server, out))
        self._work()

    def update_role_plan(self, roles: RolePlan) -> None:
        """Which servers that do both get nothing new of one role."""
        self._tell(roles)

    def attempt_sent(self, attempt: Attempt, told_ms: float) -> None:
        """An attempt is being written; `told_ms`: the time that its server is told."""
        self.context.invariants.sent(attempt, told_ms)

    def may_begin(self, attempt: Attempt) -> bool:
        """Whether an attempt may begin; asked in the very turn in which its first byte is written."""
        why = begin.send_refusal(self.context, self.policy, attempt)
        if why is None:
            return True
        self.context.metrics.not_begun.labels(why.value).inc()
        log.info("attempt_not_begun", request=attempt.record.name, server=attempt.server, why=why.value)
        if why is begin.SendRefusal.CLIENT_LEFT:  # the loop may not have come round to it
            self.client_gone(attempt.record)
        return False

    def begin_stream(self, attempt: Attempt) -> bool:
        """An answer has started; False where nobody takes it any more."""
        return relay.begin(self.context, attempt)

    async def relay_chunk(self, attempt: Attempt, data: bytes) -> None:
        """A piece of an answer has come."""
        await relay.pass_on(attempt, data)

    def outcome(
        self, attempt: Attempt, status: AttemptStatus, note: int = 0, load: LoadReport | None = None
    ) -> None:
        """An attempt has ended."""
        record_outcome.record_outcome(self.context, attempt, status, note, load)

    def probed(self, probed: ProbeResult) -> None:
        """A probe has been answered, or not."""
        self._tell(probed)

    # Between the processes of one conductor, while one takes over from the other.

    def dump_snapshot(self) -> Iterator[dict[str, Any]]:
        """What the policy has learned, in parts."""
        return snapshot.dump(self.policy)

    def load_snapshot(self, part: dict[str, Any]) -> None:
        """Take over what a predecessor's policy has learned."""
        try:
            snapshot.load(self.policy, part)
        except (ValueError, TypeError, KeyError) as error:  # of another version: we learn it anew
            log.warning("learned_unreadable", error=repr(error))

    def shut_down(self) -> None:
        """Have all that has not begun given up: the process is about to end."""
        self._tell(Shutdown())

    # Time.

    async def run_timers(self) -> None:
        """Ring each timer when it falls due, and look over the open requests now and then."""
        looked_s = -math.inf
        while True:
            self._looked_s, now_ms = time.monotonic(), self.clock.now_ms()
            while self._timers and self._timers[0][0] <= now_ms:
                due_ms, _, token = heapq.heappop(self._timers)
                self.context.metrics.lag.set((now_ms - due_ms) / 1000)
                self._late_ms = max(self._late_ms, now_ms - due_ms)
                self._tell(TimerFired(token))
            if self._looked_s - looked_s >= OVERDUE_LOOK_S:  # behind the timers: a stall made them late, too
                looked_s = self._looked_s
                self._look_over()
            self._wake = anyio.Event()
            wait_s = (self._timers[0][0] - self.clock.now_ms()) / 1000 if self._timers else LOOK_S
            look_s = OVERDUE_LOOK_S if self.registry.records else LOOK_S
            with anyio.move_on_after(min(look_s, max(0.0, wait_s))):
                await self._wake.wait()

    def _look_over(self) -> None:
        """Look over the open requests; one that nobody has answered by now is failed."""
        for record in self.context.invariants.overdue(list(self.registry.records.values())):
            admit.fail(self.context, FailRequest(record.name, GiveUpReason.OUT_OF_TIME))
            for attempt in record.attempts:
                send.cancel(self.context, CancelAttempt(record.name, attempt.number))

    def timer_lag_ms(self) -> float:
        """How late a timer was at worst since this was asked last."""
        late_ms, self._late_ms = self._late_ms, 0.0
        return late_ms

    def timers_run(self) -> bool:
        """Whether timers are being rung now."""
        return time.monotonic() - self._looked_s < 2 * LOOK_S

    def avoided(self) -> int:
        """How many servers of the list the policy avoids now."""
        return sum(each.avoided for each in server_views(self.policy, self.clock.now_ms()))

    # Events to the policy, actions to the stages.

    def _tell(self, event: RoutingEvent) -> None:
        self._events.append(event)
        self._work()

    def _work(self) -> None:
        """Feed the events one by one; what an action brings about waits its turn behind them."""
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                event, began_s = self._events.popleft(), time.perf_counter()
                try:
                    self._handle(event)
                except Exception as error:  # a fault of ours costs what it met, not all that is open
                    log.exception("event_failed", error, type=type(event).__name__)
                    self.context.invariants.violated(Invariant.HANDLING_FAILED, type=type(event).__name__)
                if (ran_s := time.perf_counter() - began_s) > stall_detector.longest_event_s:
                    stall_detector.longest_event_s, stall_detector.longest_event = ran_s, type(event).__name__
        finally:
            self._busy = False

    def _handle(self, event: RoutingEvent) -> None:
        """Feed one event to the policy, and carry out what it says."""
        silent = self.context.port.unreachable_servers()
        if silent != self._silent:  # the policy knows it before it decides anything more
            self._silent = silent
            self.policy.handle(self.clock.now_ms(), UnreachableServers(silent))
        for action in self.policy.handle(self.clock.now_ms(), event):
            self._carry_out(action)

    def _carry_out(self, action: RoutingAction) -> None:
        match action:
            case SendAttempt():
                attempt = route.route(self.context, action)
                if attempt is not None:
                    send.send(self.context, attempt)
            case SetTimer(at_ms, token):
                heapq.heappush(self._timers, (at_ms, next(self._numbers), token))
                if self._timers[0][2] == token:
                    self._wake.set()
            case RejectRequest():
                admit.refuse(self.context, action)
            case FailRequest():
                admit.fail(self.context, action)
            case CancelAttempt():
                send.cancel(self.context, action)
            case ReleaseCache(name):
                record = self.registry.records.get(name)
                if record is not None and record.done:
                    record_outcome.release_cache(self.context, record)
            case ProbeServer(server):
                self.context.port.probe(server)
            case PollEndpoints():
                self.context.port.poll_endpoints()
            case WatchEndpoints():
                pass  # discovery is watched from the start, whether or not it is asked for
            case LogMessage(text):
                log.info("policy", text=text)
