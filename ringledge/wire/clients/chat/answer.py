"""The core's caller for one run of a session."""

from __future__ import annotations

from typing import Any

import h11
import orjson

from ringledge.observe.logging import log
from ringledge.wire.clients.chat.stream_sessions import SessionEnd, StreamSession
from ringledge.wire.http.messages import MAX_BODY_BYTES

# bytes kept of a question and its answer: twice what the protocol lets them have
MOST_ANSWER = 4 * MAX_BODY_BYTES


class Answer:
    """The core's caller for one run of a session: reads the server's events into the session."""

    def __init__(self, session: StreamSession) -> None:
        self._session = session
        self._rest = b""

    def reject(self, come_back_ms: float | None) -> None:
        """Final answer: refused."""
        self._session.retry_after_ms = come_back_ms
        self._end(SessionEnd.REJECTED)

    def fail(self) -> None:
        """Final answer: failed."""
        self._end(SessionEnd.FAILED)

    def finish(self) -> None:
        """The stream is whole."""
        self._end(SessionEnd.SERVED)

    def abort(self) -> None:
        """The stream broke; what came of a half event is not kept, so the rest starts clean behind it."""
        self._end(SessionEnd.BROKEN)

    def is_disconnected(self) -> bool:
        """Whether all that follow its session have left; one that has begun runs on for their return."""
        return bool(self._session.followers) and self._session.abandoned

    async def relay(self, piece: bytes) -> None:
        """Take whole events in; half a line waits for its other half."""
        *lines, self._rest = (self._rest + piece).split(b"\n")
        session = self._session
        for line in lines:
            if not line.startswith(b"data: {"):
                continue
            try:
                self._take_in(orjson.loads(line[6:]))
            except (ValueError, TypeError, AttributeError) as error:
                raise h11.RemoteProtocolError(f"an event can't be read: {error}") from error
        if session.size_bytes > MOST_ANSWER:
            raise h11.RemoteProtocolError("the answer has no end")
        session.notify_followers()

    def _take_in(self, event: dict[str, Any]) -> None:
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
