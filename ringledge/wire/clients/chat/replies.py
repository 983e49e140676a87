"""Sends a session's response to its clients, as one JSON object or as server-sent events."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import h11
import orjson

from ringledge.core.conductor import Conductor
from ringledge.memory.names import WireNames
from ringledge.wire.clients.chat.stream_sessions import SessionEnd, StreamSession
from ringledge.wire.clients.chat_settings import ChatConfig
from ringledge.wire.clients.platform import retry_after_headers
from ringledge.wire.clients.response import STREAM_HEAD
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import HttpError
from ringledge.wire.http.messages import respond
from ringledge.wire.http.resets import reset_if_close_ends_stream

MAX_CONTINUATIONS = 2  # of a broken response for a client that does not stream


class ResponseWriter:
    """Writes the responses of sessions to the connections that follow them."""

    def __init__(
        self,
        conductor: Conductor,
        names: WireNames,
        is_idempotent: Callable[[int], bool],
        continue_response: Callable[[StreamSession], None],
    ) -> None:
        """`is_idempotent` takes a class index; `continue_response` requests the rest of a broken response."""
        self._conductor, self._names, self._is_idempotent, self._continue_response = (
            conductor,
            names,
            is_idempotent,
            continue_response,
        )

    async def _wait_for_event(self, session: StreamSession, seen_count: int = 0) -> None:
        """Wait for an event after the first `seen_count`; HttpError if the response ends without one."""
        while len(session.events) <= seen_count and session.end is None:
            await session.updated.wait()
        if len(session.events) > seen_count or session.end is SessionEnd.SERVED:
            return
        headers = retry_after_headers(session.retry_after_ms, self._names)
        if session.end is SessionEnd.REJECTED:
            raise HttpError(503, "overloaded, nothing has run", "overloaded", headers=headers)
        if session.end is SessionEnd.BROKEN and self._is_idempotent(session.class_index):
            raise HttpError(503, "the stream broke again: come back for it", "stream_broken", headers=headers)
        record = session.record
        if (
            session.end is SessionEnd.FAILED
            and record
            and self._conductor.clock.now_ms() + 50 > record.deadline_ms
        ):
            raise HttpError(504, "no answer in time; it may have run", "deadline_exceeded")
        raise HttpError(500, "the request failed; it may have run", "failed")

    async def write_whole(self, conn: Connection, session: StreamSession) -> None:
        """Write the complete response as one JSON object."""
        await self._wait_for_event(session)
        while session.end is not SessionEnd.SERVED:
            if session.end is not None:
                # A client that does not stream cannot resume, so the rest is requested on its behalf.
                if session.resume_count >= MAX_CONTINUATIONS or not self._is_idempotent(session.class_index):
                    break
                self._continue_response(session)
            else:
                await session.updated.wait()
        if session.end is not SessionEnd.SERVED:
            raise HttpError(500, "the answer broke off; it may have run", "stream_broken")
        await respond(conn, 200, completion_body(session))

    async def write_stream(self, conn: Connection, session: StreamSession, seen_count: int) -> None:
        """Write the events after the first `seen_count`; if the stream breaks, close the connection.

        Without the last chunk, the client can tell that the stream is incomplete.
        """
        await self._wait_for_event(session, seen_count)
        await conn.send(STREAM_HEAD)
        while True:
            update, end = session.updated, session.end
            unsent = b"".join(self._encode_events(session, seen_count))
            seen_count = len(session.events)
            if unsent:
                await conn.send(h11.Data(data=unsent))
            if end is SessionEnd.SERVED:
                break
            if end is not None:
                reset_if_close_ends_stream(conn)
                conn.close()
                return
            await update.wait()
        final_chunk = _envelope(session, "chat.completion.chunk")
        stop_chunk = final_chunk | {
            "choices": [{"index": 0, "delta": {}, "finish_reason": session.finish_reason or "stop"}]
        }
        tail = _sse(stop_chunk, f"{session.name}:{seen_count}")
        if session.usage and session.request.include_usage:
            tail += _sse(final_chunk | {"choices": [], "usage": session.usage})
        await conn.send(h11.Data(data=tail + b"data: [DONE]\n\n"), h11.EndOfMessage())

    def _encode_events(self, session: StreamSession, seen_count: int) -> Iterator[bytes]:
        for number, text in enumerate(session.events[seen_count:], seen_count + 1):
            delta = {"role": "assistant", "content": text} if number == 1 else {"content": text}
            chunk = _envelope(session, "chat.completion.chunk")
            chunk["choices"] = [{"index": 0, "delta": delta, "finish_reason": None}]
            yield _sse(chunk, f"{session.name}:{number}")


def completion_body(session: StreamSession) -> bytes:
    """The complete response of a session as one JSON object."""
    message = {"role": "assistant", "content": session.text}
    choice = {"index": 0, "message": message, "finish_reason": session.finish_reason or "stop"}
    completion = _envelope(session, "chat.completion") | {"choices": [choice]}
    if session.usage:
        completion["usage"] = session.usage
    return orjson.dumps(completion)


def models_body(config: ChatConfig) -> bytes:
    """The list of the models that the front serves."""
    data = [{"id": name, "object": "model", "created": 0, "owned_by": "ringledge"} for name in config.models]
    return orjson.dumps({"object": "list", "data": data})


def _envelope(session: StreamSession, object_type: str) -> dict[str, Any]:
    return {
        "id": session.name,
        "object": object_type,
        "created": session.created_s,
        "model": session.request.model,
    }


def _sse(chunk: dict[str, Any], number: str = "") -> bytes:
    id_line = f"id: {number}\n".encode() if number else b""
    return id_line + b"data: " + orjson.dumps(chunk) + b"\n\n"
