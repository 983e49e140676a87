"""Parses what servers send: response heads, the first event and the tail of a stream, load reports."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass
from typing import Any

import anyio
import h11

from ringledge.routing.interface import LoadReport
from ringledge.routing.simulator_decoder import LOAD_FIELDS
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.headers import header
from ringledge.wire.http.messages import MAX_BODY_BYTES, read_body
from ringledge.wire.servers.event_buffer import MAX_DELAY_S
from ringledge.wire.servers.event_progress import EventProgress
from ringledge.wire.servers.json_object import parse_json_object

MAX_EVENT_BYTES = MAX_BODY_BYTES  # a response may consist of one event
MAX_OPENING_BYTES = 64 * 1024  # of a stream before its first event: comments and blank lines
# Kept of a body that is no stream; token counts and load reports are far shorter.
MAX_REPORT_BYTES = 16 * 1024
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
    """Read the head of the final response, past interim ones.

    Raises h11.RemoteProtocolError if there is none, or if it states a body longer than the protocol permits.
    The sizes that the chunks of its body state are held to the same limit.
    """
    for _ in range(MAX_INTERIM_RESPONSES):
        head = await conn.next_event()
        if isinstance(head, h11.Response):
            _limit_stated_sizes(conn, head)
            return head
        if not isinstance(head, h11.InformationalResponse):
            raise h11.RemoteProtocolError("the connection was closed before the response")
    raise h11.RemoteProtocolError("too many interim responses")


def _limit_stated_sizes(conn: Connection, head: h11.Response) -> None:
    length = header(head, b"content-length")
    if header(head, b"transfer-encoding") is not None:
        conn.limit_chunks(MAX_BODY_BYTES)
    elif length is not None and int(length) > MAX_BODY_BYTES:
        raise h11.RemoteProtocolError(f"the response states a body of {int(length)} bytes")


async def read_report(conn: Connection, head: h11.Response) -> bytes:
    """Read the body of a response that is no stream; of a long one, only the beginning is kept."""
    return await read_body(conn, head, kept_bytes=MAX_REPORT_BYTES)


async def read_first_event(conn: Connection, chunked: bool, progress: EventProgress) -> bytes:
    """Read the beginning of a stream up to its first data event, and what has arrived with that.

    `progress` is that of the stream, of which nothing was read before.
    The chunk in which the event ends is awaited as well, but not for long, since it may contain many events;
    so is the rest of a further event that has begun.
    Raises h11.RemoteProtocolError if the event is missing, or it or its chunk is malformed: the client has
    received nothing yet, so that the request can be retried.
    """
    opening = bytearray()
    searched_bytes, has_event, deadline_s = 0, False, math.inf
    while (
        progress.incomplete_bytes <= MAX_EVENT_BYTES
        and len(opening) - progress.incomplete_bytes <= MAX_OPENING_BYTES
    ):
        with anyio.CancelScope(deadline=deadline_s) as rest_of_chunk:
            event = await conn.next_event()
        if rest_of_chunk.cancelled_caught:
            return bytes(opening)
        if not isinstance(event, h11.Data):
            raise h11.RemoteProtocolError("the stream ended before the end of its first event")
        opening += event.data
        progress.feed(bytes(event.data))
        if progress.has_data_event and not has_event:
            has_event = _begins_with_event(opening, searched_bytes)
            searched_bytes = len(opening) - progress.incomplete_bytes
            deadline_s = anyio.current_time() + MAX_DELAY_S if has_event else math.inf
        if has_event and not progress.incomplete_bytes and (event.chunk_end or not chunked):
            return bytes(opening)
    if has_event:
        return bytes(opening)
    raise h11.RemoteProtocolError("the beginning of the stream contains no event")


def _begins_with_event(opening: bytearray, searched_bytes: int) -> bool:
    """Whether the first data event has arrived; h11.RemoteProtocolError if it is malformed."""
    first = DATA_EVENT.search(opening, searched_bytes)
    if first is not None and not parse_json_object(first[1]):
        raise h11.RemoteProtocolError("the first event is malformed")
    return first is not None


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
