"""Record outcome: records how an attempt ended, and closes and cleans up its request if that ends it."""

from __future__ import annotations

from ringledge.core import retry_guard
from ringledge.core.context import StageContext
from ringledge.core.port import RELEASED_PAYLOAD
from ringledge.core.records import Attempt, RequestRecord, RequestResult
from ringledge.observe.logging import log
from ringledge.routing.interface import AttemptOutcome, AttemptStatus, LoadReport

ANSWERED_STATUSES = (AttemptStatus.OK, AttemptStatus.PREFILLED)
# Statuses after which the server may hold a KV cache entry that was not reported: a 202 response, or a fetch
# of the entry, may have been in progress.
UNOBSERVED_STATUSES = (
    AttemptStatus.CANCELLED,
    AttemptStatus.TIMEOUT,
    AttemptStatus.RESET,
    AttemptStatus.ERROR,  # any response that violates the protocol; it may be a corrupt 202
)


def record_outcome(
    context: StageContext,
    attempt: Attempt,
    status: AttemptStatus,
    note: int = 0,
    load: LoadReport | None = None,
) -> None:
    """Record the attempt's outcome; a second one is ignored. `AttemptOutcome` describes `note`."""
    if not attempt.in_flight:
        return
    attempt.outcome = status
    record = attempt.record
    now_ms = context.clock.now_ms()
    if status == AttemptStatus.OK or attempt.streaming:
        _finish_response(context, record, status)
    _update_cache_locations(context, attempt, status, note, now_ms)
    context.metrics.attempt_outcomes.labels(status.value).inc()
    attempt.duration_ms = now_ms - attempt.sent_ms
    if context.observer is not None:
        context.observer.on_attempt_ended(attempt, status, note)
    if status not in ANSWERED_STATUSES:
        _log_unanswered(attempt, now_ms)
    record.cache.record_attempt_end(now_ms, attempt.delivered)
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
    """Log an attempt that ended without a complete response, and where KV cache entries may be held."""
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


def _finish_response(context: StageContext, record: RequestRecord, status: AttemptStatus) -> None:
    """Finish the client's response if it is complete, otherwise abort it."""
    if record.closed:
        return
    if status == AttemptStatus.OK:
        close_request(context, record, RequestResult.SERVED)
        record.sink.finish()
    else:
        close_request(context, record, RequestResult.BROKEN)
        record.sink.abort()


def _update_cache_locations(
    context: StageContext, attempt: Attempt, status: AttemptStatus, note: int, now_ms: float
) -> None:
    """Update on which servers the request's KV cache entries are, or may be, held."""
    cache = attempt.record.cache
    if status == AttemptStatus.PREFILLED:
        cache.record_prefill(attempt.server)
    elif status == AttemptStatus.FULL and note == 1:
        cache.record_missing_entry(now_ms)
    elif _may_hold_cache(attempt) and attempt.written and status in UNOBSERVED_STATUSES:
        has_answered = context.transport.answered_since(attempt.server, attempt.sent_ms)
        cache.record_unobserved_end(attempt.server, now_ms, has_answered)


def _may_hold_cache(attempt: Attempt) -> bool:
    return attempt.is_prefill or (attempt.fetches_cache and not attempt.streaming)


def close_request(context: StageContext, record: RequestRecord, result: RequestResult) -> None:
    """Mark the request as closed: it needs no answer any more, and is sent to no server."""
    record.closed = True
    record.result = result
    record.payload = RELEASED_PAYLOAD  # the record may stay in memory for long, as part of a reference cycle
    context.metrics.answers.labels(result.value, str(record.request.class_index)).inc()


def release_cache(context: StageContext, record: RequestRecord) -> None:
    """Release the request's KV cache entry on every server that may hold it.

    Call it only when no attempt will follow: a release drops the request's entries on all servers, including
    the entry of a prefill that is still in flight.
    """
    holders, unobserved = record.cache.take_locations()
    if holders or unobserved:
        context.transport.release(record.request_id, holders, unobserved, record.streaming)


def remove_if_done(context: StageContext, record: RequestRecord) -> None:
    """If the request is done, release its KV cache entries, remove it from the registry and log it.

    Does nothing if the policy's actions on the outcome have removed the request already.
    """
    if not record.is_done or context.registry.records.get(record.request_id) is not record:
        return
    release_cache(context, record)
    may_run_again = not record.may_have_run or retry_guard.is_idempotent(context.settings, record.request)
    context.registry.remove(record, may_run_again)
    log.info(
        "request_ended",
        request=record.request_id,
        **{"class": record.request.class_index},
        how=record.result and record.result.value,
        ms=round(context.clock.now_ms() - record.arrived_ms, 1),
        first_ms=record.first_token_ms and round(record.first_token_ms, 1),
        why=record.reason,
        attempts=record.attempt_summaries(),
    )
