"""A request that can't be written completely, since its connection may be dead, fails and has not run."""

from __future__ import annotations

import anyio
import pytest

from ringledge.core.port import Payload
from ringledge.routing.interface import (
    AttemptStatus,
)
from tests.wire.servers.test_abandoned_attempts import upstream_harness

LARGE = b"x" * (8 * 1024 * 1024)  # more than a socket buffers


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
            started_s = anyio.current_time()
            harness.upstream.send(attempt)
            await harness.ended.wait()
            assert harness.outcomes == [AttemptStatus.CONNECT_FAILED]
            assert not attempt.written and harness.conn.closed
            return anyio.current_time() - started_s

    duration_s = anyio.run(run)
    # In time to release the entry; without one, well before the request's own timeout of 5 s.
    assert duration_s < (0.8 if has_entry else 3.0)
