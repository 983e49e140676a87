"""The chat front: an OpenAI-compatible API with resumable streams.

The core writes each response into a session, which clients' connections follow. So a client that reconnects
with ``Last-Event-ID`` receives the events that it lacks, while the request itself runs once.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import anyio
import h11

from ringledge.core.conductor import Conductor
from ringledge.observe.logging import log
from ringledge.wire.clients.chat.admission import ChatAdmission
from ringledge.wire.clients.chat.keyed_runs import KeyedRuns
from ringledge.wire.clients.chat.question import tenant_of
from ringledge.wire.clients.chat.replies import ResponseWriter, models_body
from ringledge.wire.clients.chat.session_starter import ChatOptions, SessionStarter
from ringledge.wire.clients.chat.stream_sessions import SessionEnd, StreamSession, StreamSessionStore
from ringledge.wire.clients.chat.submission import COMPLETIONS_PATH, SessionSubmitter
from ringledge.wire.clients.response import write_while_connected
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import HttpError
from ringledge.wire.http.headers import header
from ringledge.wire.http.messages import read_body, require_method, respond

if TYPE_CHECKING:
    from ringledge.core.gate import AdmissionGate
    from ringledge.memory.buffered_bytes import BufferedBytes
    from ringledge.wire.clients.chat.queued import QueuedChat


class ChatHandler:
    """Handles the requests of chat clients."""

    def __init__(
        self,
        options: ChatOptions,
        conductor: Conductor,
        keyed_runs: KeyedRuns,
        gate: AdmissionGate | None = None,
        buffered_bytes: BufferedBytes | None = None,
        queued: QueuedChat | None = None,
    ) -> None:
        config, names = options.config, options.names
        self._config = config
        self._conductor = conductor
        self.sessions = StreamSessionStore(config.sessions, options.max_retained_bytes, config.resume_for_s)
        self._admission = ChatAdmission(gate, names, config)
        self._queued = queued
        self._submitter = submitter = SessionSubmitter(conductor, options.settings)
        self._keyed_runs = keyed_runs
        self._starter = SessionStarter(options, self.sessions, submitter, keyed_runs, self._admission, queued)
        self._writer = ResponseWriter(conductor, names, submitter.is_idempotent, submitter.continue_response)
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
            tenant = tenant_of(head, self._config.tenant)
            session, seen = self._resume(tenant, last_event.decode("ascii", "replace"))
            write_whole = False
        else:
            started = await self._starter.start(conn, head, body)
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
            if session.keyed_run is not None:
                await self._keyed_runs.settle(session.keyed_run, session.never_ran)

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

    def _resume(self, tenant: str, last_event: str) -> tuple[StreamSession, int]:
        """The session that a tenant's client resumes, and the number of events that it has received."""
        name, _, number = last_event.rpartition(":")
        session = self.sessions.get(tenant, name)
        if session is None or not number.isdecimal() or int(number) > len(session.events):
            raise HttpError(404, "this stream is not known any more", "stream_not_found", "Last-Event-ID")
        # A broken response, or a continuation that was rejected, failed or left, can be continued again.
        if session.end not in (None, SessionEnd.SERVED):
            if not self._submitter.is_idempotent(session.class_index):
                raise HttpError(409, "the stream broke; it may have run and is not run again", "may_have_run")
            self._submitter.continue_response(session)
        return session, int(number)

    async def evict_expired_sessions(self) -> None:
        """Until cancelled, evict sessions whose retention time is over."""
        while True:
            await anyio.sleep(5.0)
            self.sessions.evict_expired()
