"""Time that a request waits in the socket of a busy process counts against its time budget.

This holds for the first request of a connection and for later ones.
"""

from __future__ import annotations

import socket
import threading
import time

import anyio
import h11
import pytest

from ringledge.wire.http.arrival_times import ArrivalTimes
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.messages import respond

STALL_S = 0.3  # how long the event loop is blocked
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


async def next_head(conn: Connection) -> None:
    assert isinstance(await conn.next_event(), h11.Request)
    assert isinstance(await conn.next_event(), h11.EndOfMessage)


@pytest.mark.parametrize("before", [0, 1, 3], ids="{} before".format)
def test_request_that_is_read_late_has_waited(before: int) -> None:
    """Guards against telling a server too much time: only a connection's first read was back-dated."""

    async def run() -> tuple[float, float]:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            client = socket.create_connection(listener.getsockname(), 10)
            accepted, _ = listener.accept()
        accepted.setblocking(False)
        conn = Connection(accepted, h11.SERVER)
        conn.arrival_times = ArrivalTimes()
        with client:
            for _ in range(before):
                client.sendall(REQUEST)
                await next_head(conn)
                await respond(conn, 200, b"")
                assert conn.next_cycle()
            previous_waited_ms = conn.waited_ms() if before else 0.0
            client.sendall(REQUEST)
            time.sleep(STALL_S)  # blocks the event loop on purpose
            await next_head(conn)
            waited_ms = conn.waited_ms()
            conn.close()
        return previous_waited_ms, waited_ms

    previous_waited_ms, waited_ms = anyio.run(run)
    assert waited_ms >= STALL_S * 1000 - 20  # the kernel measures in ticks
    assert previous_waited_ms < STALL_S * 1000


PAUSE_S = 0.08  # how long the event loop is blocked between two reads


def test_long_request_that_is_read_in_pieces_has_waited() -> None:
    """Guards against the same fault for a request that is larger than the socket's buffer."""
    body = b"x" * 200_000
    request = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % len(body) + body

    async def run() -> float:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
            client = socket.create_connection(listener.getsockname(), 10)
            accepted, _ = listener.accept()
        accepted.setblocking(False)
        conn = Connection(accepted, h11.SERVER)
        conn.arrival_times = ArrivalTimes()
        sender = threading.Thread(target=client.sendall, args=(request,))
        sender.start()
        time.sleep(STALL_S)  # blocks the event loop on purpose
        while not isinstance(await conn.next_event(), h11.EndOfMessage):
            time.sleep(PAUSE_S)  # blocks the event loop on purpose
        waited_ms = conn.waited_ms()
        sender.join()
        client.close()
        conn.close()
        return waited_ms

    waited_ms = anyio.run(run)
    assert waited_ms >= STALL_S * 1000 - 20, "a long request is taken for younger than it is"


def test_request_before_which_nothing_was_read_has_waited_though_more_came_behind_it() -> None:
    """Guards against the same fault if more data follows: the kernel knows the newest bytes' age only."""

    async def run() -> float:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            client = socket.create_connection(listener.getsockname(), 10)
            client.sendall(REQUEST)
            time.sleep(STALL_S)  # the connection waits in the backlog
            client.sendall(b"x" * 10_000)
            accepted, _ = listener.accept()
        accepted.setblocking(False)
        conn = Connection(accepted, h11.SERVER)
        conn.arrival_times = ArrivalTimes()
        with client:
            await next_head(conn)
            waited_ms = conn.waited_ms()
            conn.close()
        return waited_ms

    waited_ms = anyio.run(run)
    assert waited_ms >= STALL_S * 1000 - 20, "a request is taken for as young as what came behind it"
