"""Send: start an attempt, or cancel it."""

from __future__ import annotations

from ringledge.core.context import Context
from ringledge.core.records import Attempt
from ringledge.core.stages import record_outcome
from ringledge.routing.interface import AttemptStatus, CancelAttempt


def send(context: Context, attempt: Attempt) -> None:
    """Start the attempt."""
    context.transport.send(attempt)


def cancel(context: Context, action: CancelAttempt) -> None:
    """Close an attempt's connection and record it as cancelled, unless it is streaming or has ended."""
    record = context.registry.records.get(action.request)
    if record is None or action.attempt >= len(record.attempts):
        return
    attempt = record.attempts[action.attempt]
    if attempt.in_flight and not attempt.streaming:
        context.transport.abandon(attempt)
        record_outcome.record_outcome(context, attempt, AttemptStatus.CANCELLED)
