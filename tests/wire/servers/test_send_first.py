"""Data from the peer before the request's last byte makes the connection unusable; the request never ran."""

from __future__ import annotations

import socket
from contextlib import suppress

import anyio
import h11
import pytest

from ringledge.wire.http.connection import Connection

REQUEST = h11.Request(method="POST", target="/", headers=[("Host", "a"), ("Content-Length", "4000000")])
BODY = bytes(4_000_000)  # more than the two sockets buffer
UNSOLICITED_RESPONSE = b"HTTP/1.1 503 \r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"


def connection_pair() -> tuple[Connection, socket.socket]:
    own_end, peer = socket.socketpair()
    own_end.setblocking(False)
    return Connection(own_end, h11.CLIENT), peer


def read_all(sock: socket.socket) -> int:
    """Read until the other side closes or resets the connection; returns the number of bytes."""
    size = 0
    with suppress(ConnectionResetError):
        while piece := sock.recv(1 << 20):
            size += len(piece)
    return size


def test_response_before_the_first_byte_ends_the_send() -> None:
    async def run() -> None:
        conn, peer = connection_pair()
        with peer:
            peer.sendall(UNSOLICITED_RESPONSE)
            with pytest.raises(ConnectionResetError):
                await conn.send_request(REQUEST, BODY)
            peer.setblocking(False)
            with pytest.raises(BlockingIOError):
                peer.recv(1)
            conn.close()

    anyio.run(run)


def test_response_while_the_request_is_written_ends_the_send() -> None:
    async def run() -> None:
        conn, peer = connection_pair()
        with peer:
            async with anyio.create_task_group() as tasks:

                async def send() -> None:
                    with pytest.raises(ConnectionResetError):
                        await conn.send_request(REQUEST, BODY)
                    conn.close()

                tasks.start_soon(send)
                await anyio.wait_all_tasks_blocked()  # the sockets are full
                peer.sendall(UNSOLICITED_RESPONSE)
                assert await anyio.to_thread.run_sync(read_all, peer) < len(BODY)

    anyio.run(run)
