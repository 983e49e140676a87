"""Input that clients have sent ahead is processed in turns, so that it cannot occupy the event loop."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable

import anyio
import h11
import pytest

from ringledge.observe.metrics import Metrics
from ringledge.wire.clients.front import Front, FrontOptions
from ringledge.wire.clients.request_loop import Handler, RequestHandling
from ringledge.wire.http.body_memory import BodyMemory
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import HttpError, ShedError
from ringledge.wire.http.messages import read_body, respond
from ringledge.wire.http.sockets import listen
from ringledge.wire.http.turn_queue import TurnQueue

CONNECTIONS = 8
REQUESTS = 40  # sent at once on each connection
GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
CHUNKS = 1500
MAX_EVENTS = 100  # h11 events that may be parsed on a connection in one iteration of the loop


class IterationCounter:
    """Counts the iterations of the event loop."""

    def __init__(self) -> None:
        self.count = 0
        self._loop = asyncio.get_running_loop()
        self._tick()

    def _tick(self) -> None:
        self.count += 1
        self._loop.call_soon(self._tick)


async def respond_at_once(conn: Connection, head: h11.Request) -> None:
    await read_body(conn, head)
    await respond(conn, 200, b"x")


async def shed(conn: Connection, head: h11.Request) -> None:
    raise ShedError(503, "x")


def serve(handler: Handler, sent: bytes, expected: int) -> list[tuple[Connection, int]]:
    """Send the same on each connection; returns the connection and the iteration of each request's end."""
    handled: list[tuple[Connection, int]] = []

    async def run() -> None:
        iterations, finished = IterationCounter(), anyio.Event()

        async def record(conn: Connection, head: h11.Request) -> None:
            try:
                await handler(conn, head)
            finally:
                handled.append((conn, iterations.count))
                if len(handled) == expected:
                    finished.set()

        listener = listen("127.0.0.1:0")
        clients = [socket.create_connection(listener.getsockname(), 10) for _ in range(CONNECTIONS)]
        for client in clients:
            client.sendall(sent)
        options = FrontOptions("test", 2 * CONNECTIONS)
        front = Front(options, RequestHandling(record, error_body), BodyMemory(1e6), Metrics())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(front.serve, listener, tasks)
            with anyio.fail_after(20):
                await finished.wait()
            tasks.cancel_scope.cancel()
        for sock in (*clients, listener):
            sock.close()

    anyio.run(run)
    return handled


def error_body(error: HttpError) -> bytes:
    return error.reason.encode()


@pytest.mark.parametrize("handler", [respond_at_once, shed])
def test_one_pipelined_request_is_handled_in_an_iteration(handler: Handler) -> None:
    """Guards against requests that are answered without waiting and keep the loop from all other clients."""
    handled = serve(handler, GET * REQUESTS, CONNECTIONS * REQUESTS)
    seen: set[Connection] = set()
    pipelined = Counter[int]()
    for conn, iteration in handled:
        pipelined[iteration] += conn in seen
        seen.add(conn)
    assert max(pipelined.values()) == 1


def test_pipelined_requests_of_all_connections_take_turns() -> None:
    handled = serve(respond_at_once, GET * REQUESTS, CONNECTIONS * REQUESTS)
    counts = Counter[Connection]()
    for conn, _ in handled:
        counts[conn] += 1
        assert max(counts.values()) - min(counts.values()) <= 2 or len(counts) < CONNECTIONS


def test_body_of_many_chunks_is_parsed_in_several_iterations() -> None:
    """Guards against a body of tiny chunks, each of which costs as much as a large one."""
    head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    iterations: list[int] = []

    async def read(conn: Connection, head: h11.Request) -> None:
        counter = IterationCounter()
        await respond_at_once(conn, head)
        iterations.append(counter.count)

    serve(read, head + b"1\r\nx\r\n" * CHUNKS + b"0\r\n\r\n", CONNECTIONS)
    assert min(iterations) >= CHUNKS // MAX_EVENTS


@pytest.mark.parametrize("heads", [1, 2])
def test_one_long_head_is_parsed_in_an_iteration(heads: int) -> None:
    """Guards against heads of thousands of headers, which take tens of milliseconds each."""
    sent = b"GET / HTTP/1.1\r\nHost: a\r\n" + b"a:\r\n" * 3000 + b"\r\n"
    handled = serve(respond_at_once, sent * heads, CONNECTIONS * heads)
    assert max(Counter(iteration for _, iteration in handled).values()) == 1


@pytest.mark.parametrize("sent", [GET * 2, b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 9000])
def test_nothing_is_parsed_on_a_connection_that_was_closed_during_its_wait(sent: bytes) -> None:
    """Guards against a request that is served for a client whose connection was evicted meanwhile."""

    async def run() -> None:
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        theirs.sendall(sent)
        conn = Connection(ours, h11.SERVER)
        conn.turns = TurnQueue()
        assert await conn.wait_for_message()
        if conn.next_event_nowait() is not None:
            assert isinstance(conn.next_event_nowait(), h11.EndOfMessage)
            await respond(conn, 200, b"")
            assert conn.next_cycle()
        asyncio.get_running_loop().call_soon(conn.close)
        with pytest.raises(anyio.ClosedResourceError):
            await conn.wait_for_message()
        theirs.close()

    anyio.run(run)


def run_turns(body: Callable[[TurnQueue, IterationCounter], list[asyncio.Task[None]]]) -> None:
    async def run() -> None:
        await asyncio.wait(body(TurnQueue(), IterationCounter()))

    anyio.run(run)


def test_turns_are_granted_in_order_one_an_iteration() -> None:
    granted: list[tuple[int, int]] = []

    async def wait(turns: TurnQueue, iterations: IterationCounter, number: int) -> None:
        await turns.wait()
        granted.append((number, iterations.count))

    run_turns(lambda turns, each: [asyncio.create_task(wait(turns, each, number)) for number in range(5)])
    assert [number for number, _ in granted] == list(range(5))
    assert len({iteration for _, iteration in granted}) == 5


def test_cancelled_wait_takes_no_turn() -> None:
    granted: list[int] = []

    async def wait(turns: TurnQueue, number: int) -> None:
        with anyio.CancelScope() as scope:
            if number == 1:
                asyncio.get_running_loop().call_soon(scope.cancel)
            await turns.wait()
            granted.append(number)

    run_turns(lambda turns, _: [asyncio.create_task(wait(turns, number)) for number in range(4)])
    assert granted == [0, 2, 3]
