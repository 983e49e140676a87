"""The chat front: OpenAI-style requests and answers over the same core, decisions and rules.

An answer is written into a session, and connections follow the session. So a client that comes back with
``Last-Event-ID`` gets what it lacks, while the request behind it runs once.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING, Any
from uuid import uuid4

import anyio
import h11
import orjson

from ringledge.core.conductor import Conductor
from ringledge.core.port import Payload
from ringledge.memory.names import Names
from ringledge.observe.logging import log
from ringledge.routing.interface import (
    Idempotency,
    Request,
    RouterSettings,
)
from ringledge.wire.clients.chat.answer import Answer
from ringledge.wire.clients.chat.question import prompt_of, read_question, to_request, told_header
from ringledge.wire.clients.chat.replies import Replies
from ringledge.wire.clients.chat.stream_sessions import SessionEnd, StreamSession, StreamSessionStore
from ringledge.wire.clients.chat_settings import ChatConfig
from ringledge.wire.clients.platform import shed_error
from ringledge.wire.clients.response import write_while_connected
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import HttpError
from ringledge.wire.http.headers import header
from ringledge.wire.http.messages import MAX_BODY_BYTES, read_body, require_method, respond

if TYPE_CHECKING:
    from ringledge.core.gate import AdmissionGate
    from ringledge.memory.buffered_bytes import BufferedBytes
    from ringledge.wire.clients.chat.queued import QueuedChat

PATH = b"/v1/chat/completions"
MOST_KEY = 256  # bytes of an idempotency key, which is kept as long as its answer


@dataclass(frozen=True, slots=True)
class ChatOptions:
    """The settings of the chat front; `max_retained_bytes` bounds the answers kept for a resume."""

    config: ChatConfig
    settings: RouterSettings
    names: Names
    max_retained_bytes: float


class ChatHandler:
    """Handles the requests of chat clients."""

    def __init__(
        self,
        options: ChatOptions,
        conductor: Conductor,
        gate: AdmissionGate | None = None,
        buffered_bytes: BufferedBytes | None = None,
        queued: QueuedChat | None = None,
    ) -> None:
        config, names = options.config, options.names
        self._config = config
        self._settings = options.settings
        self._names = names
        self._conductor = conductor
        self.sessions = StreamSessionStore(config.sessions, options.max_retained_bytes, config.resume_for_s)
        self._gate = gate
        self._queued = queued
        self._replies = Replies(conductor, names, self._safe, self._go_on)
        if buffered_bytes is not None:
            buffered_bytes.register(self.sessions)

    async def handle(self, conn: Connection, head: h11.Request) -> None:
        """Answer one request."""
        path = head.target.partition(b"?")[0]
        if path == b"/v1/models":
            require_method(head, b"GET")
            await read_body(conn, head)
            await respond(conn, 200, orjson.dumps(self._models()))
            return
        if self._queued is not None and path.startswith(b"/v1/queue/"):
            await self._queued.handle(conn, head)
            return
        if path != PATH:
            raise HttpError(404, f"no such path: {path.decode('ascii', 'replace')}", "unknown_url")
        require_method(head, b"POST")
        self._look(head)
        body = await read_body(conn, head)
        last_event = header(head, b"last-event-id")
        if last_event:
            session, seen = self._resume(last_event.decode("ascii", "replace"))
            whole = False
        else:
            started = await self._start(conn, head, body)
            if started is None:
                return  # it is queued, and its client has been told
            session, seen = started, 0
            whole = not session.question["stream"]
        session.followers.add(conn)
        try:
            replies = self._replies
            follow = replies.whole(conn, session) if whole else replies.stream(conn, session, seen)
            await write_while_connected(
                conn, follow, partial(self._may_refuse, session), partial(self._left, session)
            )
        finally:
            session.followers.discard(conn)
            self._left(session)

    def _look(self, head: h11.Request) -> None:
        """Turn away before the body is read, as far as the head tells the class; else the body does."""
        if self._gate is None or header(head, b"last-event-id") or header(head, b"idempotency-key"):
            return  # what has begun goes on
        told = told_header(head, b"x-call-class")
        length = header(head, b"content-length")
        if told in self._names.classes:
            self._ask(self._names.classes.index(told), head, int(length or 0))
        elif reason := self._gate.rejects_all():
            class_index = self._names.classes.index(next(iter(self._config.models.values())))
            raise shed_error(self._gate.reject(class_index, reason))

    def _ask(self, class_index: int, head: h11.Request, size: int) -> None:
        """Have the gate decide."""
        if self._gate is not None:
            caller = told_header(head, b"x-caller") or self._config.tenant
            tenant = self._names.index(self._names.tenants, caller)
            no = self._gate.admit(class_index, tenant, min(size, MAX_BODY_BYTES))
            if no is not None:
                raise shed_error(no)

    def _may_refuse(self, session: StreamSession) -> bool:
        """Whether a client may be told that a retry does no harm."""
        return session.record is None or self._conductor.may_reject(session.record)

    def _left(self, session: StreamSession) -> None:
        """A client has gone, or has its answer.

        A stream that has begun runs on into the session: it may have booked, so it is neither cut off nor
        ever sent again, and its client can come back for it. One that has not begun is given up.
        """
        record = session.record
        if record is not None and session.abandoned:
            self._conductor.on_client_disconnected(record)
            session.end = SessionEnd.CLIENT_DISCONNECTED
            log.info("chat_ended", session=session.name, how=SessionEnd.CLIENT_DISCONNECTED.value, events=0)

    # Starting and resuming.

    async def _start(self, conn: Connection, head: h11.Request, body: bytes) -> StreamSession | None:
        """A new session; or, for an idempotency key that is known, the one that it has begun.

        None where the request is queued.
        """
        question = read_question(body)
        key = header(head, b"idempotency-key")
        if key and len(key) > MOST_KEY:
            raise HttpError(400, f"longer than {MOST_KEY} bytes", "invalid_value", "Idempotency-Key")
        known = self.sessions.get_by_idempotency_key(key.decode("ascii", "replace")) if key else None
        if known is not None:
            record = known.record
            if known.end in (None, SessionEnd.SERVED):
                return known
            if record is not None and record.may_have_run and not self._safe(known.class_index):
                raise HttpError(409, "this request may have run before; it is not run again", "may_have_run")
        class_index, request = to_request(self._config, self._names, self._settings, head, question)
        if key or not told_header(head, b"x-call-class"):  # else it was asked about by its head
            self._ask(class_index, head, len(body))
        if self._queued is not None and await self._queued.answer_if_queued(conn, head, question, request):
            return None
        if not self.sessions.make_room():
            raise HttpError(429, "too many answers are under way", "rate_limit_exceeded")
        session = StreamSession(
            f"chatcmpl-{uuid4().hex}", question, class_index, request.max_output_tokens, len(body)
        )
        self.sessions.add(session, key.decode("ascii", "replace") if key else None)
        self._run(session, request, question)
        return session

    def _resume(self, last_event: str) -> tuple[StreamSession, int]:
        """The session that a client comes back to, and how much of it the client has."""
        name, _, number = last_event.rpartition(":")
        session = self.sessions.get(name)
        if session is None or not number.isdecimal() or int(number) > len(session.events):
            raise HttpError(404, "this stream is not known any more", "stream_not_found", "Last-Event-ID")
        # Broken, or a try to go on that was refused, failed or left: each can be taken up again.
        if session.end not in (None, SessionEnd.SERVED):
            if not self._safe(session.class_index):
                raise HttpError(409, "the stream broke; it may have run and is not run again", "may_have_run")
            self._go_on(session)
        return session, int(number)

    def _go_on(self, session: StreamSession) -> None:
        """Ask for the rest of a broken answer: the prompt and the answer so far are read, and it goes on."""
        assert session.record is not None
        before, text = session.record.request, session.text
        question = session.question
        if text:
            said = {"role": "assistant", "content": text}
            more = {"continue_final_message": True, "add_generation_prompt": False}
            question = question | more | {"messages": [*question["messages"], said]}
        request = replace(
            before,
            request=uuid4().hex,
            expires_in_ms=self._settings.classes[session.class_index].deadline_ms,
            prompt_tokens=len(prompt_of(question)) / 4,
            max_output_tokens=max(1.0, session.max_tokens - len(text) // 4),
            reconnect=True,
        )
        session.end = None
        session.resume_count += 1
        self._run(session, request, question)

    def _run(self, session: StreamSession, request: Request, question: dict[str, Any]) -> None:
        """Give the core one request for the session."""
        asked = question | {"stream": True, "max_tokens": int(request.max_output_tokens)}
        asked.pop("max_completion_tokens", None)
        payload = Payload(PATH, orjson.dumps(asked))
        session.record = self._conductor.accept(request, payload, Answer(session))

    def _safe(self, class_index: int) -> bool:
        return self._settings.classes[class_index].idempotency is Idempotency.IDEMPOTENT

    def _models(self) -> dict[str, Any]:
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "ringledge"}
            for name in self._config.models
        ]
        return {"object": "list", "data": data}

    async def evict_expired_sessions(self) -> None:
        """Drop old sessions in time."""
        while True:
            await anyio.sleep(5.0)
            self.sessions.evict_expired()
