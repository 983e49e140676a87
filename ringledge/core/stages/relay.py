"""Relay: forwards an attempt's stream to the client unchanged, from the first token on."""

from __future__ import annotations

from ringledge.core.context import StageContext
from ringledge.core.records import Attempt
from ringledge.routing.interface import FirstToken


def begin_stream(context: StageContext, attempt: Attempt) -> bool:
    """Record the first token; returns False if the request is closed and the stream has no receiver."""
    record = attempt.record
    if record.closed or not attempt.in_flight:
        return False
    attempt.streaming = True
    record.streaming = True
    record.cache.record_first_token()
    attempt.first_token_ms = context.clock.now_ms() - attempt.sent_ms
    record.first_token_ms = context.clock.now_ms() - record.arrived_ms
    context.metrics.first_token_seconds.observe(record.first_token_ms / 1000)
    context.dispatch(FirstToken(record.request_id, attempt.number, attempt.server, attempt.first_token_ms))
    return True


async def relay_chunk(attempt: Attempt, chunk: bytes) -> None:
    """Forward a chunk of the stream to the client."""
    await attempt.record.sink.relay(chunk)
