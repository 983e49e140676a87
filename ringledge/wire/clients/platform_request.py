"""The platform's headers as a request of the decisions; whatever can't be one is named."""

from __future__ import annotations

import re

import h11
import orjson

from ringledge.memory.names import WireNames
from ringledge.routing.interface import Request
from ringledge.wire.http.errors import HttpError
from ringledge.wire.http.headers import headers_by_name

MOST_HINT_MS = 3_600_000.0  # an estimate of over an hour of work is no estimate


def read_request(names: WireNames, head: h11.Request, body: bytes) -> Request:
    """Translate the headers; HttpError 400 names what is wrong."""
    told = headers_by_name(head)
    info = dict(part.partition("=")[::2] for part in _text(told, b"x-call-info", "").split(",") if part)
    info = {key.strip(): value.strip() for key, value in info.items()}
    try:
        if not isinstance(orjson.loads(body), dict):
            raise ValueError("the body is no JSON object")
        name = _text(told, b"x-call-id")
        if not re.fullmatch(r"[A-Za-z0-9._-]{1,64}", name):  # it becomes part of a path
            raise ValueError("X-Call-Id is no plain word")
        budget = _text(told, b"x-budget-ms")
        if not re.fullmatch(r"[0-9]{1,7}", budget) or not int(budget):  # int alone takes '1_0' and '+1'
            raise ValueError("X-Budget-Ms is no number of milliseconds")
        class_index = names.index(names.classes, _text(told, b"x-call-class"))
        tenant = names.index(names.tenants, _text(told, b"x-caller", ""))
        if class_index == len(names.classes):
            raise ValueError("X-Call-Class names no class")
        if names.tenants and tenant == len(names.tenants):
            raise ValueError("X-Caller names no tenant")
        again = _text(told, b"x-again", "")
        return Request(
            name,
            float(budget),
            class_index,
            tenant,
            _key(_text(told, b"x-route-hash", "")),
            _key(info.get("prefix", "")),
            _tokens(info.get("prefix_len", 0)),
            _tokens(info.get("prompt_len", len(body) / 4)),  # a token is four characters
            _tokens(info.get("max_out", 0)),
            _hint_ms(told),
            again == "1",
            again == "again",
        )
    except ValueError as error:
        raise HttpError(400, str(error)) from error


def _text(told: dict[bytes, bytes], name: bytes, default: str | None = None) -> str:
    value = told.get(name)
    if value is None:
        if default is None:
            raise ValueError(f"{name.decode()} is missing")
        return default
    return value.decode("ascii", "replace").strip()


def _tokens(told: str | float) -> float:
    """A count of tokens; 'nan' would pass as a number and spoil every sum that it enters."""
    value = float(told)
    if not 0 <= value < 1e9:
        raise ValueError("X-Call-Info holds no count of tokens")
    return value


def _hint_ms(told: dict[bytes, bytes]) -> float | None:
    """What the client estimates of the work, ms; a hint that can't be read is none, for it is only advice."""
    try:
        estimate_ms = float(told.get(b"x-call-cost", b"")) / 1000
    except ValueError:
        return None
    return estimate_ms if 0 <= estimate_ms < MOST_HINT_MS else None


def _key(text: str) -> int | None:
    """A session or a shared beginning: hex digits, as a number; it is kept, so it has a bound."""
    if text and not re.fullmatch(r"[0-9a-fA-F]{1,64}", text):
        raise ValueError("a key is no hex digits")
    return int(text, 16) if text else None
