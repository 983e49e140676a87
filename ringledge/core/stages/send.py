"""Send: put an attempt on its way, or stop waiting for it."""

from __future__ import annotations

from crowstand import interface as i
from ringledge.core.desk import Desk
from ringledge.core.ledger import Attempt
from ringledge.core.stages import book


def send(desk: Desk, attempt: Attempt) -> None:
    """Start the attempt."""
    desk.port.send(attempt)


def cancel(desk: Desk, action: i.Cancel) -> None:
    """Close an attempt's connection and book it as cancelled, unless it has begun or ended."""
    record = desk.ledger.records.get(action.request)
    if record is None or action.attempt >= len(record.attempts):
        return
    attempt = record.attempts[action.attempt]
    if attempt.out and not attempt.began:
        desk.port.abandon(attempt)
        book.outcome(desk, attempt, i.Status.CANCELLED)
