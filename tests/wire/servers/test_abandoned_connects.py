"""Attempts that are abandoned, or whose server starts draining, while their connection is established."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from ringledge.core.records import Attempt
from ringledge.routing.interface import (
    AttemptStatus,
)
from ringledge.wire.http.connection import Connection
from ringledge.wire.servers import connections
from tests.wire.servers.test_abandoned_attempts import UpstreamHarness, upstream_harness


async def attempt_awaiting_connection(
    harness: UpstreamHarness, monkeypatch: pytest.MonkeyPatch
) -> tuple[anyio.Event, Attempt]:
    """Start an attempt whose connection is established once the returned event is set."""
    established, attempt = anyio.Event(), harness.attempt()

    async def connect(*_: Any) -> Connection:
        await established.wait()
        return harness.conn

    monkeypatch.setattr(connections, "connect", connect)
    harness.upstream.send(attempt)
    while not established.statistics().tasks_waiting:
        await anyio.sleep(0)
    return established, attempt


def test_attempt_abandoned_in_the_turn_of_its_connection_is_not_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A task that is cancelled after its wait runs on until the next one, and a write may not wait."""

    async def run() -> None:
        async with upstream_harness() as harness:
            established, attempt = await attempt_awaiting_connection(harness, monkeypatch)
            established.set()
            harness.upstream.abandon(attempt)
            await harness.ended.wait()
            assert harness.written() == b"" and not attempt.written

    anyio.run(run)


def test_attempt_is_not_written_if_its_server_drains_while_connecting(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Connecting may outlast the server's grace period; a request counts as sent from its first byte."""

    async def run() -> None:
        async with upstream_harness() as harness:
            established, attempt = await attempt_awaiting_connection(harness, monkeypatch)
            harness.drain()
            established.set()
            await harness.ended.wait()
            assert harness.written() == b"" and harness.outcomes == [AttemptStatus.NOT_SENT]

    anyio.run(run)
