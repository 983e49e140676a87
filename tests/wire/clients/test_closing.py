"""Closing a client's connection loses no response, and a request sent meanwhile is never forwarded."""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio
import anyio.to_thread
import h11
import pytest

from ringledge.observe.metrics import Metrics
from ringledge.wire.clients import closing, open_connections
from ringledge.wire.clients.front import Front, FrontOptions
from ringledge.wire.clients.request_loop import RequestHandling
from ringledge.wire.http.body_memory import BodyMemory
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import HttpError
from ringledge.wire.http.messages import read_body, respond
from ringledge.wire.http.sockets import connect, listen

GET = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
LAST_GET = GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
OVERSIZED_INPUT = b"x" * 100_000  # more than is read ahead of a response


class FrontHarness:
    """A front in this process that counts the requests it handles."""

    def __init__(self, body: bytes = b"served") -> None:
        self.request_count, self._body = 0, body
        self._listener = listen("127.0.0.1:0")
        self.front = Front(
            FrontOptions("test", 8),
            RequestHandling(self._handle, self._error_body),
            BodyMemory(1e6),
            Metrics(),
            on_queue_delay=lambda _: None,
        )

    async def _handle(self, conn: Connection, head: h11.Request) -> None:
        await read_body(conn, head)
        self.request_count += 1
        await respond(conn, 200, self._body)

    def _error_body(self, error: HttpError) -> bytes:
        return error.reason.encode()

    def open_client(self, receive_buffer_bytes: int | None = None) -> socket.socket:
        sock = socket.socket()
        if receive_buffer_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        sock.settimeout(10)
        sock.connect(self._listener.getsockname())
        return sock

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        with anyio.fail_after(10):
            while not condition():
                await anyio.sleep(0.005)

    @asynccontextmanager
    async def serving(self) -> AsyncIterator[None]:
        with self._listener:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.front.serve, self._listener, tasks)
                yield
                tasks.cancel_scope.cancel()


def read_to_end(sock: socket.socket) -> bytes:
    """Read until the peer closes the connection; a reset raises an error."""
    received = b""
    while data := sock.recv(65536):
        received += data
    return received


def test_close_with_unread_input_loses_no_answer() -> None:
    """The kernel would reset such a connection and drop response data that the client has not yet read."""

    async def run() -> None:
        harness = FrontHarness(b"y" * 32_000)
        async with harness.serving():
            with harness.open_client(receive_buffer_bytes=4096) as client:
                client.sendall(LAST_GET)
                client.sendall(OVERSIZED_INPUT[:60_000])
                await harness.wait_until(
                    lambda: harness.request_count == 1 and not harness.front.connections.active
                )
                received = await anyio.to_thread.run_sync(read_to_end, client)
            assert received.startswith(b"HTTP/1.1 200") and received.endswith(b"y" * 32_000)
            await harness.wait_until(lambda: harness.front.open == 0)

    anyio.run(run)


def test_request_between_close_decision_and_close_sees_clean_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The request is never forwarded, so its client can safely retry it on another connection."""
    original = open_connections.nothing_unread

    async def run() -> None:
        harness = FrontHarness()
        async with harness.serving():
            with harness.open_client() as client:
                client.sendall(GET)
                await harness.wait_until(lambda: len(harness.front.connections.between_requests) == 1)

                def nothing_unread_then_send(conn: Connection) -> bool:
                    result = original(conn)
                    client.sendall(GET)
                    return result

                monkeypatch.setattr(open_connections, "nothing_unread", nothing_unread_then_send)
                harness.front.connections.drain()
                received = await anyio.to_thread.run_sync(read_to_end, client)
            assert received.count(b"HTTP/1.1 200") == 1 and harness.request_count == 1
            await harness.wait_until(lambda: harness.front.open == 0)

    anyio.run(run)


def test_request_after_shutdown_of_sending_side_is_discarded() -> None:
    async def run() -> None:
        harness = FrontHarness()
        async with harness.serving():
            with harness.open_client() as client:
                client.sendall(LAST_GET)
                assert (await anyio.to_thread.run_sync(read_to_end, client)).startswith(b"HTTP/1.1 200")
                client.sendall(GET)
            await harness.wait_until(lambda: harness.front.open == 0)
            assert harness.request_count == 1

    anyio.run(run)


def test_peer_that_never_closes_is_closed_after_linger_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(closing, "LINGER_S", 0.05)

    async def run() -> None:
        harness = FrontHarness()
        async with harness.serving():
            with harness.open_client() as client:
                client.sendall(LAST_GET)
                await harness.wait_until(lambda: harness.request_count == 1 and harness.front.open == 0)

    anyio.run(run)


def test_peer_that_sends_without_end_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(closing, "LINGER_S", 60.0)

    def send_without_end(client: socket.socket) -> None:
        for _ in range(1000):
            client.sendall(OVERSIZED_INPUT)

    def send(client: socket.socket) -> None:
        with pytest.raises(ConnectionError):
            send_without_end(client)

    async def run() -> None:
        harness = FrontHarness()
        async with harness.serving():
            with harness.open_client() as client:
                client.sendall(LAST_GET)
                await anyio.to_thread.run_sync(send, client)
                await harness.wait_until(lambda: harness.front.open == 0)

    anyio.run(run)


def test_lingering_closes_are_evicted_for_new_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(closing, "LINGER_S", 60.0)

    async def run() -> None:
        harness = FrontHarness()
        async with harness.serving():
            clients = [harness.open_client() for _ in range(harness.front.connections.limit)]
            for client in clients:
                client.sendall(LAST_GET)
            await harness.wait_until(lambda: len(harness.front.connections.lingering) == len(clients))
            with harness.open_client() as client:
                client.sendall(LAST_GET)
                assert (await anyio.to_thread.run_sync(read_to_end, client)).startswith(b"HTTP/1.1 200")
            for client in clients:
                client.close()
            await harness.wait_until(lambda: harness.front.open == 0)

    anyio.run(run)


def test_small_writes_are_not_delayed_on_either_side() -> None:
    """Data that the kernel delays arrives late, and would be lost with a reset."""

    async def run() -> None:
        harness = FrontHarness()
        async with harness.serving():
            with harness.open_client() as client:
                client.sendall(GET[:5])
                await harness.wait_until(lambda: len(harness.front.connections.active) == 1)
                (conn,) = harness.front.connections.active
                host, port = client.getpeername()
                upstream = await connect(f"{host}:{port}", 10)
                for sock in (conn.sock, upstream.sock):
                    assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
                upstream.close()

    anyio.run(run)
