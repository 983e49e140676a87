"""Executes the actions that the routing policy returns."""

from __future__ import annotations

from ringledge.core.context import StageContext
from ringledge.core.stages import admit, record_outcome, route, send
from ringledge.core.timer_queue import TimerQueue
from ringledge.observe.logging import log
from ringledge.routing.interface import (
    CancelAttempt,
    FailRequest,
    LogMessage,
    PollEndpoints,
    ProbeServer,
    RejectRequest,
    ReleaseCache,
    RoutingAction,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
)


class ActionExecutor:
    """Passes each action, by its type, to a stage, the timers, the transport or the log."""

    def __init__(self, context: StageContext, timers: TimerQueue) -> None:
        self._context = context
        self._timers = timers

    def execute(self, action: RoutingAction) -> None:
        """Execute one action."""
        context = self._context
        match action:
            case SendAttempt():
                self._send(action)
            case SetTimer(at_ms, token):
                self._timers.schedule(at_ms, token)
            case RejectRequest():
                admit.reject(context, action)
            case FailRequest():
                admit.fail(context, action)
            case CancelAttempt():
                send.cancel(context, action)
            case ReleaseCache(request_id):
                self._release_cache(request_id)
            case ProbeServer(server):
                context.transport.probe(server)
            case PollEndpoints():
                context.transport.poll_endpoints()
            case WatchEndpoints():
                pass  # discovery is watched from the start, whether or not the policy requests it
            case LogMessage(text):
                log.info("routing_message_logged", text=text)

    def _send(self, action: SendAttempt) -> None:
        attempt = route.route(self._context, action)
        if attempt is not None:
            send.send(self._context, attempt)

    def _release_cache(self, request_id: str) -> None:
        record = self._context.registry.records.get(request_id)
        if record is not None and record.is_done:
            record_outcome.release_cache(self._context, record)
