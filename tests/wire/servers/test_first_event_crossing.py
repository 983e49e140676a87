"""A stream's first event that comes in the very turn in which its attempt is given up."""

from __future__ import annotations

import anyio

from ringledge.core.records import Attempt
from ringledge.routing.interface import (
    AttemptStatus,
)
from tests.standins import event
from tests.wire.servers.test_abandoned_attempts import rig

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def test_a_stream_that_begins_as_its_time_ends_is_not_begun_to_be_cut() -> None:
    """The scope is cancelled with the bytes read already: only the next wait would tell."""

    async def run() -> None:
        async with rig() as at:
            began = list[Attempt]()
            at.upstream.conductor.begin_stream = lambda attempt: not began.append(attempt)  # type: ignore[method-assign, func-returns-value]
            at.keep()
            attempt = at.attempt()
            at.upstream.send(attempt)
            await anyio.wait_all_tasks_blocked()
            assert attempt.written
            readable = at.conn._readable

            def read_then_end() -> None:
                readable()
                at.upstream._in_flight[attempt].scope.cancel()

            at.conn.deafen()
            at.conn._readable = read_then_end  # type: ignore[method-assign]
            at.conn._receive()
            text = event("x").encode()
            at.theirs.send(HEAD + b"%x\r\n%s\r\n" % (len(text), text))
            await at.ended.wait()
            assert at.outcomes == [AttemptStatus.TIMEOUT] and not began

    anyio.run(run)
