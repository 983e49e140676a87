"""Starts the sessions of chat requests, or finds the one that a repeated request follows."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any
from uuid import uuid4

import h11

from ringledge.memory.names import WireNames
from ringledge.routing.interface import RouterSettings
from ringledge.wire.clients.chat.admission import ChatAdmission
from ringledge.wire.clients.chat.keyed_locks import KeyedLocks
from ringledge.wire.clients.chat.question import (
    build_request,
    header_text,
    idempotency_key,
    parse_chat_request,
    retained_request,
    tenant_of,
)
from ringledge.wire.clients.chat.stream_sessions import SessionEnd, StreamSession, StreamSessionStore
from ringledge.wire.clients.chat.submission import SessionSubmitter
from ringledge.wire.clients.chat_settings import ChatConfig
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import HttpError

if TYPE_CHECKING:
    from ringledge.wire.clients.chat.queued import QueuedChat


@dataclass(frozen=True, slots=True)
class ChatOptions:
    """The settings of the chat front; `max_retained_bytes` limits the sessions that are retained."""

    config: ChatConfig
    settings: RouterSettings
    names: WireNames
    max_retained_bytes: float


class SessionStarter:
    """Starts sessions; a tenant's repeated request with an idempotency key gets the session of the first."""

    def __init__(
        self,
        options: ChatOptions,
        sessions: StreamSessionStore,
        submitter: SessionSubmitter,
        admission: ChatAdmission,
        queued: QueuedChat | None,
    ) -> None:
        self._options = options
        self._sessions = sessions
        self._submitter = submitter
        self._admission = admission
        self._queued = queued
        self._starts = KeyedLocks()

    async def start(self, conn: Connection, head: h11.Request, body: bytes) -> StreamSession | None:
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
            existing = self._sessions.get_by_idempotency_key(tenant, key)
            if existing is not None and not self._may_start_again(existing):
                return existing
            return await self._start_new(conn, head, chat_request, body, key)

    def _may_start_again(self, session: StreamSession) -> bool:
        """Whether a repeated request runs anew; HttpError 409 if neither that nor an answer is possible."""
        if session.end in (None, SessionEnd.SERVED):
            return False
        record = session.record
        if (
            record is not None
            and record.may_have_run
            and not self._submitter.is_idempotent(session.class_index)
        ):
            raise HttpError(409, "this request may have run before; it is not run again", "may_have_run")
        return True

    async def _start_new(
        self, conn: Connection, head: h11.Request, chat_request: dict[str, Any], body: bytes, key: str | None
    ) -> StreamSession | None:
        """Start a session for a request; None if it has been answered."""
        options = self._options
        class_index, request = build_request(
            options.config, options.names, options.settings, head, chat_request
        )
        if key or not header_text(head, b"x-call-class"):  # else the gate has decided by the head
            self._admission.check(class_index, head, len(body))
        if self._queued is not None and await self._queued.answer_if_queued(
            conn, head, chat_request, request
        ):
            return None
        if not self._sessions.make_room():
            raise HttpError(429, "too many answers are under way", "rate_limit_exceeded")
        session = StreamSession(
            f"chatcmpl-{uuid4().hex}",
            self._tenant(head),
            retained_request(chat_request, body),
            class_index,
            request.max_output_tokens,
            len(body),
        )
        self._sessions.add(session, key)
        self._submitter.submit(session, request, chat_request)
        return session

    def _tenant(self, head: h11.Request) -> str:
        return tenant_of(head, self._options.config.tenant)
