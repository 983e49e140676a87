"""A connection that accepts no more of a request may be dead: the attempt fails, and has not run."""

from __future__ import annotations

import anyio
import pytest

from ringledge.core.port import Payload
from ringledge.routing.interface import (
    AttemptStatus,
)
from tests.wire.servers.test_abandoned_attempts import upstream_harness

LARGE = b"x" * (8 * 1024 * 1024)  # bytes: more than a socket buffers


@pytest.mark.parametrize("has_entry", [False, True])
def test_request_that_is_never_written_completely_has_not_run(has_entry: bool) -> None:
    async def run() -> float:
        async with upstream_harness() as harness:
            harness.pool_connection()
            attempt = harness.attempt()
            record = attempt.record
            record.payload = Payload(b"/", LARGE)
            if has_entry:
                record.cache.holders, record.cache.idle_since_ms = {"r0"}, harness.clock.now_ms()
            began_s = anyio.current_time()
            harness.upstream.send(attempt)
            await harness.ended.wait()
            assert harness.outcomes == [AttemptStatus.CONNECT_FAILED]
            assert not attempt.written and harness.conn.closed
            return anyio.current_time() - began_s

    duration_s = anyio.run(run)
    assert duration_s < (
        0.8 if has_entry else 3.0
    )  # in time for what is has_entry; well before the request's own 5 s
