"""Admit: have the policy decide on a new request, and give the final answers it decides on."""

from __future__ import annotations

from ringledge.core import retry_guard
from ringledge.core.context import Context
from ringledge.core.records import RequestRecord, RequestResult
from ringledge.core.stages import record_outcome
from ringledge.routing.interface import FailRequest, GiveUpReason, RejectRequest


def admit(context: Context, record: RequestRecord) -> None:
    """Have the policy decide on the request."""
    context.dispatch(record.request)


def reject(context: Context, action: RejectRequest) -> None:
    """Answer that the request was rejected and a retry is safe; fail it if the record says otherwise."""
    open_record = context.registry.records.get(action.request)
    if open_record is not None and not may_reject(context, open_record):
        context.metrics.refusals_withheld.inc()
        fail(context, FailRequest(action.request, action.reason))
        return
    record = _close(context, action.request, RequestResult.REJECTED, action.reason)
    if record is not None:
        context.invariants.check_rejection(record)
        record.sink.reject(action.retry_after_ms)


def fail(context: Context, action: FailRequest) -> None:
    """Answer that the request failed."""
    record = _close(context, action.request, RequestResult.FAILED, action.reason)
    if record is not None:
        record.sink.fail()


def may_reject(context: Context, record: RequestRecord) -> bool:
    """Whether the request may be rejected, which promises the client that a retry is safe."""
    return retry_guard.may_reject(context.settings.classes[record.request.class_index], record)


def _close(
    context: Context, request_id: str, result: RequestResult, reason: GiveUpReason
) -> RequestRecord | None:
    """Close the request; None if it is closed or streaming, so that its one answer is given or under way."""
    record = context.registry.records.get(request_id)
    if record is None or record.closed or record.streaming:
        return None
    record.reason = reason.value
    context.metrics.given_up.labels(result.value, reason.value).inc()
    record_outcome.close_request(context, record, result)
    record_outcome.remove_if_done(context, record)
    return record
