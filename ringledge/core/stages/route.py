"""Route: turn the policy's choice of a server into an attempt, or find that it can't be sent."""

from __future__ import annotations

from ringledge.core.context import Context
from ringledge.core.records import Attempt
from ringledge.routing.interface import (
    AttemptOutcome,
    AttemptStatus,
    Idempotency,
    Role,
    SendAttempt,
)


def route(context: Context, action: SendAttempt) -> Attempt | None:
    """Record the attempt; one that may not be sent gets its outcome right away."""
    record = context.registry.records.get(action.request)
    if record is None:
        return None  # the wire's rule: nothing is sent for a request that has ended
    now_ms = context.clock.now_ms()
    timeout_ms = record.deadline_ms - now_ms
    if action.timeout_ms:
        timeout_ms = min(timeout_ms, action.timeout_ms)
    reads = context.servers.role(action.server) == Role.PREFILL
    repeatable = context.settings.classes[record.request.class_index].idempotency is Idempotency.IDEMPOTENT
    once = not reads and not repeatable
    attempt = Attempt(record, len(record.attempts), action.server, reads, once, now_ms, now_ms + timeout_ms)
    attempt.server_started_ms = context.servers.started_ms(action.server)
    another_out = any(each.in_flight for each in record.attempts)
    record.attempts.append(attempt)
    # Two attempts of a request are never out together, whatever was decided, but where the settings allow a
    # second copy of what may be repeated.
    copies = context.settings.hedging_allowed and repeatable
    may_go = not (record.closed or record.streaming or (another_out and not copies))
    may_go = may_go and timeout_ms > 0 and attempt.number < context.settings.max_attempts
    if may_go and context.servers.address(action.server) is not None:
        return attempt
    attempt.outcome = AttemptStatus.NOT_SENT
    context.metrics.outcomes.labels(AttemptStatus.NOT_SENT.value).inc()
    context.dispatch(
        AttemptOutcome(
            record.request_id, attempt.number, action.server, AttemptStatus.NOT_SENT, 0.0, record.closed
        )
    )
    return None
