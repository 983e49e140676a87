"""Route: turns the policy's choice of a server into an attempt, unless it must not be sent."""

from __future__ import annotations

from ringledge.core import retry_guard
from ringledge.core.context import StageContext
from ringledge.core.records import Attempt, RequestRecord
from ringledge.routing.interface import (
    AttemptOutcome,
    AttemptStatus,
    Role,
    SendAttempt,
)


def route(context: StageContext, action: SendAttempt) -> Attempt | None:
    """Add an attempt to the request's record and return it.

    Returns None if the attempt must not be sent; it then gets the outcome `NOT_SENT` immediately.
    """
    record = context.registry.records.get(action.request)
    if record is None:
        return None  # the platform's protocol forbids sending an attempt for a request that has ended
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
    context.metrics.attempt_outcomes.labels(AttemptStatus.NOT_SENT.value).inc()
    context.dispatch(
        AttemptOutcome(
            record.request_id, attempt.number, action.server, AttemptStatus.NOT_SENT, 0.0, record.closed
        )
    )
    return None


def _new_attempt(
    context: StageContext, record: RequestRecord, server: str, sent_ms: float, expires_ms: float
) -> Attempt:
    is_prefill = context.servers.role(server) == Role.PREFILL
    return Attempt(
        record=record,
        number=len(record.attempts),
        server=server,
        is_prefill=is_prefill,
        at_most_once=not is_prefill and not retry_guard.is_idempotent(context.settings, record.request),
        sent_ms=sent_ms,
        expires_ms=expires_ms,
        server_started_ms=context.servers.started_ms(server),
    )


def _may_be_sent(context: StageContext, attempt: Attempt, has_attempt_in_flight: bool) -> bool:
    """Whether the request's state permits the attempt, independently of the policy.

    A second attempt may be in flight only as a hedged request: if the settings permit hedging and the request
    is idempotent.
    """
    record = attempt.record
    if record.closed or record.streaming:
        return False
    hedging_allowed = context.settings.hedging_allowed and retry_guard.is_idempotent(
        context.settings, record.request
    )
    if has_attempt_in_flight and not hedging_allowed:
        return False
    return attempt.number < context.settings.max_attempts
