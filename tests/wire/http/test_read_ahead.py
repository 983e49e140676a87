"""The memory of what clients send ahead of a response is limited over all connections together."""

from __future__ import annotations

import socket
from contextlib import suppress

import anyio
import h11
import pytest

from ringledge.wire.http.body_memory import BodyMemory, ConnectionMemory
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import HttpError
from ringledge.wire.http.receive_buffer import MAX_GROWTH_BYTES, ReceiveBuffer
from ringledge.wire.http.socket_reader import MAX_READ_AHEAD_BYTES, READ_AHEAD_BYTES

LIMIT_BYTES = 8 << 20
CONNECTIONS = 60
INITIAL_BYTES = 16 * 1024  # of a receive buffer


def test_clients_that_send_ahead_stay_within_the_memory_limit_together() -> None:
    """Guards against a process that is killed for memory: each connection's read-ahead had its own limit."""
    memory, flooding = BodyMemory(LIMIT_BYTES), set[Connection]()

    async def run() -> tuple[int, int]:
        pairs = [socket.socketpair() for _ in range(CONNECTIONS)]
        connections = []
        for ours, theirs in pairs:
            for sock in (ours, theirs):
                sock.setblocking(False)
            conn = Connection(ours, h11.SERVER)
            conn.memory = ConnectionMemory(memory)
            conn.set_disconnect_callback(lambda: None, lambda conn=conn: flooding.add(conn))  # type: ignore[misc]
            connections.append(conn)
        while len(flooding) < CONNECTIONS:
            for _, theirs in pairs:
                with suppress(BlockingIOError):
                    theirs.send(bytes(64 * 1024))
            await anyio.sleep(0)
        buffered = sum(len(conn.buffer) for conn in connections)
        counted = memory.read_ahead_bytes
        for conn in connections:
            conn.close()
        for _, theirs in pairs:
            theirs.close()
        return buffered, counted

    buffered, counted = anyio.run(run)
    assert counted <= LIMIT_BYTES + CONNECTIONS * MAX_GROWTH_BYTES
    assert buffered <= counted + CONNECTIONS * INITIAL_BYTES
    assert buffered < CONNECTIONS * MAX_READ_AHEAD_BYTES / 4  # they would hold that each
    assert memory.read_ahead_bytes == 0


def test_single_client_may_send_ahead_up_to_its_own_limit() -> None:
    memory = ConnectionMemory(BodyMemory(64 << 20))
    assert memory.max_read_ahead() >= MAX_READ_AHEAD_BYTES


def test_bodies_of_open_requests_leave_less_for_read_ahead() -> None:
    shared = BodyMemory(LIMIT_BYTES)
    first, second = ConnectionMemory(shared), ConnectionMemory(shared)
    before = second.max_read_ahead()
    first.reserve_body(LIMIT_BYTES // 2)
    assert second.max_read_ahead() == before / 2
    with pytest.raises(HttpError):
        second.reserve_body(LIMIT_BYTES)
    for memory in (first, second):
        memory.release_body()
    assert second.max_read_ahead() == before and shared.used_bytes == 0


def test_receive_buffer_shrinks_once_it_is_empty() -> None:
    buffer = ReceiveBuffer(INITIAL_BYTES)
    for _ in range(4):
        with buffer.free_space(READ_AHEAD_BYTES) as space:
            space[:READ_AHEAD_BYTES] = b"x" * READ_AHEAD_BYTES
        buffer.commit(READ_AHEAD_BYTES)
    assert buffer.grown_bytes >= 3 * READ_AHEAD_BYTES
    assert len(buffer.take(READ_AHEAD_BYTES)) == READ_AHEAD_BYTES and buffer.grown_bytes
    assert buffer.take(4 * READ_AHEAD_BYTES) == b"x" * 3 * READ_AHEAD_BYTES
    assert buffer.grown_bytes == 0 and len(buffer) == 0
