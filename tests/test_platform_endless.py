"""Answers that never end, break off within a line, or come twice: what they cost, and whom."""

from __future__ import annotations

import time
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor

import pytest

from tests.loopback import Call, Node, read, take

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
ERROR = b"HTTP/1.1 500 Oops\r\n"
LENGTH = b"Content-Length: 200000000\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
LINE = b"X-More: " + b"y" * 90 + b"\r\n"


@pytest.fixture
def pool() -> Iterator[ThreadPoolExecutor]:
    with ThreadPoolExecutor(4) as pool:
        yield pool


def endless(
    pool: ThreadPoolExecutor, call: Call, opening: bytes, piece: bytes, pause_s: float = 0.0
) -> Future[bytes]:
    return pool.submit(call.say_without_end, opening, piece, pause_s)


def serves_another(node: Node, spoilt: Call) -> None:
    """Whether the next request is served, over a connection that was not spoilt."""
    client, call = read(node, "next")
    assert call.port != spoilt.port
    call.serve("x")
    assert take(client).status == 200


WRITERS = {
    "head": (b"HTTP/1.1 200 OK\r\n", LINE),
    "status-line": (b"HTTP/1.1 200 ", b"y" * 100),
    "interim": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "error-by-length": (ERROR + LENGTH, b"x" * 1000),
    "error-by-chunks": (ERROR + CHUNKED, b"5\r\nxxxxx\r\n" * 100),
    "error-to-the-close": (ERROR + b"\r\n", b"x" * 1000),
    "chunk-size": (HEAD, b"0" * 100),
    "chunk-extension": (HEAD + b"5;", b"x" * 100),
    "chunk": (HEAD + b"c0000000\r\n", b"x" * 1000),
    "chunks-without-event": (HEAD, b"2\r\n\n\n\r\n" * 200),
    "trailer": (HEAD + b"0\r\n", LINE),
}


@pytest.mark.parametrize("name", ["query", "booking"])
@pytest.mark.parametrize("how", WRITERS)
def test_a_writers_endless_answer_costs_its_attempt_and_its_connection(
    node: Node, pool: ThreadPoolExecutor, name: str, how: str
) -> None:
    client, call = read(node, X_Call_Class=name)
    began = time.monotonic()
    heard = endless(pool, call, *WRITERS[how])
    if name == "query":
        node.writer[0].next().serve("x")
    assert take(client).status == (200 if name == "query" else 500)
    assert time.monotonic() - began < 4.8
    assert heard.result() == b""  # closed, and nothing else was sent over it
    assert len(node.writer[0].seen) == (2 if name == "query" else 1)
    serves_another(node, call)
