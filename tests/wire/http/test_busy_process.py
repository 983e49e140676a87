"""Time that a request lies in the socket of a busy process is its client's, on a connection of any age."""

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

AWAY_S = 0.3  # for which the event loop stands still
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


async def next_head(conn: Connection) -> None:
    assert isinstance(await conn.next_event(), h11.Request)
    assert isinstance(await conn.next_event(), h11.EndOfMessage)


@pytest.mark.parametrize("before", [0, 1, 3], ids="{} before".format)
def test_request_that_lies_unread_has_waited(before: int) -> None:
    """Guards against a server that is told more time than is left: only a first read was dated back."""

    async def run() -> tuple[float, float]:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            client = socket.create_connection(listener.getsockname(), 10)
            served, _ = listener.accept()
        served.setblocking(False)
        conn = Connection(served, h11.SERVER)
        conn.arrival_times = ArrivalTimes()
        with client:
            for _ in range(before):
                client.sendall(REQUEST)
                await next_head(conn)
                await respond(conn, 200, b"")
                assert conn.next_cycle()
            prompt_ms = conn.waited_ms() if before else 0.0
            client.sendall(REQUEST)
            time.sleep(AWAY_S)  # nothing of this process runs: that is the case
            await next_head(conn)
            waited_ms = conn.waited_ms()
            conn.close()
        return prompt_ms, waited_ms

    prompt_ms, waited_ms = anyio.run(run)
    assert waited_ms >= AWAY_S * 1000 - 20  # the kernel counts in ticks
    assert prompt_ms < AWAY_S * 1000


PAUSE_S = 0.08  # between two reads of a process that hardly runs


def test_long_request_that_is_read_in_pieces_has_waited() -> None:
    """Guards against the same where a request is larger than the socket's buffer."""
    body = b"x" * 200_000
    request = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % len(body) + body

    async def run() -> float:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
            client = socket.create_connection(listener.getsockname(), 10)
            served, _ = listener.accept()
        served.setblocking(False)
        conn = Connection(served, h11.SERVER)
        conn.arrival_times = ArrivalTimes()
        sender = threading.Thread(target=client.sendall, args=(request,))
        sender.start()
        time.sleep(AWAY_S)  # nothing of this process's loop runs: that is the case
        while not isinstance(await conn.next_event(), h11.EndOfMessage):
            time.sleep(PAUSE_S)  # the same
        waited_ms = conn.waited_ms()
        sender.join()
        client.close()
        conn.close()
        return waited_ms

    waited_ms = anyio.run(run)
    assert waited_ms >= AWAY_S * 1000 - 20, "a long request is taken for younger than it is"


def test_request_before_which_nothing_was_read_has_waited_though_more_came_behind_it() -> None:
    """Guards against the same where a client sends on: the kernel tells the age of the newest bytes alone."""

    async def run() -> float:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            client = socket.create_connection(listener.getsockname(), 10)
            client.sendall(REQUEST)
            time.sleep(AWAY_S)  # it lies in the backlog: that is the case
            client.sendall(b"x" * 10_000)
            served, _ = listener.accept()
        served.setblocking(False)
        conn = Connection(served, h11.SERVER)
        conn.arrival_times = ArrivalTimes()
        with client:
            await next_head(conn)
            waited_ms = conn.waited_ms()
            conn.close()
        return waited_ms

    waited_ms = anyio.run(run)
    assert waited_ms >= AWAY_S * 1000 - 20, "a request is taken for as young as what came behind it"
