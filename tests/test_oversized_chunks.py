"""A stream is ended in time behind what is sent in place of events, and as long as events come it is not."""

from __future__ import annotations

import os
import signal
import socket
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress

import pytest

from ringledge.lab.http_peer import encode_chunk
from tests.loopback import Node, event, read, take
from tests.test_client_pace import read_until, request

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
EVENT = event("abcdefgh").encode()
FINAL_EVENT = b"data: [DONE]\n\n"
MAX_BODY_BYTES = 256 * 1024  # the protocol's limit for a message body
CLIENT_WAIT_LIMIT_S = 5.0  # the protocol's limit, from the last event to the end of the client's stream
EVENT_INTERVAL_S = 0.05
SLOW_EVENT_INTERVAL_S = 2.0
SLOW_READER_EVENTS = 4_000  # of 1 KB: more than the buffers on the way to the client hold
STALL_S = 5.5  # longer than the timeout of an event


class StreamingClient:
    """A client whose request has reached the decode server, which is `call`."""

    def __init__(self, node: Node) -> None:
        self.node, self.received = node, b""
        self.sock = node.connect()
        self.sock.sendall(request("a1"))
        node.reader[0].next().read()
        self.call = node.writer[0].next()

    def read_until(self, text: bytes) -> None:
        self.received += read_until(self.sock, text)

    def read_to_end(self) -> None:
        """Read until the router ends the stream; fails if it has not at the limit."""
        deadline_s = time.monotonic() + CLIENT_WAIT_LIMIT_S
        while (remaining_s := deadline_s - time.monotonic()) > 0:
            self.sock.settimeout(remaining_s)
            with suppress(TimeoutError):
                data = self.sock.recv(65536)
                if not data:
                    return
                self.received += data
        raise AssertionError("the stream was left open")


@pytest.fixture
def client(node: Node) -> Iterator[StreamingClient]:
    client = StreamingClient(node)
    with client.sock:
        yield client


def check_that_stream_is_ended(
    client: StreamingClient, pool: ThreadPoolExecutor, spoilt: bytes, piece: bytes
) -> None:
    """The server sends a sound event, then `spoilt`, then `piece` after `piece`."""
    client.call.say(CHUNKED + encode_chunk(EVENT))
    client.read_until(EVENT)
    sent = pool.submit(client.call.say_without_end, spoilt, piece, EVENT_INTERVAL_S)
    try:
        client.read_to_end()
    finally:
        client.sock.close()
    assert sent.result() == b""
    assert not client.received.endswith(b"0\r\n\r\n")
    assert client.node.writer[0].attempts() == 1


OVERSIZED = {
    "gigabytes": (b"c0000000\r\n", EVENT),
    "gigabytes-with-chunks-inside": (b"c0000000\r\n", encode_chunk(EVENT)),
    "gigabytes-in-an-extension": (b"c0000000;a=b\r\n", EVENT),
    "longer-than-any-body": (b"%x\r\n" % (MAX_BODY_BYTES + 1), EVENT),
}


@pytest.mark.parametrize("how", OVERSIZED)
def test_stream_is_ended_behind_a_chunk_that_states_more_than_a_body_may_have(
    client: StreamingClient, pool: ThreadPoolExecutor, how: str
) -> None:
    check_that_stream_is_ended(client, pool, *OVERSIZED[how])


OVERSIZED_FROM_THE_START = {
    "chunk": CHUNKED + b"c0000000\r\n" + EVENT,
    "length": HEAD + b"Content-Length: 3000000000\r\n\r\n" + EVENT,
}


@pytest.mark.parametrize("name", ["query", "booking"])
@pytest.mark.parametrize("how", OVERSIZED_FROM_THE_START)
def test_response_that_states_more_than_a_body_may_have_fails_its_attempt_before_the_first_event(
    node: Node, pool: ThreadPoolExecutor, name: str, how: str
) -> None:
    """The client has received nothing, so that another attempt is possible where the class allows it."""
    http_client, call = read(node, X_Call_Class=name)
    sent = pool.submit(call.say_without_end, OVERSIZED_FROM_THE_START[how], EVENT, EVENT_INTERVAL_S)
    if name == "query":
        node.writer[0].next().serve("again")
    else:
        http_client.sock.settimeout(CLIENT_WAIT_LIMIT_S)
    answer = take(http_client)
    assert answer.status == (200 if name == "query" else 500)
    assert name == "booking" or answer.body.startswith(event("again").encode())
    assert sent.result() == b""


