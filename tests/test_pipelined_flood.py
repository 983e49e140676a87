"""A client's request is served while others have sent thousands ahead that are answered without waiting."""

from __future__ import annotations

import signal
import socket
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from pathlib import Path

import pytest

from tests.loopback import Call, Node, StandIn, take

CONNECTIONS = 100
AT_ONCE = 150  # requests that each connection sends at once
FIRST_BUDGET_MS = 500
RECEIVE_BUFFER_BYTES = 1 << 20  # holds all responses of a connection until they are counted
BODY = b'{"model":"chat","stream":true,"messages":[]}'
CHAT = 'enabled = true\nlisten = "127.0.0.1:0"\ntenant = "farm"\n[models]\nchat = "query"\n'


def get(path: str) -> Callable[[int], bytes]:
    return lambda _: f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode()


def expired(number: int) -> bytes:
    """Requests whose time is over once the connection's first one, which no server answers, has ended."""
    budget_ms = 1 if number % AT_ONCE else FIRST_BUDGET_MS
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Call-Id: f{number}\r\nX-Call-Class: query\r\n"
        f"X-Caller: farm\r\nX-Budget-Ms: {budget_ms}\r\nContent-Length: {len(BODY)}\r\n\r\n"
    )
    return head.encode() + BODY


FLOODS = {
    "expired": ("platform", expired),
    "ready": ("platform", get("/ready")),
    "models": ("chat", get("/v1/models")),
}


@pytest.fixture
def node(tmp_path: Path) -> Iterator[Node]:
    with Node(tmp_path, sockets=1024, files={"chat.toml": CHAT}) as node:
        yield node


def begin_flood(node: Node, stack: ExitStack, kind: str) -> list[socket.socket]:
    """Connections that have sent all their requests at once; the first response has arrived."""
    front, request = FLOODS[kind]
    numbers, socks = iter(range(CONNECTIONS * AT_ONCE)), []
    for _ in range(CONNECTIONS):
        sock = stack.enter_context(socket.socket())
        sock.settimeout(10)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.connect(node.address(front))
        sock.sendall(b"".join(request(next(numbers)) for _ in range(AT_ONCE)))
        socks.append(sock)
    socks[0].recv(1, socket.MSG_PEEK)
    return socks


def arrived(sock: socket.socket) -> int:
    """How many responses lie unread on a connection."""
    sock.setblocking(False)
    try:
        return sock.recv(RECEIVE_BUFFER_BYTES, socket.MSG_PEEK).count(b"HTTP/1.1 ")
    except BlockingIOError:
        return 0
    finally:
        sock.settimeout(10)


def call_of(server: StandIn, name: str) -> Call:
    """The server's call for a request; those for the flood get no response."""
    while (call := server.next()).id != name:
        pass
    return call


def read_responses(sock: socket.socket, count: int) -> int:
    """Read until `count` responses or the end of the input; returns how many have come."""
    received = b""
    while received.count(b"HTTP/1.1 ") < count and (data := sock.recv(1 << 16)):
        received += data
    return received.count(b"HTTP/1.1 ")


@pytest.mark.parametrize("kind", FLOODS)
def test_request_is_served_before_what_others_have_sent_ahead(node: Node, kind: str) -> None:
    """Guards against a flood that occupies the event loop until each of its requests is answered."""
    with ExitStack() as stack:
        socks = begin_flood(node, stack, kind)
        client = node.post("beside")
        call_of(node.reader[0], "beside").read()
        call_of(node.writer[0], "beside").serve("x")
        assert take(client).status == 200
        assert min(map(arrived, socks)) < AT_ONCE
        assert [read_responses(sock, AT_ONCE) for sock in socks] == [AT_ONCE] * CONNECTIONS


def test_request_under_way_is_served_if_shutdown_begins_during_a_flood(node: Node) -> None:
    with ExitStack() as stack:
        socks = begin_flood(node, stack, "expired")
        client = node.post("beside")
        call = call_of(node.reader[0], "beside")
        node.process.send_signal(signal.SIGTERM)
        call.read()
        call_of(node.writer[0], "beside").serve("x")
        assert take(client).status == 200
        assert all(read_responses(sock, AT_ONCE) for sock in socks)
        assert node.process.wait(20) == 0
