"""The program starts and continues to serve in spite of transient errors of system calls."""

from __future__ import annotations

import contextlib
import errno
import os
import select
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import anyio.to_thread
import h11
import pytest

from ringledge.lifecycle import handover_channel as channel
from ringledge.observe.metrics import Metrics
from ringledge.wire.clients.front import Front, FrontOptions
from ringledge.wire.clients.request_loop import RequestHandling
from ringledge.wire.http import sockets
from ringledge.wire.http.body_memory import BodyMemory
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.messages import respond
from ringledge.wire.http.socket_reader import peer_has_closed

TRANSIENT_ERRORS = [errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.ECONNABORTED]


def failing_once(call: Callable[..., Any], number: int) -> Callable[..., Any]:
    """Wrap a call so that its first invocation fails with the error number."""
    errors = [OSError(number, os.strerror(number))]

    def failing(*args: Any, **named: Any) -> Any:
        if errors:
            raise errors.pop()
        return call(*args, **named)

    return failing


@pytest.mark.parametrize("number", TRANSIENT_ERRORS, ids=errno.errorcode.get)
def test_a_successor_is_accepted_after_a_transient_error(
    number: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The accept runs in the main task group, so that an error it raises would end the process."""

    async def run() -> None:
        listener = channel.listen(tmp_path / "handover.sock")
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as caller:
            caller.connect(str(tmp_path / "handover.sock"))
            monkeypatch.setattr(socket.socket, "accept", failing_once(socket.socket.accept, number))
            with anyio.fail_after(10):
                (await channel.accept(listener)).close()
        listener.close()

    anyio.run(run)


@pytest.mark.parametrize("number", [errno.ENFILE, errno.ENOBUFS, errno.EADDRINUSE], ids=errno.errorcode.get)
@pytest.mark.parametrize("call", ["__init__", "bind", "listen"])
def test_a_start_listens_after_a_transient_error(
    number: int, call: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(socket.socket, call, failing_once(getattr(socket.socket, call), number))
    with sockets.listen("127.0.0.1:0") as listener:
        assert listener.getsockname()[1]


@pytest.mark.parametrize(
    "number", [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS], ids=errno.errorcode.get
)
def test_connect_succeeds_after_a_transient_local_error(number: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """A local error says nothing about the server, but would use up a request's attempts within 1 ms."""

    async def run() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            monkeypatch.setattr(socket.socket, "connect", failing_once(socket.socket.connect, number))
            conn = await sockets.connect("127.0.0.1:%d" % listener.getsockname()[1], 5.0)
            conn.close()

    anyio.run(run)


def test_connect_succeeds_after_an_interrupted_call(monkeypatch: pytest.MonkeyPatch) -> None:
    connect = socket.socket.connect

    def interrupted(sock: socket.socket, address: Any) -> None:
        with contextlib.suppress(BlockingIOError):
            connect(sock, address)
        raise InterruptedError(errno.EINTR, "interrupted")

    async def run() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            monkeypatch.setattr(socket.socket, "connect", interrupted)
            conn = await sockets.connect("127.0.0.1:%d" % listener.getsockname()[1], 5.0)
            conn.close()

    anyio.run(run)


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE], ids=errno.errorcode.get)
def test_a_client_that_has_pipelined_counts_as_connected_without_free_descriptors(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """If the client were treated as disconnected, it would never get its response."""

    def no_descriptor(*_: object) -> None:
        raise OSError(number, os.strerror(number))

    monkeypatch.setattr(select, "epoll", no_descriptor)
    ours, theirs = socket.socketpair()
    with ours, theirs:
        ours.setblocking(False)
        theirs.send(b"more")
        assert not peer_has_closed(ours)
        theirs.close()
        assert peer_has_closed(ours)


@pytest.mark.parametrize("number", [errno.ECONNABORTED, errno.EPROTO, errno.ENFILE], ids=errno.errorcode.get)
def test_the_backlog_is_accepted_at_a_shutdown_after_a_transient_error(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Otherwise the connections are reset when the listening socket closes, and their requests are lost."""

    async def echo(conn: Connection, head: h11.Request) -> None:
        await respond(conn, 200, b"answered")

    async def run() -> None:
        listener = sockets.listen("127.0.0.1:0")
        with socket.create_connection(listener.getsockname(), 10) as client:
            client.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            front = Front(
                FrontOptions("platform", 8),
                RequestHandling(echo, lambda error: b""),
                BodyMemory(1e6),
                Metrics(),
            )
            front.drain()
            monkeypatch.setattr(socket.socket, "accept", failing_once(socket.socket.accept, number))
            async with anyio.create_task_group() as tasks:
                await front.serve(listener, tasks)
                answer = await anyio.to_thread.run_sync(client.recv, 65536)
                tasks.cancel_scope.cancel()
        assert b"HTTP/1.1 503" in answer

    anyio.run(run)


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE], ids=errno.errorcode.get)
def test_requests_that_arrive_as_an_accept_fails_are_served(
    number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the loss of a request on a connection that is evicted to free its descriptor."""
    request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
    accept = socket.socket.accept

    async def echo(conn: Connection, head: h11.Request) -> None:
        await respond(conn, 200, b"answered")

    async def run() -> None:
        listener = sockets.listen("127.0.0.1:0")
        clients = [socket.create_connection(listener.getsockname(), 10) for _ in range(5)]
        idle_client, new_client = clients[-1], socket.socket()
        failures = [OSError(number, os.strerror(number))]

        def failing(sock: socket.socket) -> Any:
            if is_new_client_connecting and failures:
                for client in clients[:-1]:
                    client.sendall(request)  # on loopback it is in the receive buffer at once
                raise failures.pop()
            return accept(sock)

        is_new_client_connecting = False
        monkeypatch.setattr(socket.socket, "accept", failing)
        front = Front(
            FrontOptions("platform", 8), RequestHandling(echo, lambda error: b""), BodyMemory(1e6), Metrics()
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(front.serve, listener, tasks)
            while front.open < len(clients):
                await anyio.sleep(0)
            is_new_client_connecting = True
            new_client.connect(listener.getsockname())
            new_client.sendall(request)
            for client in (*clients[:-1], new_client):
                answer = await anyio.to_thread.run_sync(client.recv, 65536)
                assert answer.startswith(b"HTTP/1.1 200")
            assert await anyio.to_thread.run_sync(idle_client.recv, 65536) == b""  # closed without a reset
            tasks.cancel_scope.cancel()
        for sock in (*clients, new_client, listener):
            sock.close()

    anyio.run(run)
