"""A connection that takes no more of a request may be dead: the attempt is over, and has not run."""

from __future__ import annotations

import anyio
import pytest

from ringledge.core.port import Payload
from ringledge.routing.interface import (
    AttemptStatus,
)
from tests.wire.servers.test_abandoned_attempts import rig

LARGE = b"x" * (8 * 1024 * 1024)  # bytes: more than a socket buffers


@pytest.mark.parametrize("held", [False, True])
def test_a_request_that_is_never_taken_whole_has_not_run(held: bool) -> None:
    async def run() -> float:
        async with rig() as at:
            at.keep()
            attempt = at.attempt()
            record = attempt.record
            record.payload = Payload(b"/", LARGE)
            if held:
                record.cache_holders, record.idle_since_ms = {"r0"}, at.clock.now_ms()
            began_s = anyio.current_time()
            at.upstream.send(attempt)
            await at.ended.wait()
            assert at.outcomes == [AttemptStatus.CONNECT_FAILED]
            assert not attempt.written and at.conn.closed
            return anyio.current_time() - began_s

    took_s = anyio.run(run)
    assert took_s < (0.8 if held else 3.0)  # in time for what is held; well before the request's own 5 s
