"""Route: turn the policy's choice of a server into an attempt, or find that it must not be sent."""

from __future__ import annotations

from ringledge.core.context import Context
from ringledge.core.records import Attempt, RequestRecord
from ringledge.routing.interface import (
    AttemptOutcome,
    AttemptStatus,
    Idempotency,
    Role,
    SendAttempt,
)


def route(context: Context, action: SendAttempt) -> Attempt | None:
    """Record the attempt and return it; one that must not be sent gets its outcome right away (None)."""
    record = context.registry.records.get(action.request)
    if record is None:
        return None  # the wire protocol's rule: nothing is sent for a request that has ended
    now_ms = context.clock.now_ms()
    timeout_ms = record.deadline_ms - now_ms
    if action.timeout_ms:
        timeout_ms = min(timeout_ms, action.timeout_ms)
    attempt = _new_attempt(context, record, action.server, now_ms, now_ms + timeout_ms)
    has_attempt_in_flight = any(other.in_flight for other in record.attempts)
    record.attempts.append(attempt)
    may_be_sent = timeout_ms > 0 and _may_be_sent(context, attempt, has_attempt_in_flight)
    if may_be_sent and context.servers.address(action.server) is not None:
        return attempt
    attempt.outcome = AttemptStatus.NOT_SENT
    context.metrics.outcomes.labels(AttemptStatus.NOT_SENT.value).inc()
    context.dispatch(
        AttemptOutcome(
            record.request_id, attempt.number, action.server, AttemptStatus.NOT_SENT, 0.0, record.closed
        )
    )
    return None


def _new_attempt(
    context: Context, record: RequestRecord, server: str, sent_ms: float, expires_ms: float
) -> Attempt:
    is_prefill = context.servers.role(server) == Role.PREFILL
    return Attempt(
        record=record,
        number=len(record.attempts),
        server=server,
        is_prefill=is_prefill,
        at_most_once=not is_prefill and not _is_idempotent(context, record),
        sent_ms=sent_ms,
        expires_ms=expires_ms,
        server_started_ms=context.servers.started_ms(server),
    )


def _may_be_sent(context: Context, attempt: Attempt, has_attempt_in_flight: bool) -> bool:
    """Whether the request's state permits the attempt, whatever the policy decided.

    Two attempts of a request are in flight together only as a hedge that the settings permit, of a request
    that is idempotent.
    """
    record = attempt.record
    if record.closed or record.streaming:
        return False
    hedging_allowed = context.settings.hedging_allowed and _is_idempotent(context, record)
    if has_attempt_in_flight and not hedging_allowed:
        return False
    return attempt.number < context.settings.max_attempts


def _is_idempotent(context: Context, record: RequestRecord) -> bool:
    request_class = context.settings.classes[record.request.class_index]
    return request_class.idempotency is Idempotency.IDEMPOTENT
