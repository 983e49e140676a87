"""Sends queued requests through the conductor, which treats them like those of connected clients."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any
from uuid import uuid4

import anyio.abc
import orjson

from ringledge.core.conductor import Conductor
from ringledge.core.port import Payload
from ringledge.core.stages.accept import DuplicateRequestError
from ringledge.decide.replay.scheduler import SendOutcome
from ringledge.members.replay_sender import SendHandle, SendResult
from ringledge.memory.names import WireNames
from ringledge.routing.interface import Idempotency, Request, RouterSettings
from ringledge.store.entry import Entry
from ringledge.store.key_claim import KeyClaim
from ringledge.wire.clients.chat.answer import SessionSink
from ringledge.wire.clients.chat.keyed_runs import KeyedRuns, KeyRejectedError, KeyRejectionReason
from ringledge.wire.clients.chat.question import ChatOrigin, class_and_request, retained_request
from ringledge.wire.clients.chat.replies import completion_body
from ringledge.wire.clients.chat.stream_sessions import SessionEnd, StreamSession
from ringledge.wire.clients.chat.submission import server_payload
from ringledge.wire.clients.chat_settings import ChatConfig
from ringledge.wire.http.errors import HttpError


class _ReplayAttempt(SessionSink):
    """The response sink of one attempt for an entry; reports its result to the replay exactly once.

    The attempt's session has no followers.
    """

    def __init__(
        self,
        session: StreamSession,
        conductor: Conductor,
        report: Callable[[SendResult], None],
        idempotent: bool,
    ) -> None:
        super().__init__(session)
        self._conductor = conductor
        self._report = report
        self._idempotent = idempotent
        self._finished = False  # the result has been reported or is no longer wanted

    def cancel(self) -> bool:
        """Cancel an idempotent request, which the next lease holder sends again; return whether it was.

        Any other request continues, because it may have run already, and its result may still be accepted.
        """
        if not self._idempotent:
            return False
        self._finished = True
        if self._session.record is not None:
            self._conductor.on_client_disconnected(self._session.record)
        return True

    def finish_unsent(self, result: SendResult) -> None:
        """Report the result of an attempt that was not submitted."""
        if not self._finished:
            self._finished = True
            self._report(result)

    def _end(self, end: SessionEnd) -> None:
        super()._end(end)
        if self._finished:
            return
        self._finished = True
        self._report(self._result(end))

    def _result(self, end: SessionEnd) -> SendResult:
        if end is SessionEnd.SERVED:
            return self._served()
        record = self._session.record
        # Without a record, the conductor has not returned from `accept`, so nothing can have been sent.
        may_have_run = record is not None and (record.streaming or record.may_have_run)
        # A rejection after a possible run promises that a retry within the deduplication window is safe. The
        # entry may be sent again much later, so only an idempotent one is.
        if not may_have_run or (end is SessionEnd.REJECTED and self._idempotent):
            return SendResult(SendOutcome.REJECTED, False)
        return SendResult(SendOutcome.FAILED, True)

    def _served(self) -> SendResult:
        usage = self._session.usage or {}
        output_tokens = float(usage.get("completion_tokens") or 0)
        total_tokens = float(usage.get("prompt_tokens") or 0) + output_tokens
        response = completion_body(self._session)
        return SendResult(SendOutcome.SERVED, True, response, total_tokens or None, output_tokens)


@dataclass(frozen=True, slots=True)
class _Submission:
    """What the core is given for one attempt, and the session that its response goes to."""

    request: Request
    payload: Payload
    session: StreamSession
    attempt: _ReplayAttempt


class ReplaySender:
    """Sends queued entries through the conductor."""

    def __init__(
        self,
        config: ChatConfig,
        settings: RouterSettings,
        names: WireNames,
        conductor: Conductor,
        keyed_runs: KeyedRuns,
    ) -> None:
        self.tasks: anyio.abc.TaskGroup | None = None  # has to be set before the first entry with a key
        self._keyed_runs = keyed_runs
        self._config = config
        self._settings = settings
        self._names = names
        self._conductor = conductor

    def __call__(self, entry: Entry, on_result: Callable[[SendResult], None]) -> SendHandle | None:
        """Start an attempt; return None if the entry's class or model is no longer served."""
        queued = entry.request
        chat_request: dict[str, Any] = orjson.loads(queued.body)
        try:
            origin = ChatOrigin(queued.tenant, _attempt_id(entry), queued.request_class)
            class_index, request = class_and_request(
                self._config, self._names, self._settings, chat_request, origin
            )
        except HttpError:
            return None
        session_name = f"chatcmpl-{entry.name}"
        session = StreamSession(
            session_name,
            queued.tenant,
            retained_request(chat_request, queued.body),
            class_index,
            request.max_output_tokens,
            len(queued.body),
        )
        idempotent = self._is_idempotent(class_index) and queued.idempotent
        attempt = _ReplayAttempt(session, self._conductor, on_result, idempotent)
        submission = _Submission(request, server_payload(chat_request, request), session, attempt)
        if queued.idempotency_key is None or idempotent:
            self._submit(submission)
        else:
            assert self.tasks is not None
            claim = KeyClaim(queued.tenant, queued.idempotency_key, run=uuid4().hex, origin=entry.name)
            self.tasks.start_soon(self._submit_keyed, submission, claim)
        return attempt

    def _submit(self, submission: _Submission) -> None:
        session, attempt = submission.session, submission.attempt
        try:
            session.record = self._conductor.accept(submission.request, submission.payload, attempt)
        except DuplicateRequestError:  # the previous attempt has not ended yet
            self._keyed_runs.cancel(submission.request.request)
            attempt.finish_unsent(SendResult(SendOutcome.REJECTED, False))

    async def _submit_keyed(self, submission: _Submission, claim: KeyClaim) -> None:
        """Submit the request of an entry with an idempotency key, unless the key may have run already."""
        try:
            await self._keyed_runs.begin(submission.request.request, claim)
        except KeyRejectedError as error:
            is_claimed = error.reason is KeyRejectionReason.CLAIMED
            outcome = SendOutcome.FAILED if is_claimed else SendOutcome.REJECTED
            submission.attempt.finish_unsent(SendResult(outcome, may_have_run=is_claimed))
            return
        self._submit(submission)

    def _is_idempotent(self, class_index: int) -> bool:
        return self._settings.classes[class_index].idempotency is Idempotency.IDEMPOTENT


def _attempt_id(entry: Entry) -> str:
    """The request id sent to servers: unique to the attempt, and without the name that clients poll."""
    return blake2b(f"{entry.name}:{entry.attempts}".encode(), digest_size=16).hexdigest()
