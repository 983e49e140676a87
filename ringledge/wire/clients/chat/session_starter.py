"""Starts the sessions of chat requests, or finds the one that a repeated request follows."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any
from uuid import uuid4

import h11
import orjson

from ringledge.memory.names import WireNames
from ringledge.routing.interface import Request, RouterSettings
from ringledge.store.key_claim import KeyClaim
from ringledge.wire.clients.chat.admission import ChatAdmission
from ringledge.wire.clients.chat.keyed_locks import KeyedLocks
from ringledge.wire.clients.chat.keyed_runs import (
    KeyedRun,
    KeyedRuns,
    KeyRejectedError,
    KeyRejectionReason,
)
from ringledge.wire.clients.chat.question import (
    build_request,
    header_text,
    idempotency_key,
    parse_chat_request,
    retained_request,
    tenant_of,
)
from ringledge.wire.clients.chat.stream_sessions import SessionEnd, StreamSession, StreamSessionStore
from ringledge.wire.clients.chat.submission import SessionSubmitter, server_payload
from ringledge.wire.clients.chat_settings import ChatConfig
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import HttpError

if TYPE_CHECKING:
    from ringledge.wire.clients.chat.queued import QueuedChat

MAY_HAVE_RUN_MESSAGE = "this request may have run before, or is under way; it is not run again"
RETRY_AFTER = (b"Retry-After", b"1")  # s


@dataclass(frozen=True, slots=True)
class ChatOptions:
    """The settings of the chat front; `max_retained_bytes` limits the sessions that are retained."""

    config: ChatConfig
    settings: RouterSettings
    names: WireNames
    max_retained_bytes: float


@dataclass(frozen=True, slots=True)
class _KeyUse:
    """The idempotency key of a request, and the key's earlier session, if its request provably never ran."""

    key: str
    superseded_session: str | None


class SessionStarter:
    """Starts sessions; a tenant's repeated request with an idempotency key gets the session of the first."""

    def __init__(
        self,
        options: ChatOptions,
        sessions: StreamSessionStore,
        submitter: SessionSubmitter,
        keyed_runs: KeyedRuns,
        admission: ChatAdmission,
        queued: QueuedChat | None,
    ) -> None:
        self._options = options
        self._sessions = sessions
        self._submitter = submitter
        self._keyed_runs = keyed_runs
        self._admission = admission
        self._queued = queued
        self._starts = KeyedLocks()

    async def start(self, conn: Connection, head: h11.Request, body: bytes) -> StreamSession | None:
        """Start a session, or return the one that the tenant's idempotency key has started before.

        Returns None if the request is queued, in which case it has been answered.
        """
        try:
            return await self._start(conn, head, body)
        except orjson.JSONEncodeError as error:
            raise HttpError(400, f"the body can't be passed on: {error}", "invalid_json") from error

    async def _start(self, conn: Connection, head: h11.Request, body: bytes) -> StreamSession | None:
        chat_request = parse_chat_request(body)
        key = idempotency_key(head)
        if key is None:
            return await self._start_new(conn, head, chat_request, body, None)
        tenant = self._tenant(head)
        # Looking the key up on the disk takes a while, in which a repeated request may arrive.
        async with self._starts.hold((tenant, key)):
            existing = self._sessions.get_by_idempotency_key(tenant, key)
            if existing is not None and not self._may_start_again(existing):
                return existing
            key_use = _KeyUse(key, None if existing is None else existing.name)
            return await self._start_new(conn, head, chat_request, body, key_use)

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
            raise HttpError(409, MAY_HAVE_RUN_MESSAGE, "may_have_run")
        return True

    async def _start_new(
        self,
        conn: Connection,
        head: h11.Request,
        chat_request: dict[str, Any],
        body: bytes,
        key_use: _KeyUse | None,
    ) -> StreamSession | None:
        """Start a session for a request; None if it has been answered."""
        options = self._options
        class_index, request = build_request(
            options.config, options.names, options.settings, head, chat_request
        )
        if key_use or not header_text(head, b"x-call-class"):  # else the gate has decided by the head
            self._admission.check(class_index, head, len(body))
        if self._queued is not None and await self._queued.answer_if_queued(
            conn, head, chat_request, request
        ):
            return None
        payload = server_payload(chat_request, request)  # a request that can't be encoded leaves no session
        session = StreamSession(
            f"chatcmpl-{uuid4().hex}",
            self._tenant(head),
            retained_request(chat_request, body),
            class_index,
            request.max_output_tokens,
            len(body),
        )
        if key_use is not None and not self._submitter.is_idempotent(class_index):
            session.keyed_run = await self._begin_keyed_run(session, request, key_use)
        try:
            if not self._sessions.make_room():
                raise HttpError(429, "too many answers are under way", "rate_limit_exceeded")
            self._sessions.add(session, None if key_use is None else key_use.key)
            self._submitter.submit(session, request, payload)
        except BaseException:
            self._keyed_runs.cancel(request.request)
            raise
        return session

    async def _begin_keyed_run(self, session: StreamSession, request: Request, key_use: _KeyUse) -> KeyedRun:
        """Claim the key for the session's request; HttpError if it must not run."""
        claim = KeyClaim(session.tenant, key_use.key, run=session.name, origin=session.name)
        try:
            return await self._keyed_runs.begin(request.request, claim, key_use.superseded_session)
        except KeyRejectedError as error:
            if error.reason is KeyRejectionReason.CLAIMED:
                raise HttpError(409, MAY_HAVE_RUN_MESSAGE, "may_have_run") from error
            message = "the idempotency key can't be recorded; the request was not run, repeat it with its key"
            raise HttpError(503, message, "idempotency_key_unrecorded", headers=[RETRY_AFTER]) from error

    def _tenant(self, head: h11.Request) -> str:
        return tenant_of(head, self._options.config.tenant)
