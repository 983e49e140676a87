"""Validates the body of a chat request and builds the core's request from it."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import Any
from uuid import uuid4

import h11
import orjson

from ringledge.memory.names import WireNames
from ringledge.routing.interface import (
    Request,
    RouterSettings,
)
from ringledge.wire.clients.chat.stream_sessions import RetainedRequest
from ringledge.wire.clients.chat_settings import ChatConfig
from ringledge.wire.http.errors import HttpError
from ringledge.wire.http.headers import header

MAX_KEY_BYTES = 256  # of an idempotency key, which is retained for as long as its session


def parse_chat_request(body: bytes) -> dict[str, Any]:
    """Parse and validate the body of a request; HttpError names the invalid field."""
    try:
        chat_request = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise HttpError(400, f"the body is no JSON: {error}", "invalid_json") from error
    if not isinstance(chat_request, dict):
        raise HttpError(400, "the body is no JSON object", "invalid_json")
    for name, kind in (("model", str), ("messages", list)):
        if not chat_request.get(name):
            raise HttpError(400, f"missing field: {name}", "missing_field", name)
        if not isinstance(chat_request[name], kind):
            raise HttpError(400, f"{name} has the wrong type", "invalid_type", name)
    for message in chat_request["messages"]:
        if (
            not isinstance(message, dict)
            or not isinstance(message.get("role"), str)
            or "content" not in message
        ):
            raise HttpError(400, "a message needs a role and content", "invalid_message", "messages")
        if not isinstance(message["content"], str | list | None):
            raise HttpError(400, "content is text or a list of parts", "invalid_message", "messages")
    for name in ("max_tokens", "max_completion_tokens"):
        value = chat_request.get(name)
        if value is not None and (
            not isinstance(value, int) or isinstance(value, bool) or not 0 < value < 10**7
        ):
            raise HttpError(400, f"{name} is a whole number over 0", "invalid_value", name)
    if not isinstance(chat_request.setdefault("stream", False), bool):
        raise HttpError(400, "stream is true or false", "invalid_type", "stream")
    if not isinstance(chat_request.get("stream_options") or {}, dict):
        raise HttpError(400, "stream_options is an object", "invalid_type", "stream_options")
    if chat_request.get("n") not in (None, 1):
        raise HttpError(400, "one choice a request", "unsupported_value", "n")
    return chat_request


def retained_request(chat_request: dict[str, Any], body: bytes) -> RetainedRequest:
    """The valid request that was parsed from a body, as a session retains it."""
    stream_options = chat_request.get("stream_options") or {}
    include_usage = bool(stream_options.get("include_usage"))
    return RetainedRequest(body, chat_request["model"], bool(chat_request.get("stream")), include_usage)


def build_request(
    config: ChatConfig,
    names: WireNames,
    settings: RouterSettings,
    head: h11.Request,
    chat_request: dict[str, Any],
) -> tuple[int, Request]:
    """The class index and the core's request for a client's request; HttpError names the invalid field."""
    class_name, tenant = header_text(head, b"x-call-class"), tenant_of(head, config.tenant)
    budget = header_text(head, b"x-budget-ms")
    if budget and not (budget.isdecimal() and 0 < int(budget) < 10_000_000):
        raise HttpError(400, "not a number of milliseconds", "invalid_value", "X-Budget-Ms")
    conversation = header_text(head, b"x-route-hash") or ""
    budget_ms = float(budget) if budget else None
    origin = ChatOrigin(tenant, uuid4().hex, class_name, budget_ms, conversation)
    return class_and_request(config, names, settings, chat_request, origin)


@dataclass(frozen=True, slots=True)
class ChatOrigin:
    """The properties of a chat request that are not in its body."""

    tenant: str
    request_id: str
    class_name: str | None  # None: the class that is configured for the model
    budget_ms: float | None = None  # None: the deadline of the class
    conversation: str = ""  # identifies the conversation; empty: its opening messages identify it


def class_and_request(
    config: ChatConfig,
    names: WireNames,
    settings: RouterSettings,
    chat_request: dict[str, Any],
    origin: ChatOrigin,
) -> tuple[int, Request]:
    """The class index and the core's request for a parsed body; HttpError names the invalid field."""
    if chat_request["model"] not in config.models:
        raise HttpError(404, f"no such model: {chat_request['model']}", "model_not_found", "model")
    class_name = origin.class_name or config.models[chat_request["model"]]
    if class_name not in names.classes:
        raise HttpError(400, f"no such class: {class_name}", "unknown_class", "X-Call-Class")
    if names.tenants and origin.tenant not in names.tenants:
        raise HttpError(400, f"no such caller: {origin.tenant}", "unknown_caller", "X-Caller")
    index = names.classes.index(class_name)
    first = chat_request["messages"][0]
    shared = _message_text(first) if first["role"] in ("system", "developer") else ""
    opening = orjson.dumps(chat_request["messages"][: 2 if shared else 1])
    session = origin.conversation.encode() or opening
    request = Request(
        origin.request_id,
        origin.budget_ms or settings.classes[index].deadline_ms,
        index,
        names.index(names.tenants, origin.tenant),
        _hash_key(session),
        _hash_key(shared.encode()) if shared else None,
        len(shared) / 4,  # estimated at four characters per token
        len(prompt_text(chat_request)) / 4,
        float(
            chat_request.get("max_completion_tokens") or chat_request.get("max_tokens") or config.max_tokens
        ),
    )
    return index, request


def _message_text(message: dict[str, Any]) -> str:
    content = message["content"]
    if isinstance(content, list):
        return "".join(str(part.get("text", "")) for part in content if isinstance(part, dict))
    return content or ""


def prompt_text(chat_request: dict[str, Any]) -> str:
    """The text of all messages."""
    return "".join(_message_text(message) for message in chat_request["messages"])


def _hash_key(text: bytes) -> int:
    """The hash of a key, a number below 2**53 as the decisions require."""
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big") >> 11


def idempotency_key(head: h11.Request) -> str | None:
    """The request's idempotency key, or None; HttpError if it is too long."""
    key = header(head, b"idempotency-key")
    if key and len(key) > MAX_KEY_BYTES:
        raise HttpError(400, f"longer than {MAX_KEY_BYTES} bytes", "invalid_value", "Idempotency-Key")
    return key.decode("latin-1") if key else None  # each byte counts


def tenant_of(head: h11.Request, default: str) -> str:
    """The tenant that the request names, else the configured default."""
    return header_text(head, b"x-caller") or default


def header_text(head: h11.Request, name: bytes) -> str | None:
    """A header's text, or None if it is absent or empty."""
    value = header(head, name)
    return value.decode("utf-8", "replace").strip() if value else None
