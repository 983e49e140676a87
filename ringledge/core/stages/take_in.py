"""Take in: enter a client's request in the ledger."""

from __future__ import annotations

from crowstand import interface as i
from ringledge.core.desk import Desk
from ringledge.core.ledger import Record
from ringledge.core.port import Caller, Payload
from ringledge.core.stages import book


class DuplicateError(Exception):
    """A request with this id is open already: taking it again could run it twice."""


def take_in(desk: Desk, request: i.Request, payload: Payload, caller: Caller) -> Record:
    """Enter the request; from here on exactly one final answer is owed."""
    if desk.ledger.taken(request.request):
        raise DuplicateError(request.request)
    record = Record(request, payload, caller, desk.clock.now_ms())
    desk.ledger.open(record)
    desk.metrics.requests.labels(str(request.class_index)).inc()
    if desk.observer is not None:
        desk.observer.taken(record)
    return record


def client_gone(desk: Desk, record: Record) -> None:
    """The client has left: nothing is owed any more, but the policy has to let go of what is held."""
    if record.over:
        return
    book.end(desk, record, "gone")
    desk.tell(i.ClientGone(record.name))
    # An attempt that has begun is not for the policy to cancel: its stream ends with its taker. One that has
    # not been written whole never runs, so it is dropped also where the settings permit no cancelling.
    for attempt in record.attempts:
        if attempt.out and (attempt.began or not attempt.written):
            desk.port.abandon(attempt)
            book.outcome(desk, attempt, i.Status.CANCELLED)
    book.close(desk, record)
