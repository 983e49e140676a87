"""The response sink that records a server's stream in a session."""

from __future__ import annotations

from typing import Any

import h11
import orjson

from ringledge.observe.logging import log
from ringledge.wire.clients.chat.stream_sessions import SessionEnd, StreamSession
from ringledge.wire.http.messages import MAX_BODY_BYTES

# Maximum size of a request and its response in a session: twice what the protocol allows.
MAX_SESSION_BYTES = 4 * MAX_BODY_BYTES


class SessionSink:
    """The response sink of one request of a session: adds the server's events to the session."""

    def __init__(self, session: StreamSession) -> None:
        self._session = session
        self._partial_line = b""

    def reject(self, retry_delay_ms: float | None) -> None:
        """End the session's response: the request was rejected and may safely be retried."""
        self._session.retry_after_ms = retry_delay_ms
        self._end(SessionEnd.REJECTED)

    def fail(self) -> None:
        """End the session's response: the request failed."""
        self._end(SessionEnd.FAILED)

    def finish(self) -> None:
        """End the session's response: the stream is complete."""
        self._end(SessionEnd.SERVED)

    def abort(self) -> None:
        """End the session's response: the stream broke off.

        An incomplete event is not recorded, so a continuation starts after the last complete event.
        """
        self._end(SessionEnd.BROKEN)

    def is_disconnected(self) -> bool:
        """Whether all followers have left before the stream began; a later stream continues without them."""
        return bool(self._session.followers) and self._session.abandoned

    async def relay(self, chunk: bytes) -> None:
        """Add the events of complete lines to the session; an incomplete line waits for the next chunk."""
        *lines, self._partial_line = (self._partial_line + chunk).split(b"\n")
        session = self._session
        for line in lines:
            if not line.startswith(b"data: {"):
                continue
            try:
                self._apply_event(orjson.loads(line[6:]))
            except (ValueError, TypeError, AttributeError) as error:
                raise h11.RemoteProtocolError(f"an event can't be read: {error}") from error
        if session.size_bytes > MAX_SESSION_BYTES:
            raise h11.RemoteProtocolError("the answer has no end")
        session.notify_followers()

    def _apply_event(self, event: dict[str, Any]) -> None:
        session = self._session
        for choice in event.get("choices") or ():
            if text := (choice.get("delta") or {}).get("content"):
                session.size_bytes += len(text.encode())
                session.events.append(text)
            session.finish_reason = choice.get("finish_reason") or session.finish_reason
        session.usage = event.get("usage") or session.usage

    def _end(self, end: SessionEnd) -> None:
        self._session.end = end
        self._session.notify_followers()
        log.info("chat_ended", session=self._session.name, how=end.value, events=len(self._session.events))
