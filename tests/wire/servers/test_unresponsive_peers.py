"""The entry for a decode attempt that may not have been delivered is released at the hold limit."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from ringledge.core.port import Payload
from ringledge.core.records import Attempt, RequestRecord
from ringledge.decide.servers.delivery import CHECK_AFTER_MS
from ringledge.decide.servers.reachability import Reachability
from ringledge.observe.metrics import Metrics
from ringledge.routing.interface import (
    Request,
)
from ringledge.wire.servers import unresponsive_peers
from ringledge.wire.servers.entry_releases import EntryReleases
from ringledge.wire.servers.in_flight import InFlightAttempt
from ringledge.wire.servers.resumption import ResumedServers
from ringledge.wire.servers.unresponsive_peers import UnresponsivePeerDetector
from tests.wire.servers.test_abandoned_attempts import upstream_harness

HOLD_LIMIT_MS = 500.0


class DetectorHarness:
    """An at-most-once request whose decode attempt was written some time ago and is unanswered."""

    def __init__(self, tasks: Any, unanswered_ms: float, reachable: bool) -> None:
        self.now_ms = 10_000.0
        self.released = list[set[str]]()
        self.reachable = reachable
        self.connection_attempted = anyio.Event()
        caller: Any = SimpleNamespace()
        written_ms = self.now_ms - unanswered_ms
        self.record = RequestRecord(Request("a", expires_in_ms=9000), Payload(b"/", b""), caller, written_ms)
        self.record.cache.holders, self.record.cache.idle_since_ms = {"r0"}, written_ms
        self.attempt = Attempt(self.record, 0, "w0", False, True, written_ms, 20_000.0)
        self.attempt.written = self.attempt.fetches_cache = True
        self.record.attempts.append(self.attempt)
        in_flight = {self.attempt: InFlightAttempt(written_ms=written_ms)}
        reachability = Reachability()
        reachability.update_servers([("w0", 0)])
        connections: Any = SimpleNamespace(
            reachability=reachability, open=self.open, connect_timeout_s=lambda: 0.25, pool=self
        )
        servers: Any = SimpleNamespace(address=lambda _: "127.0.0.1:9")
        clock: Any = SimpleNamespace(now_ms=lambda: self.now_ms)
        release_sender: Any = SimpleNamespace(release_and_wait=self.release_and_wait)
        context: Any = SimpleNamespace(
            tasks=tasks, servers=servers, clock=clock, hold_limit_ms=HOLD_LIMIT_MS, metrics=Metrics()
        )
        entry_releases = EntryReleases(context, release_sender)
        resumed = ResumedServers(context, reachability, release_sender, entry_releases)
        self.detector = UnresponsivePeerDetector(context, in_flight, connections, entry_releases, resumed)

    async def open(self, *_: Any) -> Any:
        self.connection_attempted.set()
        if not self.reachable:
            raise TimeoutError

    def release(self, *_: Any) -> None:
        """Stand in for the pool, which takes the new connection."""

    async def release_and_wait(self, _: str, servers: set[str], __: float) -> frozenset[str]:
        """Record the release, which then stays in progress until the test ends."""
        self.released.append(servers)
        await anyio.sleep_forever()
        return frozenset()


async def released_entries(unanswered_ms: float, reachable: bool, on_new_connection: bool) -> list[set[str]]:
    """The entries that are released once the server has been checked."""
    async with anyio.create_task_group() as tasks:
        harness = DetectorHarness(tasks, unanswered_ms, reachable)
        harness.attempt.on_new_connection = on_new_connection
        tasks.start_soon(harness.detector.run)
        await harness.connection_attempted.wait()
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()
    return harness.released


@pytest.mark.parametrize(
    ("unanswered_ms", "reachable", "on_new_connection", "released"),
    [
        (HOLD_LIMIT_MS, True, False, [{"r0"}]),  # a reused connection may be dead
        (HOLD_LIMIT_MS - 1, True, False, []),  # below the limit
        (HOLD_LIMIT_MS, True, True, []),  # on a new connection, the request is likely in the server's queue
        (HOLD_LIMIT_MS + 150, True, True, [{"r0"}]),  # a new connection may be dead or slow too
        (CHECK_AFTER_MS, False, True, [{"r0"}]),  # the server has become unreachable
        (CHECK_AFTER_MS, False, False, [{"r0"}]),
    ],
)
def test_entry_is_released_unless_its_attempt_is_delivered(
    unanswered_ms: float, reachable: bool, on_new_connection: bool, released: list[set[str]]
) -> None:
    assert anyio.run(released_entries, unanswered_ms, reachable, on_new_connection) == released


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("response", "released_early"),
    [
        (b"", True),
        (b"HTTP/1.1 20", False),
        (b"HTTP/1.1 103 Early Hints\r\n\r\n", False),
        (HEAD + b"2\r\n\n\n\r\n", False),
        (b"HTTP/1.1 500 Oops\r\nContent-Length: 9\r\n\r\nx", False),
    ],
    ids=["none", "status line", "interim", "stream without an event", "error"],
)
def test_entry_is_kept_while_the_response_of_its_decode_is_read(
    monkeypatch: pytest.MonkeyPatch, response: bytes, released_early: bool
) -> None:
    """Guards against a release while a slow response is read, which forces the retry to prefill again."""
    checks = list[None]()
    heartbeats: Any = SimpleNamespace(record_heartbeat=lambda: checks.append(None))
    monkeypatch.setattr(unresponsive_peers, "stall_detector", heartbeats)
    monkeypatch.setattr(unresponsive_peers, "CHECK_INTERVAL_S", 0.0)

    async def run() -> None:
        async with upstream_harness() as harness, anyio.create_task_group() as tasks:
            harness.pool_connection()
            attempt = harness.attempt()
            record = attempt.record
            record.cache.holders, record.cache.idle_since_ms = {"r0"}, harness.clock.now_ms()
            harness.upstream.send(attempt)
            await anyio.wait_all_tasks_blocked()
            assert attempt.written and not attempt.delivered
            harness.peer.send(response)
            await anyio.wait_all_tasks_blocked()
            record.cache.idle_since_ms -= 2 * HOLD_LIMIT_MS
            tasks.start_soon(harness.upstream.detect_unresponsive_peers)
            while len(checks) < 4:  # by then the first checks have ended
                await anyio.sleep(0)
            assert record.cache.released_early == released_early
            assert attempt.delivered is not released_early
            harness.peer.close()
            await harness.ended.wait()
            assert (
                attempt.delivered is not released_early
            )  # so that the hold time counts from the attempt's end
            tasks.cancel_scope.cancel()

    anyio.run(run)