NO_EVENTS = {
    "chunks-inside-64-KB": (b"10000\r\n", encode_chunk(EVENT)),
    "chunks-inside-200-KB": (b"32000\r\n", encode_chunk(EVENT)),
    "noise": (b"", encode_chunk(b"data: xxxx\n\n")),
    "empty": (b"", encode_chunk(b"data:\n\n")),
}


@pytest.mark.parametrize("how", NO_EVENTS)
def test_stream_is_ended_behind_what_is_no_event(
    client: StreamingClient, pool: ThreadPoolExecutor, how: str
) -> None:
    check_that_stream_is_ended(client, pool, *NO_EVENTS[how])


ENDLESS_SIZE_LINES = {
    "zeros": (b"", b"0"),
    "events-without-line-ends": (b"", EVENT.replace(b"\n", b" ")),
    "events-in-an-extension": (b"5;", EVENT),
    "trailer": (b"0\r\n", b"X-A: b\r\n"),
}


@pytest.mark.parametrize("how", ENDLESS_SIZE_LINES)
def test_stream_is_ended_behind_a_line_of_its_framing_that_never_ends(
    client: StreamingClient, pool: ThreadPoolExecutor, how: str
) -> None:
    check_that_stream_is_ended(client, pool, *ENDLESS_SIZE_LINES[how])


LONG_EVENT = event("x" * (MAX_BODY_BYTES - 1024)).encode()
LONG_ANSWERS = {"first-event": LONG_EVENT, "later-event": EVENT + LONG_EVENT}


@pytest.mark.parametrize("pieces", [1, 30])
@pytest.mark.parametrize("how", LONG_ANSWERS)
def test_event_as_long_as_a_body_may_be_is_relayed(node: Node, how: str, pieces: int) -> None:
    http_client, call = read(node, X_Call_Class="booking")
    answer = LONG_ANSWERS[how] + FINAL_EVENT
    step = len(answer) // pieces + 1
    with suppress(OSError):  # the router has cut the stream off, which the client tells
        call.say(CHUNKED)
        for position in range(0, len(answer), step):
            call.say(encode_chunk(answer[position : position + step]))
            time.sleep(EVENT_INTERVAL_S)  # the server's pace, which is what is tested
        call.say(b"0\r\n\r\n")
    call.drop()
    taken = take(http_client)
    assert (taken.status, taken.body) == (200, answer)


def test_stream_whose_events_arrived_while_the_router_was_stopped_is_not_cut_off(node: Node) -> None:
    http_client, call = read(node)
    call.begin().token("one")
    response = http_client.getresponse()
    assert response.read1() == event("one").encode()
    os.kill(node.process.pid, signal.SIGSTOP)
    try:
        deadline_s = time.monotonic() + STALL_S
        while time.monotonic() < deadline_s:
            time.sleep(1.0)  # the server's pace, which is what is tested
            call.token("while stopped")
    finally:
        os.kill(node.process.pid, signal.SIGCONT)
    call.end()
    assert response.read().endswith(b"\n\n")


def test_slow_reader_of_a_stream_whose_server_falls_silent_is_not_left_waiting(
    client: StreamingClient,
) -> None:
    """The wait for the client does not count, but what follows it does."""
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
    client.call.say(CHUNKED)
    events = encode_chunk(event("x" * 1_000).encode()) * SLOW_READER_EVENTS
    writer = threading.Thread(target=client.call.say, args=(events,), daemon=True)
    writer.start()
    time.sleep(SLOW_EVENT_INTERVAL_S)  # the client's pace, which is what is tested
    client.sock.settimeout(CLIENT_WAIT_LIMIT_S)  # from one receipt to the next
    while data := client.sock.recv(65536):
        client.received = data
    assert not client.received.endswith(b"0\r\n\r\n")
    client.call.drop()


def test_log_tells_how_long_ago_the_last_event_of_an_abandoned_stream_came(
    client: StreamingClient,
) -> None:
    client.call.say(CHUNKED + encode_chunk(EVENT) + b"100\r\n: comment\n\n")
    client.read_until(b"comment")
    client.sock.close()
    line = client.node.logged("stream_abandoned")
    assert (line["request"], line["server"]) == ("a1", "w0")
    assert line["silent_ms"] >= 0 and line["received_bytes"] > len(EVENT)
    client.call.drop()
