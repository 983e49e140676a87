"""A stream is relayed as complete only behind its final event, however its server frames and ends it."""

from __future__ import annotations

import http.client
import time
from pathlib import Path

import pytest

from ringledge.wire.servers.stream_relay import EVENT_TIMEOUT_S
from tests.loopback import Node, event, read, take
from tests.test_client_pace import read_until, request

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
FIRST, SECOND = event("one").encode(), event("two").encode()
PARTS = {
    "events": SECOND,
    "finish-reason": SECOND + b'data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}\n\n',
    "usage": SECOND + b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":3}}\n\n',
    "within-event": SECOND + b'data: {"choi',
    "within-final-event": SECOND + b"data: [DON",
}
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
FRAMINGS = ("last-chunk", "length", "close")
CHAT = 'enabled = true\nlisten = "127.0.0.1:0"\ntenant = "farm"\n[models]\nask = "query"\n'
SLOW_STREAM_S = EVENT_TIMEOUT_S + 1.5
SLOW_EVENT_INTERVAL_S = 0.5


def framed(part: bytes, framing: str) -> tuple[bytes, bytes]:
    """The first event with all before it, and the part of the stream behind it, as a server sends them."""
    if framing == "last-chunk":
        first, rest = (b"%x\r\n%s\r\n" % (len(each), each) for each in (FIRST, part))
        return CHUNKED + first, rest + b"0\r\n\r\n"
    length = b"Content-Length: %d" % len(FIRST + part)
    field = length if framing == "length" else b"Connection: close"
    return HEAD + field + b"\r\n\r\n" + FIRST, part


@pytest.mark.parametrize("name", ["query", "booking"])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("part", PARTS)
def test_stream_without_its_final_event_is_not_ended_as_complete(
    node: Node, name: str, framing: str, part: str
) -> None:
    client, call = read(node, X_Call_Class=name)
    first, rest = framed(PARTS[part], framing)
    call.say(first)
    response = client.getresponse()
    assert response.read1() == FIRST
    call.say(rest)
    call.drop()
    with pytest.raises(http.client.IncompleteRead) as error_info:
        response.read()
    assert error_info.value.partial.startswith(SECOND)
    assert [entry.id for entry in node.writer[0].seen if entry.method == "POST"] == ["a1"]


def test_stream_that_ends_within_its_first_chunk_fails_its_attempt(node: Node) -> None:
    """The client has received nothing, so that another attempt is possible."""
    client, call = read(node)
    call.say(CHUNKED + b"ff\r\n" + FIRST)
    call.drop()
    node.writer[0].next().serve("again")
    assert take(client).body.startswith(event("again").encode())


@pytest.mark.parametrize("first", ["within-chunk", "own-chunk"])
def test_long_chunk_that_is_written_slowly_is_not_cut_off(node: Node, first: str) -> None:
    """Events arrive all the time while the chunk that contains them is incomplete."""
    client, call = read(node)
    final = b"data: [DONE]\n\n"
    call.say(CHUNKED)
    if first == "own-chunk":
        call.chunk(event("first"))
    count = int(SLOW_STREAM_S / SLOW_EVENT_INTERVAL_S) + 1
    events = event("slow").encode() * count
    call.say(b"%x\r\n" % (len(events) + len(final)))
    for position in range(0, len(events), len(events) // count):
        call.say(events[position : position + len(events) // count])
        time.sleep(SLOW_EVENT_INTERVAL_S)  # the server's pace, which is what is tested
    call.say(final + b"\r\n0\r\n\r\n")
    call.drop()
    assert take(client).body.endswith(events + final)


def test_chunk_larger_than_the_limit_of_an_event_is_relayed(node: Node) -> None:
    client, call = read(node)
    events = event("x" * 1_000) * 100
    call.begin().chunk(event("first") + events).end()
    assert events.encode() in take(client).body


def test_broken_stream_is_reset_for_a_client_that_takes_the_close_for_its_end(node: Node) -> None:
    with node.connect() as client:
        client.sendall(request("a1").replace(b"HTTP/1.1", b"HTTP/1.0"))
        node.reader[0].next().read()
        call = node.writer[0].next().begin().token("one")
        assert b'"one"' in read_until(client, b"one")
        call.drop()
        with pytest.raises(ConnectionResetError):
            read_until(client, b"no such text")


@pytest.mark.parametrize("status", [500, 503])
def test_long_error_response_is_read_to_its_end(node: Node, status: int) -> None:
    """Of a body as long as the protocol permits only the beginning is kept."""
    client, call = read(node, X_Call_Class="booking")
    call.answer(status, "x" * 256 * 1024, X_Rejected="1")
    if status == 503:
        again = node.writer[0].next()
        assert again.id == "a1"
        again.serve("x")
    assert take(client).status == (200 if status == 503 else 500)


def test_chat_stream_without_its_final_event_is_not_ended_as_complete(tmp_path: Path) -> None:
    with Node(tmp_path, files={"chat.toml": CHAT}) as node:
        client = node.chat({"model": "ask", "stream": True, "messages": [{"role": "user", "content": "x"}]})
        node.reader[0].next().read()
        call = node.writer[0].next().begin().token("one").token("two")
        call.say(b"0\r\n\r\n")
        call.drop()
        with pytest.raises(http.client.IncompleteRead) as error_info:
            take(client)
        assert b"[DONE]" not in error_info.value.partial
