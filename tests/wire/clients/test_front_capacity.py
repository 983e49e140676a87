"""A complete request past the connection limit that arrives together with incomplete ones."""

from __future__ import annotations

import socket

import anyio
import anyio.to_thread
import h11
import pytest

from ringledge.observe.metrics import Metrics
from ringledge.wire.clients.front import Front, FrontOptions
from ringledge.wire.clients.request_loop import RequestHandling
from ringledge.wire.http.body_memory import BodyMemory
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import HttpError
from ringledge.wire.http.messages import read_body, respond
from ringledge.wire.http.sockets import listen

LIMITS = [4, 16]  # one and two more connections are accepted to be rejected
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


async def handle(conn: Connection, head: h11.Request) -> None:
    await read_body(conn, head)
    await respond(conn, 200, b"served")


def error_body(error: HttpError) -> bytes:
    return error.reason.encode()


@pytest.mark.parametrize("limit", LIMITS)
@pytest.mark.parametrize("partial_request", [b"GET / HT", b""])
def test_incomplete_requests_of_same_iteration_are_evicted_for_complete_one(
    partial_request: bytes, limit: int
) -> None:
    """All are in the backlog when the front starts: none can be evicted while its bytes are unread."""

    async def run() -> bytes:
        listener = listen("127.0.0.1:0")
        address = listener.getsockname()
        socks = [socket.create_connection(address, 10) for _ in range(limit + max(1, limit // 8))]
        for sock in socks[:-1]:
            sock.sendall(partial_request)
        socks[-1].sendall(REQUEST)
        front = Front(
            FrontOptions("test", limit), RequestHandling(handle, error_body), BodyMemory(1e6), Metrics()
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(front.serve, listener, tasks)
            answer = await anyio.to_thread.run_sync(socks[-1].recv, 4096)
            tasks.cancel_scope.cancel()
        for sock in [*socks, listener]:
            sock.close()
        return answer

    assert anyio.run(run).startswith(b"HTTP/1.1 200")
