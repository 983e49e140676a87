"""The first event of a stream arrives in the same loop turn in which its attempt times out."""

from __future__ import annotations

import anyio

from ringledge.core.records import Attempt
from ringledge.routing.interface import (
    AttemptStatus,
)
from tests.standins import event
from tests.wire.servers.test_abandoned_attempts import upstream_harness

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def test_stream_that_begins_in_the_turn_of_its_timeout_is_not_begun() -> None:
    """The bytes have been read when the scope is cancelled, and only the next wait would raise."""

    async def run() -> None:
        async with upstream_harness() as harness:
            began = list[Attempt]()
            harness.upstream.conductor.on_first_token = lambda attempt: not began.append(attempt)  # type: ignore[method-assign, func-returns-value]
            harness.pool_connection()
            attempt = harness.attempt()
            harness.upstream.send(attempt)
            await anyio.wait_all_tasks_blocked()
            assert attempt.written
            on_readable = harness.conn._on_readable

            def read_then_cancel() -> None:
                on_readable()
                harness.upstream._in_flight[attempt].scope.cancel()

            harness.conn.pause_reading()
            harness.conn._on_readable = read_then_cancel  # type: ignore[method-assign]
            harness.conn._start_reading()
            text = event("x").encode()
            harness.peer.send(HEAD + b"%x\r\n%s\r\n" % (len(text), text))
            await harness.ended.wait()
            assert harness.outcomes == [AttemptStatus.TIMEOUT] and not began

    anyio.run(run)
