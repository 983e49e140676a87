"""Book: enter how an attempt ended, end the request with it where it does, and let go of what is held."""

from __future__ import annotations

from crowstand import interface as i
from ringledge.core.desk import Desk
from ringledge.core.ledger import Attempt, Record
from ringledge.observe.logging import log

# Ends that may have crossed a 202, or a state on its way to a writer: what they left is held like any other.
CROSSED = (i.Status.CANCELLED, i.Status.TIMEOUT, i.Status.RESET)


def outcome(
    desk: Desk, attempt: Attempt, status: i.Status, note: int = 0, load: i.Load | None = None
) -> None:
    """Enter the attempt's one outcome; a second one is dropped."""
    if not attempt.out:
        return
    attempt.outcome = status
    record, now_ms = attempt.record, desk.clock.now_ms()
    ends = status == i.Status.OK or attempt.began
    if ends and not record.over:
        whole = status == i.Status.OK
        end(desk, record, "served" if whole else "broken")
        (record.caller.finish if whole else record.caller.break_off)()
    if status == i.Status.PREFILLED:
        record.holders.add(attempt.server)
    elif status == i.Status.FULL and note == 1:
        # Gone from its reader; a writer that was given up before may have fetched it.
        record.unseen |= dict.fromkeys(record.holders, now_ms)
        record.holders.clear()
    elif (attempt.reads or record.holders) and attempt.written and status in CROSSED:
        record.unseen[attempt.server] = now_ms
    desk.metrics.outcomes.labels(status.value).inc()
    latency_ms = attempt.took_ms = now_ms - attempt.sent_ms
    if desk.observer is not None:
        desk.observer.ended(attempt, status, note)
    if attempt.arrived:
        record.free_ms = now_ms
    desk.tell(
        i.Outcome(record.name, attempt.number, attempt.server, status, latency_ms, record.over, note, load)
    )
    close(desk, record)


def end(desk: Desk, record: Record, how: str) -> None:
    """Mark the request over: nothing is owed any more."""
    record.over, record.how = True, how
    desk.metrics.answers.labels(how, str(record.request.class_index)).inc()


def release(desk: Desk, record: Record) -> None:
    """Let go of the request's read state wherever it may wait.

    Only once no attempt will follow: a server that hears of it lets go of all that is held for the request at
    any server, and so of the state of a further read that is under way.
    """
    if record.holders or record.unseen:
        desk.port.release(record.name, record.holders, record.unseen, record.began)
    record.holders, record.unseen = set(), {}


def close(desk: Desk, record: Record) -> None:
    """Strike a request that is done. Whatever is still held for it would stay pinned, so it goes too.

    The policy may have ended it while it was told the outcome: a request is struck and logged only once.
    """
    if record.done and desk.ledger.records.get(record.name) is record:
        release(desk, record)
        desk.ledger.strike(record)
        log.info(
            "request_ended",
            request=record.name,
            **{"class": record.request.class_index},
            how=record.how,
            ms=round(desk.clock.now_ms() - record.arrived_ms, 1),
            first_ms=record.first_ms and round(record.first_ms, 1),
            attempts=[
                [each.server, each.outcome.value if each.outcome else None, round(each.took_ms, 1)]
                for each in record.attempts
            ],
        )
