"""The chat front: an OpenAI-compatible API with resumable streams.

The core writes each response into a session, which clients' connections follow. So a client that reconnects
with ``Last-Event-ID`` receives the events that it lacks, while the request itself runs once.
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
from ringledge.memory.names import WireNames
from ringledge.observe.logging import log
from ringledge.routing.interface import (
    Idempotency,
    Request,
    RouterSettings,
)
from ringledge.wire.clients.chat.admission import ChatAdmission
from ringledge.wire.clients.chat.answer import SessionSink
from ringledge.wire.clients.chat.keyed_locks import KeyedLocks
from ringledge.wire.clients.chat.question import (
    build_request,
    header_text,
    idempotency_key,
    parse_chat_request,
    prompt_text,
    retained_request,
    tenant_of,
)
from ringledge.wire.clients.chat.replies import ResponseWriter, models_body
from ringledge.wire.clients.chat.stream_sessions import SessionEnd, StreamSession, StreamSessionStore
from ringledge.wire.clients.chat_settings import ChatConfig
from ringledge.wire.clients.response import write_while_connected
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import HttpError
from ringledge.wire.http.headers import header
from ringledge.wire.http.messages import read_body, require_method, respond

if TYPE_CHECKING:
    from ringledge.core.gate import AdmissionGate
    from ringledge.memory.buffered_bytes import BufferedBytes
    from ringledge.wire.clients.chat.queued import QueuedChat

COMPLETIONS_PATH = b"/v1/chat/completions"


@dataclass(frozen=True, slots=True)
class ChatOptions:
    """The settings of the chat front; `max_retained_bytes` limits the sessions that are retained."""

    config: ChatConfig
    settings: RouterSettings
    names: WireNames
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
        self._admission = ChatAdmission(gate, names, config)
        self._starts = KeyedLocks()
        self._queued = queued
        self._writer = ResponseWriter(conductor, names, self._is_idempotent, self._continue_response)
        if buffered_bytes is not None:
            buffered_bytes.register(self.sessions)

    async def handle(self, conn: Connection, head: h11.Request) -> None:
        """Answer one request."""
        path = head.target.partition(b"?")[0]
        if path == b"/v1/models":
            require_method(head, b"GET")
            await read_body(conn, head)
            await respond(conn, 200, models_body(self._config))
            return
        if self._queued is not None and path.startswith(b"/v1/queue/"):
            await self._queued.handle(conn, head)
            return
        if path != COMPLETIONS_PATH:
            raise HttpError(404, f"no such path: {path.decode('ascii', 'replace')}", "unknown_url")
        require_method(head, b"POST")
        self._admission.check_head(head)
        body = await read_body(conn, head)
        last_event = header(head, b"last-event-id")
        if last_event:
            session, seen = self._resume(self._tenant(head), last_event.decode("ascii", "replace"))
            write_whole = False
        else:
            started = await self._start(conn, head, body)
            if started is None:
                return  # queued requests have been answered already
            session, seen = started, 0
            write_whole = not session.request.stream
        session.followers.add(conn)
        try:
            writer = self._writer
            writing = (
                writer.write_whole(conn, session) if write_whole else writer.write_stream(conn, session, seen)
            )
            await write_while_connected(
                conn, writing, partial(self._may_reject, session), partial(self._on_left, session)
            )
        finally:
            session.followers.discard(conn)
            self._on_left(session)

    def _may_reject(self, session: StreamSession) -> bool:
        """Whether the request may be rejected, which promises the client that a retry is safe."""
        return session.record is None or self._conductor.may_reject(session.record)

    def _on_left(self, session: StreamSession) -> None:
        """Cancel the request if all its clients disconnected before its stream began.

        A stream that has begun continues into the session: it may have booked something, so it is neither cut
        off nor sent again, and its client can resume it.
        """
        record = session.record
        if record is not None and session.abandoned:
            self._conductor.on_client_disconnected(record)
            session.end = SessionEnd.CLIENT_DISCONNECTED
            log.info("chat_ended", session=session.name, how=SessionEnd.CLIENT_DISCONNECTED.value, events=0)

    def _tenant(self, head: h11.Request) -> str:
        return tenant_of(head, self._config.tenant)

    async def _start(self, conn: Connection, head: h11.Request, body: bytes) -> StreamSession | None:
        """Start a session, or return the one that the tenant's idempotency key has started before.

        Returns None if the request is queued, in which case it has been answered.
        """
        chat_request = parse_chat_request(body)
        key = idempotency_key(head)
        if key is None:
            return await self._start_new(conn, head, chat_request, body, None)
        tenant = self._tenant(head)
        # Looking the key up in the queue takes a while, in which a repeated request may arrive.
        async with self._starts.hold((tenant, key)):
            existing = self.sessions.get_by_idempotency_key(tenant, key)
            if existing is not None and not self._may_start_again(existing):
                return existing
            return await self._start_new(conn, head, chat_request, body, key)

    def _may_start_again(self, session: StreamSession) -> bool:
        """Whether a repeated request runs anew; HttpError 409 if neither that nor an answer is possible."""
        if session.end in (None, SessionEnd.SERVED):
            return False
        record = session.record
        if record is not None and record.may_have_run and not self._is_idempotent(session.class_index):
            raise HttpError(409, "this request may have run before; it is not run again", "may_have_run")
        return True

    async def _start_new(
        self, conn: Connection, head: h11.Request, chat_request: dict[str, Any], body: bytes, key: str | None
    ) -> StreamSession | None:
        """Start a session for a request; None if it has been answered."""
        class_index, request = build_request(self._config, self._names, self._settings, head, chat_request)
        if key or not header_text(head, b"x-call-class"):  # else the gate has decided by the head
            self._admission.check(class_index, head, len(body))
        if self._queued is not None and await self._queued.answer_if_queued(
            conn, head, chat_request, request
        ):
            return None
        if not self.sessions.make_room():
            raise HttpError(429, "too many answers are under way", "rate_limit_exceeded")
        session = StreamSession(
            f"chatcmpl-{uuid4().hex}",
            self._tenant(head),
            retained_request(chat_request, body),
            class_index,
            request.max_output_tokens,
            len(body),
        )
        self.sessions.add(session, key)
        self._submit(session, request, chat_request)
        return session

    def _resume(self, tenant: str, last_event: str) -> tuple[StreamSession, int]:
        """The session that a tenant's client resumes, and the number of events that it has received."""
        name, _, number = last_event.rpartition(":")
        session = self.sessions.get(tenant, name)
        if session is None or not number.isdecimal() or int(number) > len(session.events):
            raise HttpError(404, "this stream is not known any more", "stream_not_found", "Last-Event-ID")
        # A broken response, or a continuation that was rejected, failed or left, can be continued again.
        if session.end not in (None, SessionEnd.SERVED):
            if not self._is_idempotent(session.class_index):
                raise HttpError(409, "the stream broke; it may have run and is not run again", "may_have_run")
            self._continue_response(session)
        return session, int(number)

    def _continue_response(self, session: StreamSession) -> None:
        """Request the rest of a broken response, with the response so far appended to the prompt."""
        assert session.record is not None
        previous, text = session.record.request, session.text
        chat_request = session.request.parse()
        if text:
            reply = {"role": "assistant", "content": text}
            flags = {"continue_final_message": True, "add_generation_prompt": False}
            chat_request = chat_request | flags | {"messages": [*chat_request["messages"], reply]}
        request = replace(
            previous,
            request=uuid4().hex,
            expires_in_ms=self._settings.classes[session.class_index].deadline_ms,
            prompt_tokens=len(prompt_text(chat_request)) / 4,
            max_output_tokens=max(1.0, session.max_tokens - len(text) // 4),
            reconnect=True,
        )
        session.end = None
        session.resume_count += 1
        self._submit(session, request, chat_request)

    def _submit(self, session: StreamSession, request: Request, chat_request: dict[str, Any]) -> None:
        """Submit a request for the session to the core."""
        server_request = chat_request | {"stream": True, "max_tokens": int(request.max_output_tokens)}
        server_request.pop("max_completion_tokens", None)
        payload = Payload(COMPLETIONS_PATH, orjson.dumps(server_request))
        session.record = self._conductor.accept(request, payload, SessionSink(session))

    def _is_idempotent(self, class_index: int) -> bool:
        return self._settings.classes[class_index].idempotency is Idempotency.IDEMPOTENT

    async def evict_expired_sessions(self) -> None:
        """Until cancelled, evict sessions whose retention time is over."""
        while True:
            await anyio.sleep(5.0)
            self.sessions.evict_expired()
