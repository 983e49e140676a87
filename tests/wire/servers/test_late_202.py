"""A 202 to a decode proves nothing, also where what it was to fetch has been released meanwhile."""

from __future__ import annotations

import anyio

from ringledge.routing.interface import (
    AttemptStatus,
)
from tests.wire.servers.test_abandoned_attempts import rig

PREFILLED = b"HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}"


def test_a_202_to_a_decode_whose_entry_was_released_is_an_error() -> None:
    async def run() -> None:
        async with rig() as at:
            at.keep()
            attempt = at.attempt()
            attempt.record.cache_holders, attempt.record.idle_since_ms = {"r0"}, at.clock.now_ms()
            at.upstream.send(attempt)
            await anyio.wait_all_tasks_blocked()
            assert attempt.written
            attempt.record.cache_holders = set()
            at.theirs.send(PREFILLED)
            await at.ended.wait()
            assert at.outcomes == [AttemptStatus.ERROR]

    anyio.run(run)
