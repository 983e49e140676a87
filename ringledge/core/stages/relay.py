"""Relay: from the first token on the attempt is the client's, and its stream is passed on unchanged."""

from __future__ import annotations

from ringledge.core.context import Context
from ringledge.core.records import Attempt
from ringledge.routing.interface import (
    FirstToken,
)


def begin_stream(context: Context, attempt: Attempt) -> bool:
    """Record the first token; False where the request is over, so that the stream has no taker."""
    record = attempt.record
    if record.closed or not attempt.in_flight:
        return False
    attempt.streaming = record.streaming = True
    record.cache_holders.clear()  # with the first token all that is held goes by itself
    latency_ms = attempt.first_token_ms = context.clock.now_ms() - attempt.sent_ms
    record.first_token_ms = context.clock.now_ms() - record.arrived_ms
    context.metrics.first_token.observe(record.first_token_ms / 1000)
    context.dispatch(FirstToken(record.request_id, attempt.number, attempt.server, latency_ms))
    return True


async def relay_chunk(attempt: Attempt, piece: bytes) -> None:
    """Hand a piece of the stream to the client's side."""
    await attempt.record.sink.relay(piece)
