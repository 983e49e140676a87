"""Send: starts and cancels attempts."""

from __future__ import annotations

from ringledge.core.context import StageContext
from ringledge.core.records import Attempt
from ringledge.core.stages import record_outcome
from ringledge.routing.interface import AttemptStatus, CancelAttempt


def send(context: StageContext, attempt: Attempt) -> None:
    """Have the transport send the attempt."""
    context.transport.send(attempt)


def cancel(context: StageContext, action: CancelAttempt) -> None:
    """Abandon an attempt and record it as cancelled, unless it is streaming or has ended."""
    record = context.registry.records.get(action.request)
    if record is None or action.attempt >= len(record.attempts):
        return
    attempt = record.attempts[action.attempt]
    if attempt.in_flight and not attempt.streaming:
        context.transport.abandon(attempt)
        record_outcome.record_outcome(context, attempt, AttemptStatus.CANCELLED)
