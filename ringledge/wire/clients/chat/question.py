"""Questions: what a chat request must have, and the core's request for it."""

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
from ringledge.wire.clients.chat_settings import ChatConfig
from ringledge.wire.http.errors import HttpError
from ringledge.wire.http.headers import header


def read_question(body: bytes) -> dict[str, Any]:
    """The request's JSON with what it must have; HttpError names the field that is wrong."""
    try:
        told = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise HttpError(400, f"the body is no JSON: {error}", "invalid_json") from error
    if not isinstance(told, dict):
        raise HttpError(400, "the body is no JSON object", "invalid_json")
    for name, kind in (("model", str), ("messages", list)):
        if not told.get(name):
            raise HttpError(400, f"missing field: {name}", "missing_field", name)
        if not isinstance(told[name], kind):
            raise HttpError(400, f"{name} has the wrong type", "invalid_type", name)
    for each in told["messages"]:
        if not isinstance(each, dict) or not isinstance(each.get("role"), str) or "content" not in each:
            raise HttpError(400, "a message needs a role and content", "invalid_message", "messages")
        if not isinstance(each["content"], str | list | None):
            raise HttpError(400, "content is text or a list of parts", "invalid_message", "messages")
    for name in ("max_tokens", "max_completion_tokens"):
        value = told.get(name)
        if value is not None and (
            not isinstance(value, int) or isinstance(value, bool) or not 0 < value < 10**7
        ):
            raise HttpError(400, f"{name} is a whole number over 0", "invalid_value", name)
    if not isinstance(told.setdefault("stream", False), bool):
        raise HttpError(400, "stream is true or false", "invalid_type", "stream")
    if not isinstance(told.get("stream_options") or {}, dict):
        raise HttpError(400, "stream_options is an object", "invalid_type", "stream_options")
    if told.get("n") not in (None, 1):
        raise HttpError(400, "one choice a request", "unsupported_value", "n")
    return told


def to_request(
    config: ChatConfig,
    names: WireNames,
    settings: RouterSettings,
    head: h11.Request,
    question: dict[str, Any],
) -> tuple[int, Request]:
    """The core's request; HttpError names the field that is wrong."""
    told, caller = told_header(head, b"x-call-class"), told_header(head, b"x-caller")
    budget = told_header(head, b"x-budget-ms")
    if budget and not (budget.isdecimal() and 0 < int(budget) < 10_000_000):
        raise HttpError(400, "not a number of milliseconds", "invalid_value", "X-Budget-Ms")
    route = told_header(head, b"x-route-hash") or ""
    budget_ms = float(budget) if budget else None
    origin = ChatOrigin(caller or config.tenant, uuid4().hex, told, budget_ms, route)
    return class_and_request(config, names, settings, question, origin)


@dataclass(frozen=True, slots=True)
class ChatOrigin:
    """What is known of a chat request beside its body."""

    tenant: str
    request_id: str
    class_name: str | None  # None: the class of the model
    budget_ms: float | None = None  # None: the deadline of the class
    conversation: str = ""  # names the conversation; empty: its opening messages do


def class_and_request(
    config: ChatConfig,
    names: WireNames,
    settings: RouterSettings,
    question: dict[str, Any],
    origin: ChatOrigin,
) -> tuple[int, Request]:
    """The class index and the core's request of a question; HttpError names the field that is wrong."""
    if question["model"] not in config.models:
        raise HttpError(404, f"no such model: {question['model']}", "model_not_found", "model")
    class_name = origin.class_name or config.models[question["model"]]
    if class_name not in names.classes:
        raise HttpError(400, f"no such class: {class_name}", "unknown_class", "X-Call-Class")
    if names.tenants and origin.tenant not in names.tenants:
        raise HttpError(400, f"no such caller: {origin.tenant}", "unknown_caller", "X-Caller")
    index = names.classes.index(class_name)
    first = question["messages"][0]
    shared = _content(first) if first["role"] in ("system", "developer") else ""
    opening = orjson.dumps(question["messages"][: 2 if shared else 1])
    session = origin.conversation.encode() or opening
    request = Request(
        origin.request_id,
        origin.budget_ms or settings.classes[index].deadline_ms,
        index,
        names.index(names.tenants, origin.tenant),
        _number(session),
        _number(shared.encode()) if shared else None,
        len(shared) / 4,  # a token is four characters
        len(prompt_of(question)) / 4,
        float(question.get("max_completion_tokens") or question.get("max_tokens") or config.max_tokens),
    )
    return index, request


def _content(message: dict[str, Any]) -> str:
    content = message["content"]
    if isinstance(content, list):
        return "".join(str(part.get("text", "")) for part in content if isinstance(part, dict))
    return content or ""


def prompt_of(question: dict[str, Any]) -> str:
    """All that is to be read, as text."""
    return "".join(_content(message) for message in question["messages"])


def _number(text: bytes) -> int:
    """A key as the decisions know it: a number below 2 to the 53rd."""
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big") >> 11


def told_header(head: h11.Request, name: bytes) -> str | None:
    """A header's text, or None where it is absent or empty."""
    value = header(head, name)
    return value.decode("utf-8", "replace").strip() if value else None
