"""A 202 response to a decode does not prove that it has not run, even if its entry was released."""

from __future__ import annotations

import anyio

from ringledge.routing.interface import (
    AttemptStatus,
)
from tests.wire.servers.test_abandoned_attempts import upstream_harness

PREFILLED = b"HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}"


def test_202_to_a_decode_whose_entry_was_released_is_an_error() -> None:
    async def run() -> None:
        async with upstream_harness() as harness:
            harness.pool_connection()
            attempt = harness.attempt()
            attempt.record.cache.holders, attempt.record.cache.idle_since_ms = {"r0"}, harness.clock.now_ms()
            harness.upstream.send(attempt)
            await anyio.wait_all_tasks_blocked()
            assert attempt.written
            attempt.record.cache.holders = set()
            harness.peer.send(PREFILLED)
            await harness.ended.wait()
            assert harness.outcomes == [AttemptStatus.ERROR]

    anyio.run(run)
