"""Submits the requests of sessions to the core, and the continuations of broken responses."""

from __future__ import annotations

from dataclasses import replace
from typing import Any
from uuid import uuid4

import orjson

from ringledge.core.conductor import Conductor
from ringledge.core.port import Payload
from ringledge.routing.interface import Idempotency, Request, RouterSettings
from ringledge.wire.clients.chat.answer import SessionSink
from ringledge.wire.clients.chat.question import prompt_text
from ringledge.wire.clients.chat.stream_sessions import StreamSession

COMPLETIONS_PATH = b"/v1/chat/completions"


class SessionSubmitter:
    """Submits the requests of sessions to the core."""

    def __init__(self, conductor: Conductor, settings: RouterSettings) -> None:
        self._conductor = conductor
        self._settings = settings

    def submit(self, session: StreamSession, request: Request, payload: Payload) -> None:
        """Submit a request for the session to the core."""
        session.record = self._conductor.accept(request, payload, SessionSink(session))

    def continue_response(self, session: StreamSession) -> None:
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
        payload = server_payload(chat_request, request)
        session.end = None
        session.resume_count += 1
        self.submit(session, request, payload)

    def is_idempotent(self, class_index: int) -> bool:
        """Whether requests of the class may run more than once."""
        return self._settings.classes[class_index].idempotency is Idempotency.IDEMPOTENT


def server_payload(chat_request: dict[str, Any], request: Request) -> Payload:
    """The request to the servers, which is always for a stream.

    Raises `orjson.JSONEncodeError` for a request that is nested too deeply: more can be parsed than encoded.
    """
    body = chat_request | {"stream": True, "max_tokens": int(request.max_output_tokens)}
    body.pop("max_completion_tokens", None)
    return Payload(COMPLETIONS_PATH, orjson.dumps(body))
