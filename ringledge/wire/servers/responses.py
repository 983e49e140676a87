"""What servers say: heads, a stream's opening and tail, load reports. Nothing here decides anything."""

from __future__ import annotations

import re
from typing import Any

import h11
import orjson

from ringledge.routing.interface import (
    LoadReport,
)
from ringledge.routing.simulator_decoder import LOAD_FIELDS
from ringledge.wire.http.connection import Connection

MAX_CHUNK = 64 * 1024  # bytes of a chunk, and of an opening without an event: events are far shorter
MAX_INTERIM = 8  # answers of 1xx taken before the real one
MAX_FIGURE = 1e9  # what a report or a count of tokens stays under, if it is to be believed
EVENT = re.compile(rb"^data:(.*?)\r?\n\r?\n", re.MULTILINE | re.DOTALL)


async def answer_head(conn: Connection) -> h11.Response:
    """The head of the answer, behind what the server says in the meantime."""
    for _ in range(MAX_INTERIM):
        head = await conn.next_event()
        if isinstance(head, h11.Response):
            return head
        if not isinstance(head, h11.InformationalResponse):
            raise h11.RemoteProtocolError("the connection ended before an answer")
    raise h11.RemoteProtocolError("interim answers without end")


async def opening_event(conn: Connection, chunked: bool) -> bytes:
    """A stream's first event, in whole chunks: what is spoilt before costs its attempt, not its client."""
    opening, searched = bytearray(), 0
    while len(opening) <= MAX_CHUNK:
        event = await conn.next_event()
        if not isinstance(event, h11.Data):
            raise h11.RemoteProtocolError("the stream ended before its first event")
        opening += event.data
        if not opening.endswith((b"\n\n", b"\r\n\r\n")) or not (event.chunk_end or not chunked):
            continue
        if first := EVENT.search(opening, searched):
            if not as_object(first[1]):
                raise h11.RemoteProtocolError("the first event can't be read")
            return bytes(opening)
        searched = len(opening)  # a data line before this blank line would have matched
    raise h11.RemoteProtocolError("the opening holds no event")


def read_tail(tail: bytes) -> tuple[int, int, LoadReport | None]:
    """Cached and answer tokens and the load report, which stand in a stream's last lines."""
    note, written, load = 0, 0, None
    for line in tail.splitlines():
        if line.startswith(b"data: {") and b'"usage"' in line:
            told = as_object(line[6:]).get("usage")
            note, written = cached_tokens(told), answer_tokens(told)
        elif line.lower().startswith(b": x-load-report:"):
            load = load_report(line.split(b":", 2)[2])
    return note, written, load


def load_report(text: bytes | None) -> LoadReport | None:
    """A load report in the names that the settings give."""
    report = as_object(text) if text else {}
    known = {
        LOAD_FIELDS[name]: float(value)
        for name, value in report.items()
        if name in LOAD_FIELDS and isinstance(value, int | float) and 0 <= value < MAX_FIGURE
    }
    return LoadReport(**known) if known else None


def as_object(text: bytes) -> dict[str, Any]:
    """An object in JSON; anything else counts as empty, for a report is only advice."""
    try:
        value = orjson.loads(text)
    except orjson.JSONDecodeError:
        return {}
    return value if isinstance(value, dict) else {}


def cached_tokens(told: Any) -> int:
    """Prompt tokens found kept, from a 202's body or a stream's usage."""
    if not isinstance(told, dict):
        return 0
    details = told.get("prompt_tokens_details")
    value = told.get("cached_tokens", details.get("cached_tokens", 0) if isinstance(details, dict) else 0)
    return int(value) if isinstance(value, int | float) and 0 <= value < MAX_FIGURE else 0


def answer_tokens(told: Any) -> int:
    """Tokens of the answer, from a stream's usage."""
    value = told.get("completion_tokens", 0) if isinstance(told, dict) else 0
    return int(value) if isinstance(value, int | float) and 0 <= value < MAX_FIGURE else 0


def reusable(conn: Connection) -> bool:
    """Whether the exchange is over on both sides, and no byte of a further answer would spoil the next."""
    return not conn.pending() and conn.next_cycle()
