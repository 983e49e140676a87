"""Parses what servers send: response heads, the first event and the tail of a stream, load reports."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

import h11
import orjson

from ringledge.routing.interface import LoadReport
from ringledge.routing.simulator_decoder import LOAD_FIELDS
from ringledge.wire.http.connection import Connection
from ringledge.wire.servers.event_progress import EventProgress

MAX_OPENING_BYTES = 64 * 1024  # of a stream up to its first event; events are far shorter
MAX_INTERIM_RESPONSES = 8  # 1xx responses accepted before the final one
MAX_PLAUSIBLE_VALUE = 1e9  # load values and token counts from this value on are ignored
DATA_EVENT = re.compile(rb"^data:(.*?)\r?\n\r?\n", re.MULTILINE | re.DOTALL)


@dataclass(frozen=True, slots=True)
class StreamTail:
    """Token counts and load report from the last lines of a stream."""

    cached_tokens: int = 0  # prompt tokens found in the cache
    output_tokens: int = 0
    load: LoadReport | None = None


async def read_response_head(conn: Connection) -> h11.Response:
    """Read the head of the final response, past interim ones; h11.RemoteProtocolError if there is none."""
    for _ in range(MAX_INTERIM_RESPONSES):
        head = await conn.next_event()
        if isinstance(head, h11.Response):
            return head
        if not isinstance(head, h11.InformationalResponse):
            raise h11.RemoteProtocolError("the connection was closed before the response")
    raise h11.RemoteProtocolError("too many interim responses")


async def read_first_event(conn: Connection) -> bytes:
    """Read the beginning of a stream up to its first data event, and what has arrived with that.

    Raises h11.RemoteProtocolError if the event is missing or malformed: the client has received nothing yet,
    so that the request can be retried.
    """
    opening, progress = bytearray(), EventProgress()
    searched_bytes = 0
    while len(opening) <= MAX_OPENING_BYTES:
        event = await conn.next_event()
        if not isinstance(event, h11.Data):
            raise h11.RemoteProtocolError("the stream ended before its first event")
        opening += event.data
        if not progress.feed(bytes(event.data)):
            continue
        if first := DATA_EVENT.search(opening, searched_bytes):
            if not parse_json_object(first[1]):
                raise h11.RemoteProtocolError("the first event is malformed")
            return bytes(opening)
        searched_bytes = len(opening) - progress.incomplete_bytes
    raise h11.RemoteProtocolError("the beginning of the stream contains no event")


def parse_stream_tail(tail: bytes) -> StreamTail:
    """Parse usage and load report from the last lines of a stream; zeros and None if they are missing."""
    cached = 0
    output = 0
    load: LoadReport | None = None
    for line in tail.splitlines():
        if line.startswith(b"data: {") and b'"usage"' in line:
            usage = parse_json_object(line[6:]).get("usage")
            cached = cached_tokens(usage)
            output = output_tokens(usage)
        elif line.lower().startswith(b": x-load-report:"):
            load = parse_load_report(line.split(b":", 2)[2])
    return StreamTail(cached, output, load)


def parse_load_report(text: bytes | None) -> LoadReport | None:
    """Parse a load report, whose keys the settings define; None if it has no known, plausible value."""
    report = parse_json_object(text) if text else {}
    values = {
        LOAD_FIELDS[name]: float(value)
        for name, value in report.items()
        if name in LOAD_FIELDS and isinstance(value, int | float) and 0 <= value < MAX_PLAUSIBLE_VALUE
    }
    return LoadReport(**values) if values else None


def parse_json_object(text: bytes) -> dict[str, Any]:
    """Parse a JSON object; anything else gives an empty one, since reports are only advisory."""
    try:
        value = orjson.loads(text)
    except orjson.JSONDecodeError:
        return {}
    return value if isinstance(value, dict) else {}


def cached_tokens(usage: Any) -> int:
    """Prompt tokens found in the cache, from the body of a 202 response or from the usage of a stream."""
    if not isinstance(usage, dict):
        return 0
    details = usage.get("prompt_tokens_details")
    in_details = details.get("cached_tokens", 0) if isinstance(details, dict) else 0
    return _token_count(usage.get("cached_tokens", in_details))


def output_tokens(usage: Any) -> int:
    """Completion tokens from the usage of a stream."""
    return _token_count(usage.get("completion_tokens", 0)) if isinstance(usage, dict) else 0


def _token_count(value: Any) -> int:
    """The value if it is a plausible count, else 0."""
    return int(value) if isinstance(value, int | float) and 0 <= value < MAX_PLAUSIBLE_VALUE else 0


def is_reusable(conn: Connection) -> bool:
    """Whether both sides have completed the exchange, and no byte of a second response has arrived."""
    return not conn.has_unparsed_bytes() and conn.next_cycle()
