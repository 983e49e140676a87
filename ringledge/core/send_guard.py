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

MAX_TRANSIT_MS = 20.0  # that a written request may take to its server: some times what a connection takes
MIN_REMAINING_MS = 1.0  # of the client's time that has to be left: the header tells whole milliseconds


class SendRejectionReason(Enum):
    """Why an attempt may not begin."""

    ATTEMPT_ENDED = "ended"  # it was given up, or its request is over
    CLIENT_DISCONNECTED = "client_left"
    DEADLINE_EXCEEDED = "out_of_time"
    SERVER_UNAVAILABLE = "server_closed"  # it drains, is gone, or was excluded
    SERVER_RESTARTED = "server_restarted"  # it was chosen as one that is warm, and is cold
    DEDUP_WINDOW_EXPIRED = "repeat_late"  # servers would no longer drop it as a repeat
    MAY_HAVE_RUN = "may_have_run"  # an earlier attempt may, and the request's class forbids a second run
    CONCURRENT_ATTEMPT = "another_out"  # an earlier attempt is out on an open connection


def send_rejection_reason(context: Context, policy: Policy, attempt: Attempt) -> SendRejectionReason | None:
    """Why the attempt may not begin now; None where it may."""
    now_ms = context.clock.now_ms()
    return (
        _client_refusal(attempt, now_ms)
        or _record_refusal(context.settings, attempt, now_ms)
        or _server_refusal(policy, attempt, now_ms)
    )


def _client_refusal(attempt: Attempt, now_ms: float) -> SendRejectionReason | None:
    """By whom it is for."""
    if attempt.record.closed or not attempt.in_flight:
        return SendRejectionReason.ATTEMPT_ENDED
    if attempt.record.sink.is_disconnected():
        return SendRejectionReason.CLIENT_DISCONNECTED
    return SendRejectionReason.DEADLINE_EXCEEDED if attempt.expires_ms - now_ms < MIN_REMAINING_MS else None


def _record_refusal(settings: RouterSettings, attempt: Attempt, now_ms: float) -> SendRejectionReason | None:
    """By the request's other attempts, whatever the decisions think of them."""
    request_class = settings.classes[attempt.record.request.class_index]
    others = [each for each in attempt.record.attempts if each is not attempt]
    if not repeats.may_run_concurrently(settings, request_class, others):
        return SendRejectionReason.CONCURRENT_ATTEMPT
    if attempt.is_prefill or repeats.may_retry(request_class, others, now_ms + MAX_TRANSIT_MS):
        return None
    return (
        SendRejectionReason.DEDUP_WINDOW_EXPIRED
        if request_class.idempotency is Idempotency.KEYED
        else SendRejectionReason.MAY_HAVE_RUN
    )


def _server_refusal(policy: Policy, attempt: Attempt, now_ms: float) -> SendRejectionReason | None:
    """By whom it goes to."""
    server, job = policy.servers.get(attempt.server), policy.jobs.get(attempt.record.request_id)
    if server is None or policy.availability(server) != Availability.UP:
        return SendRejectionReason.SERVER_UNAVAILABLE
    if server.entry.started_ms != attempt.server_started_ms:
        return SendRejectionReason.SERVER_RESTARTED
    late = (
        job is not None
        and not attempt.is_prefill
        and not policy.repeatable(job, server, now_ms + MAX_TRANSIT_MS)
    )
    return SendRejectionReason.DEDUP_WINDOW_EXPIRED if late else None
