"""The final check before an attempt is sent, made in the same event-loop iteration as its first write.

While a connection to the chosen server is being established, the client may disconnect, the deadline may
pass, and discovery may report that the server is draining or was restarted.
"""

from __future__ import annotations

from enum import Enum

from ringledge.core import retry_guard
from ringledge.core.context import StageContext
from ringledge.core.records import Attempt
from ringledge.routing.interface import Availability, Idempotency, RouterSettings
from ringledge.routing.policy import Policy

MAX_TRANSIT_MS = 20.0  # from the write until the server has the request: a few times the connect time
MIN_REMAINING_MS = 1.0  # time to the deadline: the request's header gives it in whole milliseconds


class SendRejectionReason(Enum):
    """Why an attempt may not be sent; the values are labels of a metric."""

    ATTEMPT_ENDED = "ended"  # the attempt was cancelled, or its request is closed
    CLIENT_DISCONNECTED = "client_left"
    DEADLINE_EXCEEDED = "out_of_time"
    SERVER_UNAVAILABLE = "server_closed"  # the server is draining, removed or excluded by an operator
    SERVER_RESTARTED = "server_restarted"  # the server was warm when it was chosen and is cold now
    DEDUP_WINDOW_EXPIRED = "repeat_late"  # servers would no longer recognise the attempt as a duplicate
    MAY_HAVE_RUN = "may_have_run"  # an earlier attempt may have run, and a second run would be unsafe
    CONCURRENT_ATTEMPT = "another_out"  # an earlier attempt was written and is still in flight


def send_rejection_reason(
    context: StageContext, policy: Policy, attempt: Attempt
) -> SendRejectionReason | None:
    """Why the attempt may not be sent now, or None if it may be sent."""
    now_ms = context.clock.now_ms()
    return (
        _check_client(attempt, now_ms)
        or _check_other_attempts(context.settings, attempt, now_ms)
        or _check_server(policy, attempt, now_ms)
    )


def _check_client(attempt: Attempt, now_ms: float) -> SendRejectionReason | None:
    if attempt.record.closed or not attempt.in_flight:
        return SendRejectionReason.ATTEMPT_ENDED
    if attempt.record.sink.is_disconnected():
        return SendRejectionReason.CLIENT_DISCONNECTED
    if attempt.expires_ms - now_ms < MIN_REMAINING_MS:
        return SendRejectionReason.DEADLINE_EXCEEDED
    return None


def _check_other_attempts(
    settings: RouterSettings, attempt: Attempt, now_ms: float
) -> SendRejectionReason | None:
    """Check the request's other attempts by its record, independently of the policy."""
    request_class = settings.classes[attempt.record.request.class_index]
    others = [other for other in attempt.record.attempts if other is not attempt]
    if not retry_guard.may_run_concurrently(settings, request_class, others):
        return SendRejectionReason.CONCURRENT_ATTEMPT
    if attempt.is_prefill or retry_guard.may_retry(request_class, others, now_ms + MAX_TRANSIT_MS):
        return None
    if request_class.idempotency is Idempotency.KEYED:
        return SendRejectionReason.DEDUP_WINDOW_EXPIRED
    return SendRejectionReason.MAY_HAVE_RUN


def _check_server(policy: Policy, attempt: Attempt, now_ms: float) -> SendRejectionReason | None:
    server = policy.fleet.servers.get(attempt.server)
    if server is None or policy.fleet.availability(server) != Availability.UP:
        return SendRejectionReason.SERVER_UNAVAILABLE
    if server.entry.started_ms != attempt.server_started_ms:
        return SendRejectionReason.SERVER_RESTARTED
    state = policy.requests.get(attempt.record.request_id)
    if state is None or attempt.is_prefill:
        return None
    if not policy.eligibility.repeatable(state, server, now_ms + MAX_TRANSIT_MS):
        return SendRejectionReason.DEDUP_WINDOW_EXPIRED
    return None
