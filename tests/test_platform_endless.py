"""Responses that never end, are cut off within a line, or arrive twice affect only their own attempt."""

from __future__ import annotations

import http.client
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.loopback import Call, Node, event, read, take

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
PREFILLED = b"HTTP/1.1 202 Accepted\r\n"
ERROR = b"HTTP/1.1 500 Oops\r\n"
LENGTH = b"Content-Length: 200000000\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
LINE = b"X-More: " + b"y" * 90 + b"\r\n"
# Within this time an oversized response is cut off, even on a busy machine; the client would wait longer.
CUT_OFF_LIMIT_S = 4.0
BYTE_INTERVAL_S = 0.005  # between two bytes of a trickled response
BUDGET_S = 1.2  # how long the client of a trickled response waits
LATE_RESPONSE_LIMIT_S = 0.5  # a response this long after the deadline still counts


def chunk(text: str) -> bytes:
    return b"%x\r\n%s\r\n" % (len(text), text.encode())


def decode_count(node: Node, name: str = "a1") -> int:
    """How often a request was sent to the writer."""
    return sum(call.method == "POST" and call.id == name for call in node.writer[0].seen)


def serve_another_request(node: Node, other_call: Call) -> None:
    """Serve another request, which must use a connection other than that of the given call."""
    client, call = read(node, "next")
    assert call.port != other_call.port
    call.serve("x")
    assert take(client).status == 200


ENDLESS_DECODES = {
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
@pytest.mark.parametrize("how", ENDLESS_DECODES)
def test_endless_decode_response_costs_its_attempt_and_its_connection(
    node: Node, pool: ThreadPoolExecutor, name: str, how: str
) -> None:
    client, call = read(node, X_Call_Class=name, X_Budget_Ms="60000")
    started_s = time.monotonic()
    sent_meanwhile = pool.submit(call.say_without_end, *ENDLESS_DECODES[how])
    if name == "query":
        node.writer[0].next().serve("x")
    assert take(client).status == (200 if name == "query" else 500)
    assert time.monotonic() - started_s < CUT_OFF_LIMIT_S
    assert sent_meanwhile.result() == b""  # closed, with nothing else sent on it
    assert decode_count(node) == (2 if name == "query" else 1)
    serve_another_request(node, call)


ENDLESS_PREFILLS = {
    "body-by-length": (PREFILLED + LENGTH, b"x" * 1000),
    "body-by-chunks": (PREFILLED + CHUNKED, b"5\r\nxxxxx\r\n" * 100),
    "body-to-the-close": (PREFILLED + b"\r\n", b"x" * 1000),
    "head": (PREFILLED, LINE),
    "error": (ERROR + CHUNKED, b"5\r\nxxxxx\r\n" * 100),
}


@pytest.mark.parametrize("how", ENDLESS_PREFILLS)
def test_endless_prefill_response_costs_its_attempt_and_its_connection(
    node: Node, pool: ThreadPoolExecutor, how: str
) -> None:
    client = node.post("a1", X_Budget_Ms="60000")
    call = node.reader[0].next()
    started_s = time.monotonic()
    sent_meanwhile = pool.submit(call.say_without_end, *ENDLESS_PREFILLS[how])
    again = node.reader[0].next()
    assert time.monotonic() - started_s < CUT_OFF_LIMIT_S
    assert again.port != call.port
    again.read()
    node.writer[0].next().serve("x")
    assert take(client).status == 200
    assert sent_meanwhile.result() == b""


@pytest.mark.parametrize("name", ["query", "booking"])
@pytest.mark.parametrize("how", ["head", "error-by-length", "error-to-the-close", "chunk-extension", "chunk"])
def test_trickled_response_does_not_delay_its_client_past_the_deadline(
    node: Node, pool: ThreadPoolExecutor, name: str, how: str
) -> None:
    started_s = time.monotonic()
    client, call = read(node, X_Call_Class=name, X_Budget_Ms=str(int(BUDGET_S * 1000)))
    sent_meanwhile = pool.submit(call.say_without_end, ENDLESS_DECODES[how][0], b"y", BYTE_INTERVAL_S)
    if name == "query":
        node.writer[0].next().serve("x")
    assert take(client).status == (200 if name == "query" else 500)
    assert time.monotonic() - started_s < BUDGET_S + LATE_RESPONSE_LIMIT_S
    assert sent_meanwhile.result() == b""
    assert decode_count(node) == (2 if name == "query" else 1)
    serve_another_request(node, call)


@pytest.mark.parametrize(
    ("opening", "piece", "pause_s"),
    [
        (b"c0000000\r\n", b"x" * 1000, 0.0),
        (b"c0000000\r\n", b"x", BYTE_INTERVAL_S),
        (b"5;", b"y", BYTE_INTERVAL_S),
        (b"0\r\n", LINE, 0.0),
    ],
    ids=["chunk", "chunk-trickled", "extension-trickled", "trailer"],
)
def test_started_stream_that_never_ends_a_chunk_is_cut_off(
    node: Node, pool: ThreadPoolExecutor, opening: bytes, piece: bytes, pause_s: float
) -> None:
    client, call = read(node)
    sent_meanwhile = pool.submit(call.say_without_end, HEAD + chunk(event("one")) + opening, piece, pause_s)
    with pytest.raises(http.client.IncompleteRead) as error_info:
        take(client)
    assert error_info.value.partial.startswith(event("one").encode())
    assert sent_meanwhile.result() == b""
    assert decode_count(node) == 1
    serve_another_request(node, call)


@pytest.mark.parametrize("name", ["query", "booking"])
@pytest.mark.parametrize("how", ["closed", "reset"])
@pytest.mark.parametrize(
    "partial",
    [
        b"HTTP/1.1 20",
        b"HTTP/1.1 200 OK\r\nContent-Ty",
        HEAD + b"1",
        HEAD + b'ff\r\ndata: {"choi',
        ERROR + LENGTH + b"{",
    ],
    ids=["status", "header", "size", "event", "error"],
)
def test_response_cut_off_within_a_line_fails_its_attempt(
    node: Node, name: str, how: str, partial: bytes
) -> None:
    client, call = read(node, X_Call_Class=name)
    call.say(partial)
    call.drop() if how == "closed" else call.reset()
    if name == "query":
        again = node.writer[0].next()
        assert again.port != call.port
        again.serve("x")
    assert take(client).status == (200 if name == "query" else 500)
    assert decode_count(node) == (2 if name == "query" else 1)
    serve_another_request(node, call)


def test_started_stream_cut_off_within_a_line_is_not_retried(node: Node) -> None:
    client, call = read(node)
    call.say(HEAD + chunk(event("one")) + b'ff\r\ndata: {"choi')
    call.drop()
    with pytest.raises(http.client.IncompleteRead) as error_info:
        take(client)
    assert error_info.value.partial.startswith(event("one").encode())
    assert decode_count(node) == 1
    serve_another_request(node, call)


SECOND = HEAD + chunk(event("another's")) + b"0\r\n\r\n"


@pytest.mark.parametrize("second", [SECOND, SECOND[:9], b"\r\n"], ids=["whole", "half", "blank"])
def test_late_second_response_is_relayed_to_nobody(node: Node, second: bytes) -> None:
    """The first client has its response already; the connection is idle when the second response arrives."""
    client, call = read(node)
    call.begin().token("mine").end()
    assert event("mine").encode() in take(client).body
    call.say(second)
    client, fresh = read(node, "a2", X_Call_Class="booking")
    assert fresh.port != call.port
    fresh.serve("two")
    assert take(client).body.startswith(event("two").encode())
