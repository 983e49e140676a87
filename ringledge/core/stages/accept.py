"""Accept: registers a client's request, and closes it if the client disconnects."""

from __future__ import annotations

from ringledge.core import retry_guard
from ringledge.core.context import StageContext
from ringledge.core.port import Payload, ResponseSink
from ringledge.core.records import RequestRecord, RequestResult
from ringledge.core.stages import record_outcome
from ringledge.observe.logging import log
from ringledge.routing.interface import AttemptStatus, ClientDisconnected, Request


class DuplicateRequestError(Exception):
    """Accepting a request with this id could run it twice; the text of the error says why."""


def accept(context: StageContext, request: Request, payload: Payload, sink: ResponseSink) -> RequestRecord:
    """Register the request, which must get exactly one final answer from then on."""
    registry = context.registry
    if registry.is_open(request.request):
        raise DuplicateRequestError(f"request {request.request} is open already")
    if not retry_guard.is_idempotent(context.settings, request) and request.request in registry.possible_runs:
        raise DuplicateRequestError(f"request {request.request} may have run already; it is not run again")
    record = RequestRecord(request, payload, sink, context.clock.now_ms())
    registry.add(record)
    context.metrics.requests.labels(str(request.class_index)).inc()
    if context.observer is not None:
        context.observer.on_request_accepted(record)
    return record


def on_client_disconnected(context: StageContext, record: RequestRecord) -> None:
    """Close the request; it needs no answer any more, but the policy still has to release its resources."""
    if record.closed:
        return
    record_outcome.close_request(context, record, RequestResult.CLIENT_DISCONNECTED)
    log.debug("client_disconnected", request=record.request_id, attempts=record.attempt_summaries())
    context.dispatch(ClientDisconnected(record.request_id))
    # The policy does not cancel a streaming attempt, so its stream is ended here. An attempt that was not
    # written completely cannot run, so it is abandoned even if the settings do not permit cancellation.
    for attempt in record.attempts:
        if attempt.in_flight and (attempt.streaming or not attempt.written):
            context.transport.abandon(attempt)
            record_outcome.record_outcome(context, attempt, AttemptStatus.CANCELLED)
    record_outcome.remove_if_done(context, record)
