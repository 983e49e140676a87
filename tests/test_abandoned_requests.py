"""A request whose attempt is given up does not arrive later, although its server has read only part of it."""

from __future__ import annotations

import json
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.loopback import WAIT_S, Node, take

SMALL_BUFFER_BYTES = 4096  # so that the rest of the request waits in the router's kernel
CONTENT = "x" * 240_000
BODY = json.dumps(
    {"model": "chat", "stream": True, "messages": [{"role": "user", "content": CONTENT}]}
).encode()


class SlowServer:
    """A server that reads a request only as far as the test wants."""

    def __init__(self) -> None:
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen()
        self._listener.settimeout(WAIT_S)
        self.address = "{}:{}".format(*self._listener.getsockname())

    def accept(self) -> socket.socket:
        """Take the router's connection, and read the head of its request with the beginning of the body."""
        conn, _ = self._listener.accept()
        conn.settimeout(WAIT_S)
        received = b""
        while b"\r\n\r\n" not in received:
            received += conn.recv(1024)
        return conn

    def close(self) -> None:
        self._listener.close()


def read_to_end(conn: socket.socket) -> int:
    """How many bytes arrive until the connection is closed or reset."""
    size = 0
    try:
        while data := conn.recv(65536):
            size += len(data)
    except ConnectionResetError:
        pass
    return size


@pytest.fixture
def server() -> Iterator[SlowServer]:
    server = SlowServer()
    yield server
    server.close()


@pytest.mark.parametrize("name", ["query", "booking"])
@pytest.mark.parametrize("how", ["client-left", "deadline"])
def test_request_of_an_abandoned_attempt_does_not_arrive_later(
    tmp_path: Path, server: SlowServer, how: str, name: str
) -> None:
    with Node(tmp_path, readers=0, writers=0, mixed=(server,)) as node:  # type: ignore[arg-type]
        client = node.post("a1", BODY, X_Call_Class=name, X_Budget_Ms="900")
        with server.accept() as conn:
            if how == "client-left":
                client.close()
            else:
                assert take(client).status in (500, 503)
            node.logged("request_ended")
            assert read_to_end(conn) < len(BODY) - SMALL_BUFFER_BYTES
