"""What is held for an attempt that may never have arrived is released in time, however its server looks."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from ringledge.core.port import Payload
from ringledge.core.records import Attempt, Record
from ringledge.decide.servers.delivery import CHECK_AFTER_MS
from ringledge.decide.servers.reachability import Reachability
from ringledge.routing.interface import (
    Request,
)
from ringledge.wire.servers.in_flight import InFlightAttempt
from ringledge.wire.servers.unresponsive_peers import UnresponsivePeerDetector

LET_GO_MS = 500.0


class Rig:
    """One booking whose decode attempt was written a while ago and has not been answered."""

    def __init__(self, tasks: Any, waited_ms: float, comes_up: bool) -> None:
        self.now_ms, self.released = 10_000.0, list[set[str]]()
        self.comes_up, self.asked = comes_up, anyio.Event()
        caller: Any = SimpleNamespace()
        written_ms = self.now_ms - waited_ms
        self.record = Record(Request("a", expires_in_ms=9000), Payload(b"/", b""), caller, written_ms)
        self.record.cache_holders, self.record.idle_since_ms = {"r0"}, written_ms
        self.attempt = Attempt(self.record, 0, "w0", False, True, written_ms, 20_000.0)
        self.attempt.written = self.attempt.fetches_cache = True
        self.record.attempts.append(self.attempt)
        live = {self.attempt: InFlightAttempt(written_ms=written_ms)}
        reach = Reachability()
        reach.update_servers([("w0", 0)])
        lines: Any = SimpleNamespace(
            reachability=reach, open=self.open, connect_timeout_s=lambda: 0.25, pool=self
        )
        servers: Any = SimpleNamespace(address=lambda _: "127.0.0.1:9")
        clock: Any = SimpleNamespace(now_ms=lambda: self.now_ms)
        releaser: Any = SimpleNamespace(release=lambda _, known, __: self.released.append(known))
        context: Any = SimpleNamespace(tasks=tasks, servers=servers, clock=clock, hold_limit_ms=LET_GO_MS)
        self.silence = UnresponsivePeerDetector(context, live, lines, releaser)

    async def open(self, *_: Any) -> Any:
        self.asked.set()
        if not self.comes_up:
            raise TimeoutError

    def put(self, *_: Any) -> None:
        """The pool takes the connection that came up."""


async def watched(waited_ms: float, comes_up: bool, arrived: bool) -> list[set[str]]:
    """What is released once the server has been tried."""
    async with anyio.create_task_group() as tasks:
        rig = Rig(tasks, waited_ms, comes_up)
        rig.attempt.delivered = arrived
        tasks.start_soon(rig.silence.run)
        await rig.asked.wait()
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()
    return rig.released


@pytest.mark.parametrize(
    ("waited_ms", "comes_up", "arrived", "released"),
    [
        (LET_GO_MS, True, False, [{"r0"}]),  # its connection was kept, and may be dead
        (LET_GO_MS - 1, True, False, []),  # there is time left
        (LET_GO_MS, True, True, []),  # its connection was new: it likely waits in a queue
        (LET_GO_MS + 150, True, True, [{"r0"}]),  # or that fell silent, too, or is slow: nobody can tell
        (CHECK_AFTER_MS, False, True, [{"r0"}]),  # the same, but its server was cut off since
        (CHECK_AFTER_MS, False, False, [{"r0"}]),
    ],
)
def test_what_is_held_is_released_unless_its_attempt_has_arrived(
    waited_ms: float, comes_up: bool, arrived: bool, released: list[set[str]]
) -> None:
    assert anyio.run(watched, waited_ms, comes_up, arrived) == released
