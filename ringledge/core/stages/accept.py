"""Accept: register a client's request, or close it when the client disconnects."""

from __future__ import annotations

from ringledge.core.context import Context
from ringledge.core.port import Payload, ResponseSink
from ringledge.core.records import RequestRecord, RequestResult
from ringledge.core.stages import record_outcome
from ringledge.observe.logging import log
from ringledge.routing.interface import AttemptStatus, ClientDisconnected, Request


class DuplicateRequestError(Exception):
    """A request with this id is open already: accepting it again could run it twice."""


def accept(context: Context, request: Request, payload: Payload, sink: ResponseSink) -> RequestRecord:
    """Register the request; from here on exactly one final answer is owed."""
    if context.registry.is_open(request.request):
        raise DuplicateRequestError(request.request)
    record = RequestRecord(request, payload, sink, context.clock.now_ms())
    context.registry.add(record)
    context.metrics.requests.labels(str(request.class_index)).inc()
    if context.observer is not None:
        context.observer.on_request_accepted(record)
    return record


def on_client_disconnected(context: Context, record: RequestRecord) -> None:
    """Close the request: no answer is owed any more, but the policy has to release what it holds."""
    if record.closed:
        return
    record_outcome.close_request(context, record, RequestResult.CLIENT_DISCONNECTED)
    log.debug("client_disconnected", request=record.request_id, attempts=record.history())
    context.dispatch(ClientDisconnected(record.request_id))
    # The policy does not cancel a streaming attempt: its stream ends with the client. An attempt that was not
    # written completely never runs, so it is abandoned even where the settings permit no cancelling.
    for attempt in record.attempts:
        if attempt.in_flight and (attempt.streaming or not attempt.written):
            context.transport.abandon(attempt)
            record_outcome.record_outcome(context, attempt, AttemptStatus.CANCELLED)
    record_outcome.remove_if_done(context, record)
