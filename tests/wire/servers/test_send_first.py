"""A connection on which the peer speaks before our request's last byte is spoilt; the request never ran."""

from __future__ import annotations

import socket
from contextlib import suppress

import anyio
import h11
import pytest

from ringledge.wire.http.connection import Connection

REQUEST = h11.Request(method="POST", target="/", headers=[("Host", "a"), ("Content-Length", "4000000")])
BODY = h11.Data(data=bytes(4_000_000))  # more than the two sockets take at once
LATE = b"HTTP/1.1 503 \r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"


def pair() -> tuple[Connection, socket.socket]:
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    return Connection(ours, h11.CLIENT), theirs


def read_all(sock: socket.socket) -> int:
    """How many bytes come until the other side closes, which a reset is as well."""
    size = 0
    with suppress(ConnectionResetError):
        while piece := sock.recv(1 << 20):
            size += len(piece)
    return size


def test_an_answer_that_is_there_before_the_first_byte_ends_the_send() -> None:
    async def run() -> None:
        conn, theirs = pair()
        with theirs:
            theirs.sendall(LATE)
            with pytest.raises(ConnectionResetError):
                await conn.send_first(REQUEST)
            theirs.setblocking(False)
            with pytest.raises(BlockingIOError):
                theirs.recv(1)
            conn.close()

    anyio.run(run)


def test_an_answer_that_comes_while_the_request_is_written_ends_the_send() -> None:
    async def run() -> None:
        conn, theirs = pair()
        with theirs:
            async with anyio.create_task_group() as tasks:

                async def send() -> None:
                    with pytest.raises(ConnectionResetError):
                        await conn.send_first(REQUEST, BODY)
                    conn.close()

                tasks.start_soon(send)
                await anyio.wait_all_tasks_blocked()  # the sockets take no more
                theirs.sendall(LATE)
                assert await anyio.to_thread.run_sync(read_all, theirs) < len(BODY.data)

    anyio.run(run)
