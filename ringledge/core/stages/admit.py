"""Admit: passes a new request to the policy, and gives the final answers that the policy decides on."""

from __future__ import annotations

from ringledge.core import retry_guard
from ringledge.core.context import StageContext
from ringledge.core.records import RequestRecord, RequestResult
from ringledge.core.stages import record_outcome
from ringledge.routing.interface import FailRequest, GiveUpReason, RejectRequest


def admit(context: StageContext, record: RequestRecord) -> None:
    """Pass the request to the policy."""
    context.dispatch(record.request)


def reject(context: StageContext, action: RejectRequest) -> None:
    """Reject the request, or fail it if its record shows that a retry would be unsafe."""
    open_record = context.registry.records.get(action.request)
    if open_record is not None and not may_reject(context, open_record):
        context.metrics.refusals_withheld.inc()
        fail(context, FailRequest(action.request, action.reason))
        return
    record = _close(context, action.request, RequestResult.REJECTED, action.reason)
    if record is not None:
        context.invariants.check_rejection(record)
        record.sink.reject(action.retry_after_ms)


def fail(context: StageContext, action: FailRequest) -> None:
    """Answer that the request failed, without a statement on whether it ran."""
    record = _close(context, action.request, RequestResult.FAILED, action.reason)
    if record is not None:
        record.sink.fail()


def may_reject(context: StageContext, record: RequestRecord) -> bool:
    """Whether the request may be rejected: a rejection tells the client that a retry is safe."""
    return retry_guard.may_reject(context.settings.classes[record.request.class_index], record)


def _close(
    context: StageContext, request_id: str, result: RequestResult, reason: GiveUpReason
) -> RequestRecord | None:
    """Close the request; returns None if it has its final answer already or is streaming."""
    record = context.registry.records.get(request_id)
    if record is None or record.closed or record.streaming:
        return None
    record.reason = reason.value
    context.metrics.given_up.labels(result.value, reason.value).inc()
    record_outcome.close_request(context, record, result)
    record_outcome.remove_if_done(context, record)
    return record
