"""Parses the platform's request headers into the core's request, and rejects invalid ones."""

from __future__ import annotations

import re

import h11
import orjson

from ringledge.memory.names import WireNames
from ringledge.routing.interface import Request
from ringledge.wire.http.errors import HttpError
from ringledge.wire.http.headers import headers_by_name

MAX_HINT_MS = 3_600_000.0  # estimates of more than an hour of work are ignored


def read_request(names: WireNames, head: h11.Request, body: bytes) -> Request:
    """Parse the headers of a request; HttpError 400 says what is invalid."""
    headers = headers_by_name(head)
    info = dict(part.partition("=")[::2] for part in _text(headers, b"x-call-info", "").split(",") if part)
    info = {key.strip(): value.strip() for key, value in info.items()}
    try:
        if not isinstance(orjson.loads(body), dict):
            raise ValueError("the body is no JSON object")
        request_id = _text(headers, b"x-call-id")
        if not re.fullmatch(r"[A-Za-z0-9._-]{1,64}", request_id):  # it becomes part of a URL path
            raise ValueError("X-Call-Id is no plain word")
        budget = _text(headers, b"x-budget-ms")
        if not re.fullmatch(r"[0-9]{1,7}", budget) or not int(budget):  # int() accepts '1_0' and '+1'
            raise ValueError("X-Budget-Ms is no number of milliseconds")
        class_index = names.index(names.classes, _text(headers, b"x-call-class"))
        tenant = names.index(names.tenants, _text(headers, b"x-caller", ""))
        if class_index == len(names.classes):
            raise ValueError("X-Call-Class names no class")
        if names.tenants and tenant == len(names.tenants):
            raise ValueError("X-Caller names no tenant")
        repeat = _text(headers, b"x-again", "")
        return Request(
            request_id,
            float(budget),
            class_index,
            tenant,
            _parse_key(_text(headers, b"x-route-hash", "")),
            _parse_key(info.get("prefix", "")),
            _token_count(info.get("prefix_len", 0)),
            _token_count(info.get("prompt_len", len(body) / 4)),  # default: four bytes per token
            _token_count(info.get("max_out", 0)),
            _hint_ms(headers),
            repeat == "1",
            repeat == "again",
        )
    except ValueError as error:
        raise HttpError(400, str(error)) from error


def _text(headers: dict[bytes, bytes], name: bytes, default: str | None = None) -> str:
    value = headers.get(name)
    if value is None:
        if default is None:
            raise ValueError(f"{name.decode()} is missing")
        return default
    return value.decode("ascii", "replace").strip()


def _token_count(text: str | float) -> float:
    """A valid number of tokens. float() accepts 'nan', which would make every sum it enters 'nan'."""
    value = float(text)
    if not 0 <= value < 1e9:
        raise ValueError("X-Call-Info holds no count of tokens")
    return value


def _hint_ms(headers: dict[bytes, bytes]) -> float | None:
    """The client's estimate of the work in ms; an invalid one is ignored, since it is only a hint."""
    try:
        estimate_ms = float(headers.get(b"x-call-cost", b"")) / 1000
    except ValueError:
        return None
    return estimate_ms if 0 <= estimate_ms < MAX_HINT_MS else None


def _parse_key(text: str) -> int | None:
    """The number of a session or a shared prefix from hex digits, bounded because it is stored."""
    if text and not re.fullmatch(r"[0-9a-fA-F]{1,64}", text):
        raise ValueError("a key is no hex digits")
    return int(text, 16) if text else None
