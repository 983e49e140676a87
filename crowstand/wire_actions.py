"""Translates ``interface.py``'s actions to the simulator's messages."""

from __future__ import annotations

from crowstand.actions import (
    Action,
    AskMembers,
    Cancel,
    Fail,
    Log,
    Probe,
    Refuse,
    Release,
    Send,
    SetTimer,
    Subscribe,
)


def action_line(action: Action) -> str:
    """One action as a line of the protocol."""
    match action:
        case Send(request, server, None):
            return f"DISPATCH op_id={request} host={server}"
        case Send(request, server, timeout_ms):
            return f"DISPATCH op_id={request} host={server} try_for_ms={timeout_ms:.3f}"
        case SetTimer(at_ms, token):
            return f"SET_TIMER fire_at_ms={at_ms:.3f} cookie={token}"
        case Refuse(request, None):
            return f"OVERLOAD_REPLY op_id={request}"
        case Refuse(request, retry_after_ms):
            return f"OVERLOAD_REPLY op_id={request} come_back_ms={retry_after_ms:.3f}"
        case Fail(request):
            return f"FAIL op_id={request}"
        case Cancel(request, attempt):
            return f"ABORT_ATTEMPT op_id={request} shot={attempt}"
        case Release(request):
            return f"UNHOLD op_id={request}"
        case Probe(server):
            return f"ASK_LOAD host={server}"
        case AskMembers():
            return "QUERY_ALL"
        case Subscribe(active):
            return f"WATCH active={int(active)}"
        case Log(text):
            return f"EMIT msg={text}"
