"""Record how an attempt ended, end the request with it where it does, and release what is held."""

from __future__ import annotations

from math import inf

from ringledge.core.context import Context
from ringledge.core.records import Attempt, Record
from ringledge.observe.logging import log
from ringledge.routing.interface import (
    AttemptOutcome,
    AttemptStatus,
    LoadReport,
)

# Ends that may have crossed a 202, or a KV cache entry on its way: what they left is held like any other.
UNOBSERVED_STATUSES = (AttemptStatus.CANCELLED, AttemptStatus.TIMEOUT, AttemptStatus.RESET)


def record_outcome(
    context: Context, attempt: Attempt, status: AttemptStatus, note: int = 0, load: LoadReport | None = None
) -> None:
    """Record the attempt's one outcome; a second one is dropped."""
    if not attempt.in_flight:
        return
    attempt.outcome = status
    record, now_ms = attempt.record, context.clock.now_ms()
    ends = status == AttemptStatus.OK or attempt.streaming
    if ends and not record.closed:
        whole = status == AttemptStatus.OK
        end_request(context, record, "served" if whole else "broken")
        (record.sink.finish if whole else record.sink.abort)()
    if status == AttemptStatus.PREFILLED:
        record.cache_holders.add(attempt.server)
        record.released = False
    elif status == AttemptStatus.FULL and note == 1:
        # Gone from its prefill server; a decode server that was given up before may have fetched it.
        record.unobserved |= dict.fromkeys(record.cache_holders, now_ms)
        record.cache_holders.clear()
    elif (
        (attempt.is_prefill or (attempt.fetches_cache and not attempt.streaming))
        and attempt.written
        and status in UNOBSERVED_STATUSES
    ):
        # One that answered nobody meanwhile may hang, and run it whenever it goes on.
        answers = context.transport.answered_since(attempt.server, attempt.sent_ms)
        record.unobserved[attempt.server] = now_ms if answers else inf
    context.metrics.outcomes.labels(status.value).inc()
    latency_ms = attempt.duration_ms = now_ms - attempt.sent_ms
    if context.observer is not None:
        context.observer.on_attempt_ended(attempt, status, note)
    if attempt.delivered:
        record.idle_since_ms = now_ms
    context.dispatch(
        AttemptOutcome(
            record.request_id, attempt.number, attempt.server, status, latency_ms, record.closed, note, load
        )
    )
    remove_if_done(context, record)


def end_request(context: Context, record: Record, how: str) -> None:
    """Mark the request over: nothing is owed any more."""
    record.closed, record.result = True, how
    context.metrics.answers.labels(how, str(record.request.class_index)).inc()


def release_cache(context: Context, record: Record) -> None:
    """Release the request's KV cache entry on whichever server may hold it.

    Only once no attempt will follow: a server that hears of it releases all that is held for the request on
    any server, and so the entry of a further prefill that is in flight.
    """
    if record.cache_holders or record.unobserved:
        context.transport.release(
            record.request_id, record.cache_holders, record.unobserved, record.streaming
        )
    record.cache_holders, record.unobserved = set(), {}


def remove_if_done(context: Context, record: Record) -> None:
    """Remove a request that is done. Whatever is still held for it would stay pinned, so it is released.

    The policy may have ended it while it was told the outcome: a request is removed and logged only once.
    """
    if record.is_done and context.registry.records.get(record.request_id) is record:
        release_cache(context, record)
        context.registry.remove(record)
        log.info(
            "request_ended",
            request=record.request_id,
            **{"class": record.request.class_index},
            how=record.result,
            ms=round(context.clock.now_ms() - record.arrived_ms, 1),
            first_ms=record.first_token_ms and round(record.first_token_ms, 1),
            why=record.reason,
            attempts=record.history(),
        )
