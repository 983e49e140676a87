"""A write waits for a peer that receives slowly, and ends if the peer receives nothing."""

from __future__ import annotations

import socket

import anyio
import h11
import pytest

from ringledge.wire.http import write_stall
from ringledge.wire.http.connection import Connection

DATA = bytes(4_000_000)  # more than the two sockets buffer
STALL_TIMEOUT_S = 0.2
ROUNDS = 5


def connected_pair() -> tuple[Connection, socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        theirs = socket.socket()
        theirs.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        theirs.connect(listener.getsockname())
        ours, _ = listener.accept()
    ours.setblocking(False)
    return Connection(ours, h11.SERVER), theirs


def write(monkeypatch: pytest.MonkeyPatch, unreceived: list[int]) -> int:
    """Write to a peer that reads nothing, given these reports of the kernel; returns how many were used."""
    monkeypatch.setattr(write_stall, "STALL_TIMEOUT_S", STALL_TIMEOUT_S)
    reports = list(unreceived)
    monkeypatch.setattr(write_stall, "unreceived_bytes", lambda _: reports.pop(0))

    async def run() -> None:
        conn, theirs = connected_pair()
        with theirs, pytest.raises(TimeoutError):
            await conn.write(DATA)
        conn.close()

    anyio.run(run)
    return len(unreceived) - len(reports)


def test_write_waits_as_long_as_the_peer_receives(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a stream that is cut off while its client reads it slowly."""
    assert write(monkeypatch, [*range(ROUNDS, 0, -1), 1]) == ROUNDS + 1


def test_write_to_a_peer_that_receives_nothing_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    assert write(monkeypatch, [7, 7]) == 2


def test_kernel_tells_what_the_peer_has_not_received() -> None:
    async def run() -> tuple[int, int]:
        conn, theirs = connected_pair()
        with theirs:
            with anyio.move_on_after(STALL_TIMEOUT_S):
                await conn.write(DATA)
            unreceived = write_stall.unreceived_bytes(conn.sock)
        conn.close()
        return unreceived, write_stall.unreceived_bytes(conn.sock)

    unreceived, of_closed_socket = anyio.run(run)
    assert unreceived > 0 == of_closed_socket
