"""Translates the actions of ``interface.py`` to the simulator's messages."""

from __future__ import annotations

from ringledge.routing.actions import (
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


def action_line(action: RoutingAction) -> str:
    """Return an action as a line of the protocol."""
    match action:
        case SendAttempt(request, server, None):
            return f"DISPATCH op_id={request} host={server}"
        case SendAttempt(request, server, timeout_ms):
            return f"DISPATCH op_id={request} host={server} try_for_ms={timeout_ms:.3f}"
        case SetTimer(at_ms, token):
            return f"SET_TIMER fire_at_ms={at_ms:.3f} cookie={token}"
        case RejectRequest(request, None):
            return f"OVERLOAD_REPLY op_id={request}"
        case RejectRequest(request, retry_after_ms):
            return f"OVERLOAD_REPLY op_id={request} come_back_ms={retry_after_ms:.3f}"
        case FailRequest(request):
            return f"FAIL op_id={request}"
        case CancelAttempt(request, attempt):
            return f"ABORT_ATTEMPT op_id={request} shot={attempt}"
        case ReleaseCache(request):
            return f"UNHOLD op_id={request}"
        case ProbeServer(server):
            return f"ASK_LOAD host={server}"
        case PollEndpoints():
            return "QUERY_ALL"
        case WatchEndpoints(active):
            return f"WATCH active={int(active)}"
        case LogMessage(text):
            return f"EMIT msg={text}"
