"""Record how an attempt ended, close its request where that ends it, and release the KV cache."""

from __future__ import annotations

from ringledge.core.context import Context
from ringledge.core.records import Attempt, RequestRecord, RequestResult
from ringledge.observe.logging import log
from ringledge.routing.interface import AttemptOutcome, AttemptStatus, LoadReport

ANSWERED_STATUSES = (AttemptStatus.OK, AttemptStatus.PREFILLED)
# After these a 202, or a fetch of the KV cache, may have been under way: the server may hold an entry unseen.
UNOBSERVED_STATUSES = (
    AttemptStatus.CANCELLED,
    AttemptStatus.TIMEOUT,
    AttemptStatus.RESET,
    AttemptStatus.ERROR,  # any answer that is none of the protocol's: it may be a spoilt 202
)


def record_outcome(
    context: Context, attempt: Attempt, status: AttemptStatus, note: int = 0, load: LoadReport | None = None
) -> None:
    """Record the attempt's one outcome; a second one is ignored. For `note` see `AttemptOutcome`."""
    if not attempt.in_flight:
        return
    attempt.outcome = status
    record = attempt.record
    now_ms = context.clock.now_ms()
    if status == AttemptStatus.OK or attempt.streaming:
        _finish_response(context, record, status)
    _update_cache_locations(context, attempt, status, note, now_ms)
    context.metrics.outcomes.labels(status.value).inc()
    attempt.duration_ms = now_ms - attempt.sent_ms
    if context.observer is not None:
        context.observer.on_attempt_ended(attempt, status, note)
    if status not in ANSWERED_STATUSES:
        _log_unanswered(attempt, now_ms)
    record.cache.attempt_ended(now_ms, attempt.delivered)
    context.dispatch(
        AttemptOutcome(
            record.request_id,
            attempt.number,
            attempt.server,
            status,
            attempt.duration_ms,
            record.closed,
            note,
            load,
        )
    )
    remove_if_done(context, record)


def _log_unanswered(attempt: Attempt, now_ms: float) -> None:
    """Log an attempt that ended without a complete response, and what it may have left on servers."""
    cache = attempt.record.cache
    log.info(
        "attempt_ended",
        request=attempt.record.request_id,
        attempt=attempt.number,
        server=attempt.server,
        how=attempt.outcome and attempt.outcome.value,
        ms=round(attempt.duration_ms, 1),
        written=attempt.written,
        arrived=attempt.delivered,
        holders=sorted(cache.holders),
        unobserved=sorted(cache.unobserved),
        held_ms=round(cache.held_ms(now_ms), 1),
    )


def _finish_response(context: Context, record: RequestRecord, status: AttemptStatus) -> None:
    """End the client's response, cleanly only where it is complete."""
    if record.closed:
        return
    if status == AttemptStatus.OK:
        close_request(context, record, RequestResult.SERVED)
        record.sink.finish()
    else:
        close_request(context, record, RequestResult.BROKEN)
        record.sink.abort()


def _update_cache_locations(
    context: Context, attempt: Attempt, status: AttemptStatus, note: int, now_ms: float
) -> None:
    """Update where a KV cache entry of the request is, or may be."""
    cache = attempt.record.cache
    if status == AttemptStatus.PREFILLED:
        cache.prefilled(attempt.server)
    elif status == AttemptStatus.FULL and note == 1:
        cache.fetched_elsewhere(now_ms)
    elif _may_hold_cache(attempt) and attempt.written and status in UNOBSERVED_STATUSES:
        has_answered = context.transport.answered_since(attempt.server, attempt.sent_ms)
        cache.ended_unobserved(attempt.server, now_ms, has_answered)


def _may_hold_cache(attempt: Attempt) -> bool:
    return attempt.is_prefill or (attempt.fetches_cache and not attempt.streaming)


def close_request(context: Context, record: RequestRecord, result: RequestResult) -> None:
    """Mark the request closed: no answer is owed any more."""
    record.closed = True
    record.result = result
    context.metrics.answers.labels(result.value, str(record.request.class_index)).inc()


def release_cache(context: Context, record: RequestRecord) -> None:
    """Release the request's KV cache entry on every server that may hold it.

    Only once no attempt will follow: a server that is sent the release drops everything held for the request
    on any server, and so the entry of a further prefill that is in flight.
    """
    holders, unobserved = record.cache.take()
    if holders or unobserved:
        context.transport.release(record.request_id, holders, unobserved, record.streaming)


def remove_if_done(context: Context, record: RequestRecord) -> None:
    """Release the cache of a request that is done and remove the request.

    The policy may have ended it while it handled the outcome: a request is removed and logged only once.
    """
    if not record.is_done or context.registry.records.get(record.request_id) is not record:
        return
    release_cache(context, record)
    context.registry.remove(record)
    log.info(
        "request_ended",
        request=record.request_id,
        **{"class": record.request.class_index},
        how=record.result and record.result.value,
        ms=round(context.clock.now_ms() - record.arrived_ms, 1),
        first_ms=record.first_token_ms and round(record.first_token_ms, 1),
        why=record.reason,
        attempts=record.history(),
    )
