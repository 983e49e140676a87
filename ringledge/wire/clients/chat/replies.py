"""Answers: a session as its clients get it, whole or event by event."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import h11
import orjson

from ringledge.core.conductor import Conductor
from ringledge.memory.names import Names
from ringledge.wire.clients.chat.stream_sessions import SessionEnd, StreamSession
from ringledge.wire.clients.platform import retry_after_headers
from ringledge.wire.clients.response import STREAM_HEAD
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import HttpError
from ringledge.wire.http.messages import respond

RESUMES = 2  # times that a broken answer goes on by itself for a client that waits for the whole


class Replies:
    """Writes sessions to the connections that follow them."""

    def __init__(
        self,
        conductor: Conductor,
        names: Names,
        safe: Callable[[int], bool],
        go_on: Callable[[StreamSession], None],
    ) -> None:
        """`safe`: whether a class may run twice; `go_on`: have the rest of a broken answer asked for."""
        self._conductor, self._names, self._safe, self._go_on = conductor, names, safe, go_on

    async def _first(self, session: StreamSession, seen: int = 0) -> None:
        """Wait for an event behind those seen; HttpError where the answer ends without one."""
        while len(session.events) <= seen and session.end is None:
            await session.updated.wait()
        if len(session.events) > seen or session.end is SessionEnd.SERVED:
            return
        headers = retry_after_headers(session.retry_after_ms, self._names)
        if session.end is SessionEnd.REJECTED:
            raise HttpError(503, "overloaded, nothing has run", "overloaded", headers=headers)
        if session.end is SessionEnd.BROKEN and self._safe(session.class_index):
            raise HttpError(503, "the stream broke again: come back for it", "stream_broken", headers=headers)
        record = session.record
        if (
            session.end is SessionEnd.FAILED
            and record
            and self._conductor.clock.now_ms() + 50 > record.deadline_ms
        ):
            raise HttpError(504, "no answer in time; it may have run", "deadline_exceeded")
        raise HttpError(500, "the request failed; it may have run", "failed")

    async def whole(self, conn: Connection, session: StreamSession) -> None:
        """One JSON object when all has come."""
        await self._first(session)
        while session.end is not SessionEnd.SERVED:
            if session.end is not None:
                # A client that waits for the whole can't come back for the rest, so it is fetched for it.
                if session.resume_count >= RESUMES or not self._safe(session.class_index):
                    break
                self._go_on(session)
            else:
                await session.updated.wait()
        if session.end is not SessionEnd.SERVED:
            raise HttpError(500, "the answer broke off; it may have run", "stream_broken")
        await respond(conn, 200, whole_answer(session))

    async def stream(self, conn: Connection, session: StreamSession, seen: int) -> None:
        """Server-sent events from the one behind `seen` on; a break ends the connection, never cleanly."""
        await self._first(session, seen)
        await conn.send(STREAM_HEAD)
        while True:
            news, end = session.updated, session.end
            fresh = b"".join(self._events(session, seen))
            seen = len(session.events)
            if fresh:
                await conn.send(h11.Data(data=fresh))
            if end is SessionEnd.SERVED:
                break
            if end is not None:
                conn.close()
                return
            await news.wait()
        last = _envelope(session, "chat.completion.chunk")
        stop = last | {
            "choices": [{"index": 0, "delta": {}, "finish_reason": session.finish_reason or "stop"}]
        }
        tail = _sse(stop, f"{session.name}:{seen}")
        if session.usage and (session.question.get("stream_options") or {}).get("include_usage"):
            tail += _sse(last | {"choices": [], "usage": session.usage})
        await conn.send(h11.Data(data=tail + b"data: [DONE]\n\n"), h11.EndOfMessage())

    def _events(self, session: StreamSession, seen: int) -> Iterator[bytes]:
        for number, text in enumerate(session.events[seen:], seen + 1):
            delta = {"role": "assistant", "content": text} if number == 1 else {"content": text}
            chunk = _envelope(session, "chat.completion.chunk")
            chunk["choices"] = [{"index": 0, "delta": delta, "finish_reason": None}]
            yield _sse(chunk, f"{session.name}:{number}")


def whole_answer(session: StreamSession) -> bytes:
    """All of a session that was served, as one JSON object."""
    message = {"role": "assistant", "content": session.text}
    choice = {"index": 0, "message": message, "finish_reason": session.finish_reason or "stop"}
    told = _envelope(session, "chat.completion") | {"choices": [choice]}
    if session.usage:
        told["usage"] = session.usage
    return orjson.dumps(told)


def _envelope(session: StreamSession, kind: str) -> dict[str, Any]:
    return {
        "id": session.name,
        "object": kind,
        "created": session.created_s,
        "model": session.question["model"],
    }


def _sse(chunk: dict[str, Any], number: str = "") -> bytes:
    start = f"id: {number}\n".encode() if number else b""
    return start + b"data: " + orjson.dumps(chunk) + b"\n\n"
