"""An idle connection that is woken up with nothing to read stays idle."""

from __future__ import annotations

import socket

import anyio
import h11

from ringledge.observe.metrics import Metrics
from ringledge.wire.clients.front import Front, FrontOptions
from ringledge.wire.clients.idle_connections import IdleConnection
from ringledge.wire.clients.request_loop import RequestHandling
from ringledge.wire.http.body_memory import BodyMemory
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.messages import respond


async def answer(conn: Connection, head: h11.Request) -> None:
    await respond(conn, 200, b"answered")


def test_request_after_spurious_wake_up_is_answered() -> None:
    """Guards against closing the connection at a spurious wake-up, which reset the client's next request."""

    async def run() -> None:
        own_end, peer = socket.socketpair()
        own_end.setblocking(False)
        front = Front(
            FrontOptions("platform", 8),
            RequestHandling(answer, lambda error: b""),
            BodyMemory(1e6),
            Metrics(),
        )
        async with anyio.create_task_group() as tasks:
            front._tasks = tasks
            front._on_readable(IdleConnection(own_end, anyio.current_time(), True, False))
            assert front.open == len(front.connections.idle) == 1
            peer.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            assert b"200" in await anyio.to_thread.run_sync(peer.recv, 65536)
            peer.close()
            tasks.cancel_scope.cancel()

    anyio.run(run)
