"""Admit: ask the policy about a new request, and give the final answers that it decides on."""

from __future__ import annotations

from crowstand import interface as i
from ringledge.core.desk import Desk
from ringledge.core.ledger import Record
from ringledge.core.stages import book


def admit(desk: Desk, record: Record) -> None:
    """Let the policy decide what becomes of the request."""
    desk.tell(record.request)


def refuse(desk: Desk, action: i.Refuse) -> None:
    """Answer at once that a repeat does no harm."""
    record = _close(desk, action.request, "refused")
    if record is not None:
        record.caller.refuse(action.retry_after_ms)


def fail(desk: Desk, action: i.Fail) -> None:
    """Answer at once that the request failed."""
    record = _close(desk, action.request, "failed")
    if record is not None:
        record.caller.fail()


def _close(desk: Desk, name: str, how: str) -> Record | None:
    """Mark the request over; None where it is over already, for then its one answer is given."""
    record = desk.ledger.records.get(name)
    if record is None or record.over or record.began:
        return None
    book.end(desk, record, how)
    book.close(desk, record)
    return record
