"""What is kept of a request until its response ends, and what afterwards."""

from __future__ import annotations

import socket

import anyio
import h11
import pytest

from ringledge.observe.metrics import Metrics
from ringledge.wire.clients.open_connections import CloseReason, OpenConnections
from ringledge.wire.clients.request_loop import RequestHandling, RequestLoop
from ringledge.wire.http.body_memory import (
    MAX_UNSENT_BYTES,
    MIN_UNSENT_BYTES,
    UNSENT_DIVISOR,
    BodyMemory,
    ConnectionMemory,
)
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.headers import MAX_KEPT_HEADERS, USED_REQUEST_HEADERS, header
from ringledge.wire.http.messages import read_body, respond

SHORT_FIELDS = b"aa:bb\r\n" * 3_000
LONG_VALUE = b"x-call-info: " + b"y" * 20_000 + b"\r\n"


def handled(fields: bytes) -> tuple[h11.Request, int]:
    """The head that a front's handler receives, and the bytes that are counted while it runs."""
    heads, counted, memory = list[h11.Request](), list[int](), BodyMemory(1e6)

    async def handle(conn: Connection, head: h11.Request) -> None:
        await read_body(conn, head)
        heads.append(head)
        counted.append(memory.used_bytes)
        await respond(conn, 200, b"")

    async def run() -> None:
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        with theirs:
            theirs.sendall(b"POST / HTTP/1.1\r\nHost: a\r\n" + fields + b"X-Caller: farm\r\n\r\n")
            theirs.shutdown(socket.SHUT_WR)
            metrics = Metrics()
            connections = OpenConnections("test", 8, lambda _: None, metrics, None)
            conn = Connection(ours, h11.SERVER)
            conn.memory = ConnectionMemory(memory)
            connections.active.add(conn)
            loop = RequestLoop(connections, RequestHandling(handle, lambda error: b""), metrics)
            await loop.run(conn, False, anyio.current_time() + 9)

    anyio.run(run)
    assert memory.used_bytes == 0
    return heads[0], counted[0]


def test_of_a_head_with_many_fields_only_those_are_kept_that_a_front_reads() -> None:
    """Guards against heads of 32 KB that take 1 MB each while their requests wait."""
    head, _ = handled(SHORT_FIELDS)
    assert header(head, b"x-caller") == b"farm"
    assert (
        len(head.headers) <= MAX_KEPT_HEADERS and {name for name, _ in head.headers} <= USED_REQUEST_HEADERS
    )


def test_usual_head_is_kept_unchanged() -> None:
    head, counted = handled(b"X-Other: 1\r\n")
    assert header(head, b"x-other") == b"1" and counted == 0


def test_long_head_counts_as_memory_until_its_response_ends() -> None:
    assert handled(LONG_VALUE)[1] >= 20_000


def test_buffer_of_a_closed_connection_is_released() -> None:
    async def run() -> int:
        ours, theirs = socket.socketpair()
        with theirs:
            conn = Connection(ours, h11.SERVER)
            conn.close()
            return conn.buffer.grown_bytes + len(conn.buffer)

    assert anyio.run(run) == 0


@pytest.mark.parametrize("ends", ["idle", "closed"])
def test_nothing_stays_counted_for_a_connection_that_gives_up_its_buffer(ends: str) -> None:
    """Guards against bytes of an early rejection that stay counted for good, until all input is refused."""

    async def run() -> BodyMemory:
        ours, theirs = socket.socketpair()
        memory = BodyMemory(1e6)
        with theirs:
            connections = OpenConnections("test", 8, lambda _: None, Metrics(), None)
            conn = Connection(ours, h11.SERVER)
            conn.memory = ConnectionMemory(memory)
            conn.memory.reserve_body(1_000)
            conn.buffer.free_space(100_000)
            conn.on_buffer_changed()
            assert memory.read_ahead_bytes > 0
            if ends == "idle":
                connections.make_idle(conn, False)
            else:
                connections.close(conn, CloseReason.ENDED)
        return memory

    memory = anyio.run(run)
    assert memory.used_bytes == memory.read_ahead_bytes == 0


def test_unsent_responses_of_many_slow_clients_stay_within_their_limit() -> None:
    """Guards against a limit for each stream that nobody adds up."""
    shared = BodyMemory(4 << 20)
    streams = [ConnectionMemory(shared) for _ in range(400)]
    for memory in streams:
        memory.add_unsent(memory.max_unsent())
    assert shared.unsent_bytes <= shared.limit_bytes + len(streams) * MIN_UNSENT_BYTES
    assert streams[0].max_unsent() < MAX_UNSENT_BYTES
    streams[0].add_unsent(-shared.unsent_bytes)
    assert streams[0].max_unsent() == shared.limit_bytes / UNSENT_DIVISOR
