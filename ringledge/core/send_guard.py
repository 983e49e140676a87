"""The one question before an attempt's first byte: whether it may begin, asked in the turn of the write.

Between the choice of a server and the moment in which its connection is there, the client may leave, its time
may end, and discovery may say that the server drains or was started anew.
"""

from __future__ import annotations

from enum import Enum

from ringledge.core import retry_guard as repeats
from ringledge.core.context import Context
from ringledge.core.records import Attempt
from ringledge.routing.interface import (
    Availability,
    Idempotency,
    RouterSettings,
)
from ringledge.routing.policy import Policy

ARRIVAL_MS = 20.0  # that a written request may take to its server: some times what a connection takes
LEAST_MS = 1.0  # of the client's time that has to be left: the header tells whole milliseconds


class SendRefusal(Enum):
    """Why an attempt may not begin."""

    ENDED = "ended"  # it was given up, or its request is over
    CLIENT_LEFT = "client_left"
    OUT_OF_TIME = "out_of_time"
    SERVER_CLOSED = "server_closed"  # it drains, is gone, or was excluded
    SERVER_RESTARTED = "server_restarted"  # it was chosen as one that is warm, and is cold
    REPEAT_LATE = "repeat_late"  # servers would no longer drop it as a repeat
    MAY_HAVE_RUN = "may_have_run"  # an earlier attempt may, and the request's class forbids a second run
    ANOTHER_OUT = "another_out"  # an earlier attempt is out on an open connection


def send_refusal(context: Context, policy: Policy, attempt: Attempt) -> SendRefusal | None:
    """Why the attempt may not begin now; None where it may."""
    now_ms = context.clock.now_ms()
    return (
        _client_refusal(attempt, now_ms)
        or _record_refusal(context.settings, attempt, now_ms)
        or _server_refusal(policy, attempt, now_ms)
    )


def _client_refusal(attempt: Attempt, now_ms: float) -> SendRefusal | None:
    """By whom it is for."""
    if attempt.record.closed or not attempt.in_flight:
        return SendRefusal.ENDED
    if attempt.record.caller.is_disconnected():
        return SendRefusal.CLIENT_LEFT
    return SendRefusal.OUT_OF_TIME if attempt.expires_ms - now_ms < LEAST_MS else None


def _record_refusal(settings: RouterSettings, attempt: Attempt, now_ms: float) -> SendRefusal | None:
    """By the request's other attempts, whatever the decisions think of them."""
    request_class = settings.classes[attempt.record.request.class_index]
    others = [each for each in attempt.record.attempts if each is not attempt]
    if not repeats.may_be_beside(settings, request_class, others):
        return SendRefusal.ANOTHER_OUT
    if attempt.is_prefill or repeats.may_repeat(request_class, others, now_ms + ARRIVAL_MS):
        return None
    return (
        SendRefusal.REPEAT_LATE
        if request_class.idempotency is Idempotency.KEYED
        else SendRefusal.MAY_HAVE_RUN
    )


def _server_refusal(policy: Policy, attempt: Attempt, now_ms: float) -> SendRefusal | None:
    """By whom it goes to."""
    server, state = policy.fleet.servers.get(attempt.server), policy.requests.get(attempt.record.name)
    if server is None or policy.fleet.availability(server) != Availability.UP:
        return SendRefusal.SERVER_CLOSED
    if server.entry.started_ms != attempt.server_started_ms:
        return SendRefusal.SERVER_RESTARTED
    late = (
        state is not None
        and not attempt.is_prefill
        and not policy.eligibility.repeatable(state, server, now_ms + ARRIVAL_MS)
    )
    return SendRefusal.REPEAT_LATE if late else None
