"""Carries releases out: one task asks whom `decide/servers/releases.py` names, each call bounded in time."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping

import anyio
import anyio.abc

from ringledge.core.clock import Clock
from ringledge.decide.servers.reachability import Reachability
from ringledge.decide.servers.release_state import ReleaseCall, ReleaseOutcome
from ringledge.decide.servers.releases import ReleaseScheduler
from ringledge.memory.server_list import ServerList
from ringledge.observe.logging import log
from ringledge.observe.metrics import Metrics
from ringledge.wire.http.errors import PEER_ERRORS

TRY_S = 0.3  # one call; meanwhile others are asked too
WAIT_S = 0.7  # a release that the next step of its request waits for: the time it has, and a call behind it

Call = Callable[[str, str, bytes, bytes], Awaitable[object]]


class Releaser:
    """The releases of one conductor; `call` makes one exchange: server, address, method, path."""

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        servers: ServerList,
        let_go_ms: float,
        clock: Clock,
        reach: Reachability,
        metrics: Metrics,
        call: Call,
    ) -> None:
        self._tasks, self._servers, self._reach, self._metrics = tasks, servers, reach, metrics
        self._call, self._clock, self._asleep = call, clock, anyio.Event()
        self.plan = ReleaseScheduler(let_go_ms, reach, servers.up_by_server)
        self._running = False
        self._waits: dict[str, anyio.Event] = {}  # set once the release is done with

    def release(
        self, request: str, known: set[str], unseen: Mapping[str, float], begun: bool = False
    ) -> None:
        """Let go of what is held for a request."""
        self.plan.add(self._clock.now_ms(), request, known, unseen, begun)
        self._step()
        if not self._running:  # it runs only while there is something to wait for
            self._running = True
            self._tasks.start_soon(self._run)

    async def let_go(self, request: str, known: set[str]) -> None:
        """Release, and wait until no call of it is under way: what is read after this stays."""
        self.release(request, known, {})
        await self.settle(request)

    async def settle(self, request: str) -> None:
        """Wait until no release of a request is under way, for a bounded time."""
        if self.plan.is_finished(request):
            return
        waits = self._waits[request] = anyio.Event()
        try:
            with anyio.move_on_after(WAIT_S):
                await waits.wait()
        finally:  # also where its request is given up meanwhile
            del self._waits[request]

    async def _run(self) -> None:
        """Ask again when it is time, until none is left."""
        while len(self.plan):
            self._asleep = anyio.Event()
            wait_s = (self.plan.next_wake_ms() - self._clock.now_ms()) / 1000
            with anyio.move_on_after(max(0.0, wait_s)):
                await self._asleep.wait()
            self._step()
        self._running = False

    def _step(self) -> None:
        for ask in self.plan.take_due_calls(self._clock.now_ms()):
            self._metrics.releases.labels("asked").inc()
            self._tasks.start_soon(self._ask, ask)
        for ended in self.plan.take_results():
            self._metrics.releases.labels(ended.outcome.value).inc()
            self._metrics.release_ms.observe(ended.duration_ms / 1000)
            tell = log.info if ended.outcome is not ReleaseOutcome.GAVE_UP else log.warning
            tell(
                "release_ended",
                request=ended.request,
                how=ended.outcome.value,
                asked=ended.calls,
                ms=round(ended.duration_ms, 1),
                where=ended.server,
                holder=ended.by_holder,
            )

    async def _ask(self, ask: ReleaseCall) -> None:
        address, heard = self._servers.address(ask.server), False
        if address is not None:
            try:
                path = b"/internal/reservations/" + ask.request.encode()
                with anyio.fail_after(TRY_S):
                    await self._call(ask.server, address, b"DELETE", path)
                heard = True
            except TimeoutError:
                self._reach.record_timeout(ask.server, self._clock.now_ms())
            except PEER_ERRORS:
                pass
        now_ms = self._clock.now_ms()
        if heard:
            self._reach.record_answer(ask.server, now_ms)
            self.plan.call_answered(now_ms, ask)
        else:
            self.plan.call_failed(now_ms, ask)
        self._step()
        self._asleep.set()
        if ask.request in self._waits and self.plan.is_finished(ask.request):
            self._waits[ask.request].set()
