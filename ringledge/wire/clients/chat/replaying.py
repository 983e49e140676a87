"""Queued requests on their way: by the same conductor, decisions and rules as those of clients that wait."""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b
from typing import Any

import orjson

from ringledge.core.conductor import Conductor
from ringledge.core.port import Payload
from ringledge.core.records import Record
from ringledge.core.stages.accept import DuplicateError
from ringledge.decide.replay.scheduler import SendOutcome
from ringledge.members.replay_sender import SendHandle, SendResult
from ringledge.memory.names import Names
from ringledge.memory.stream_sessions import End, Session
from ringledge.routing.interface import (
    Idempotency,
    RouterSettings,
)
from ringledge.store.entry import Entry
from ringledge.wire.clients.chat.answer import Answer
from ringledge.wire.clients.chat.question import class_and_request
from ringledge.wire.clients.chat.replies import whole_answer
from ringledge.wire.clients.chat_settings import ChatConfig
from ringledge.wire.http.errors import HttpError


class _Run(Answer):
    """One entry's run: a session that nobody follows, whose end goes back to the replay."""

    def __init__(self, session: Session, conductor: Conductor, ended: Callable[[SendResult], None]) -> None:
        super().__init__(session)
        self._mine, self._conductor, self._told = session, conductor, ended
        self._left = False

    def _end(self, end: End) -> None:
        super()._end(end)
        if self._left:
            return
        self._left = True
        record = self._mine.record
        # Until `take` has returned nothing can have been sent.
        ran = record is not None and (record.streaming or record.may_have_run)
        if end is End.SERVED:
            usage = self._mine.usage or {}
            written = float(usage.get("completion_tokens") or 0)
            work = float(usage.get("prompt_tokens") or 0) + written
            self._told(SendResult(SendOutcome.SERVED, True, whole_answer(self._mine), work or None, written))
        elif end is End.REFUSED or not ran:
            self._told(SendResult(SendOutcome.REJECTED, False))
        else:
            self._told(SendResult(SendOutcome.FAILED, True))

    def cancel(self) -> bool:
        """Give it up: the next holder sends it again."""
        record, self._left = self._mine.record, True
        if record is not None:
            self._conductor.client_gone(record)
        return True


class _Booking(_Run):
    """One that must not run twice."""

    def cancel(self) -> bool:
        """It runs on: it may have run, and its end may still be taken."""
        return False


class ReplaySender:
    """Sends queued entries through the conductor."""

    def __init__(
        self, config: ChatConfig, settings: RouterSettings, names: Names, conductor: Conductor
    ) -> None:
        self._config, self._settings, self._names, self._conductor = config, settings, names, conductor

    def __call__(self, entry: Entry, ended: Callable[[SendResult], None]) -> SendHandle | None:
        """Start one; None where its class or model is not served any more."""
        told: dict[str, Any] = orjson.loads(entry.asked.question)
        try:
            asked, shop = entry.asked, (self._config, self._names, self._settings)
            index, request = class_and_request(*shop, told, asked.kind, asked.tenant, _id(entry))
        except HttpError:
            return None
        name = f"chatcmpl-{entry.name}"
        session = Session(name, told, index, request.max_output_tokens, len(entry.asked.question))
        safe = self._settings.classes[index].idempotency is Idempotency.IDEMPOTENT
        run = (_Run if safe and entry.asked.safe else _Booking)(session, self._conductor, ended)
        body = told | {"stream": True, "max_tokens": int(request.max_output_tokens)}
        body.pop("max_completion_tokens", None)
        payload = Payload(b"/v1/chat/completions", orjson.dumps(body))
        try:
            record: Record = self._conductor.accept(request, payload, run)
        except DuplicateError:  # the last attempt is still being let go of
            ended(SendResult(SendOutcome.REJECTED, False))
            return run
        session.record = record
        return run


def _id(entry: Entry) -> str:
    """The request's id at the servers: another for each attempt, and not the name that opens the answer."""
    return blake2b(f"{entry.name}:{entry.attempts}".encode(), digest_size=16).hexdigest()
