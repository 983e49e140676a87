"""The streams that a stand-in server of a soak writes: usual, slow, truncated and malformed ones."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import repeat

from ringledge.lab.http_peer import encode_chunk

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
USAGE_EVENT = b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":8}}\n\n'
FINAL_EVENT = b"data: [DONE]\n\n"
LAST_CHUNK = b"0\r\n\r\n"
EVENT_COUNTS = (4, 8, 8, 60)
EVENT_INTERVAL_S = 0.03
# A slow stream takes longer than the timeout of one event, and ends before its client gives up.
SLOW_EVENT_COUNT, SLOW_EVENT_INTERVAL_RANGE_S = 4, (0.9, 1.4)
LONG_EVENT_BYTES = 100_000  # of the long event of a stream; a body may have 256 KiB
OVERSIZED_CHUNK = b"c0000000\r\n"
MISSTATED_CHUNK = b"20000\r\n"  # more than it contains, but no more than a body may have


@dataclass(frozen=True, slots=True)
class Piece:
    """What the server writes at once; `event` is recorded before, `pause_s` follows unless it is the last."""

    data: bytes
    pause_s: float = EVENT_INTERVAL_S
    event: str = ""
    is_last: bool = False


Stream = Iterator[Piece]


def make_event(content_bytes: int = 0) -> bytes:
    """An event of a fixed length, whose content is the time at which it is made and `content_bytes` more."""
    text = b'{"choices":[{"index":0,"delta":{"content":"%020.6f"%s}}]}'
    more = b',"more":"%s"' % (b"x" * content_bytes) if content_bytes else b""
    return b"data: " + text % (time.monotonic(), more) + b"\n\n"


def _usual(rng: random.Random) -> Stream:
    yield Piece(HEAD + encode_chunk(make_event()), event="first")
    for _ in range(rng.choice(EVENT_COUNTS) - 1):
        yield Piece(encode_chunk(make_event()))
    yield _end()


def _truncated(rng: random.Random) -> Stream:
    yield Piece(HEAD + encode_chunk(make_event()), event="first")
    for _ in range(rng.choice(EVENT_COUNTS) - 2):
        yield Piece(encode_chunk(make_event()))
    yield Piece(LAST_CHUNK, event="truncated", is_last=True)


def _slow(rng: random.Random) -> Stream:
    pause_s = rng.uniform(*SLOW_EVENT_INTERVAL_RANGE_S)
    yield Piece(HEAD + encode_chunk(make_event()), pause_s, "first")
    for _ in range(SLOW_EVENT_COUNT):
        yield Piece(encode_chunk(make_event()), pause_s)
    yield _end()


def _slow_in_one_chunk(rng: random.Random) -> Stream:
    pause_s = rng.uniform(*SLOW_EVENT_INTERVAL_RANGE_S)
    final = USAGE_EVENT + FINAL_EVENT
    size = len(make_event()) * (SLOW_EVENT_COUNT + 1) + len(final)
    yield Piece(HEAD + b"%x\r\n" % size + make_event(), pause_s, "first")
    for _ in range(SLOW_EVENT_COUNT):
        yield Piece(make_event(), pause_s)
    yield Piece(final + b"\r\n" + LAST_CHUNK, event="done", is_last=True)


def _long_event(rng: random.Random) -> Stream:
    yield Piece(HEAD + encode_chunk(make_event()), event="first")
    text = make_event(LONG_EVENT_BYTES)
    step = len(text) // rng.choice((1, 4, 20)) + 1
    for position in range(0, len(text), step):
        yield Piece(encode_chunk(text[position : position + step]))
    yield _end()


def _malformed(opening: bytes, make_piece: Callable[[], bytes]) -> Callable[[random.Random], Stream]:
    """Streams that are sound for some events, then `opening`, then one piece after another without end."""

    def make(rng: random.Random) -> Stream:
        head = HEAD
        for _ in range(rng.choice((0, 1, 4, 20))):
            yield Piece(head + encode_chunk(make_event()), event="first" if head else "")
            head = b""
        yield Piece(head + opening, event="malformed")
        yield from (Piece(make_piece()) for _ in repeat(None))

    return make


def _end() -> Piece:
    return Piece(
        encode_chunk(USAGE_EVENT) + encode_chunk(FINAL_EVENT) + LAST_CHUNK, event="done", is_last=True
    )


# How streams are made, with their relative frequency.
STREAM_WEIGHTS: dict[Callable[[random.Random], Stream], int] = {
    _usual: 180,
    _truncated: 2,
    _slow: 3,
    _slow_in_one_chunk: 3,
    _long_event: 4,
    _malformed(OVERSIZED_CHUNK, make_event): 3,
    _malformed(OVERSIZED_CHUNK, lambda: encode_chunk(make_event())): 1,
    _malformed(MISSTATED_CHUNK, lambda: encode_chunk(make_event())): 2,
    _malformed(b"", lambda: b"0"): 2,  # a size line without end
}


def draw_stream(rng: random.Random) -> Stream:
    """Draw a stream; its pieces are to be taken when they are due."""
    return rng.choices(list(STREAM_WEIGHTS), list(STREAM_WEIGHTS.values()))[0](rng)
