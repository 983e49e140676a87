"""Sends the release calls that `ReleaseScheduler` schedules, each with a timeout."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from math import inf
from typing import Protocol

import anyio

from ringledge.decide.servers.reachability import Reachability
from ringledge.decide.servers.release_state import ReleaseCall, ReleaseOutcome, ReleaseResult
from ringledge.decide.servers.releases import ReleaseScheduler
from ringledge.observe.logging import log
from ringledge.wire.http.errors import PEER_ERRORS
from ringledge.wire.servers.context import UpstreamContext

CALL_TIMEOUT_S = 0.3  # timeout of one call; hedged calls to other servers start earlier
FINISH_TIMEOUT_S = 0.7  # limit for a request's wait for its release: the hold limit plus one more call


class ServerCaller(Protocol):
    """Makes small exchanges with servers."""

    @property
    def reachability(self) -> Reachability:
        """Records the results of all calls."""

    async def call(self, server: str, address: str, method: bytes, path: bytes) -> object:
        """Make an exchange without a request body; OSError, TimeoutError or a protocol error if it fails."""


@dataclass(slots=True, eq=False)
class _Waiter:
    """A task that waits for the end of a request's release."""

    finished: anyio.Event = field(default_factory=anyio.Event)
    answered_by: set[str] = field(default_factory=set)


class ReleaseSender:
    """Sends the releases of one router process; its task runs only while a release is in progress."""

    def __init__(self, context: UpstreamContext, caller: ServerCaller) -> None:
        self._tasks = context.tasks
        self._servers = context.servers
        self._clock = context.clock
        self._metrics = context.metrics
        self._caller = caller
        self.scheduler = ReleaseScheduler(
            context.hold_limit_ms, caller.reachability, context.servers.up_by_server
        )
        self._running = False
        self._call_ended = anyio.Event()
        self._waiters = defaultdict[str, list[_Waiter]](list)  # by request

    def release(
        self,
        request: str,
        holders: set[str],
        abandoned: Mapping[str, float],
        stream_began: bool = False,
        idle_since_ms: float = inf,
    ) -> None:
        """Release what servers hold for a request; the arguments are those of `ReleaseScheduler.add`."""
        self.scheduler.add(self._clock.now_ms(), request, holders, abandoned, stream_began, idle_since_ms)
        self._send_due_calls()
        if not self._running:
            self._running = True
            self._tasks.start_soon(self._run)

    async def release_and_wait(self, request: str, holders: set[str], idle_since_ms: float) -> frozenset[str]:
        """Release, and wait until no call is in flight, so that entries reserved afterwards are kept.

        `idle_since_ms`: since when the entries may have been held. Returns the servers that answered within
        `FINISH_TIMEOUT_S`; the release continues after that.
        """
        self.release(request, holders, {}, idle_since_ms=idle_since_ms)
        return await self.wait_until_finished(request)

    async def wait_until_finished(self, request: str) -> frozenset[str]:
        """Wait, for at most `FINISH_TIMEOUT_S`, until no release of a request is in progress.

        Returns the servers that answered meanwhile.
        """
        if self.scheduler.is_finished(request):
            return frozenset()
        waiter = _Waiter()
        self._waiters[request].append(waiter)
        try:
            with anyio.move_on_after(FINISH_TIMEOUT_S):
                await waiter.finished.wait()
        finally:  # also if the waiting task is cancelled
            self._waiters[request].remove(waiter)
            if not self._waiters[request]:
                del self._waiters[request]
        return frozenset(waiter.answered_by)

    async def _run(self) -> None:
        """Send calls as they become due, until no release is in progress."""
        while len(self.scheduler):
            self._call_ended = anyio.Event()
            wait_s = (self.scheduler.next_wake_ms() - self._clock.now_ms()) / 1000
            with anyio.move_on_after(max(0.0, wait_s)):
                await self._call_ended.wait()
            self._send_due_calls()
        self._running = False

    def _send_due_calls(self) -> None:
        for call in self.scheduler.take_due_calls(self._clock.now_ms()):
            self._metrics.releases.labels("asked").inc()
            self._tasks.start_soon(self._send, call)
        for result in self.scheduler.take_results():
            self._report(result)

    def _report(self, result: ReleaseResult) -> None:
        """Count and log a finished release."""
        self._metrics.releases.labels(result.outcome.value).inc()
        self._metrics.release_seconds.observe(result.duration_ms / 1000)
        write_log = log.warning if result.outcome is ReleaseOutcome.TIMED_OUT else log.info
        write_log(
            "release_ended",
            request=result.request,
            how=result.outcome.value,
            asked=result.calls,
            ms=round(result.duration_ms, 1),
            where=result.server,
            holder=result.by_holder,
        )

    async def _send(self, call: ReleaseCall) -> None:
        answered = await self.call_server(call.server, call.request)
        now_ms = self._clock.now_ms()
        if answered:
            self.scheduler.call_answered(now_ms, call)
        else:
            self.scheduler.call_failed(now_ms, call)
        self._send_due_calls()
        self._call_ended.set()
        for waiter in self._waiters.get(call.request, []):
            if answered:
                waiter.answered_by.add(call.server)
            if self.scheduler.is_finished(call.request):
                waiter.finished.set()

    async def call_server(self, server: str, request: str) -> bool:
        """Send one release call to a server; returns whether it answered in time."""
        address = self._servers.address(server)
        if address is None:
            return False
        path = b"/internal/reservations/" + request.encode()
        try:
            with anyio.fail_after(CALL_TIMEOUT_S):
                await self._caller.call(server, address, b"DELETE", path)
        except TimeoutError:
            self._caller.reachability.record_timeout(server, self._clock.now_ms())
            return False
        except PEER_ERRORS:
            return False
        self._caller.reachability.record_answer(server, self._clock.now_ms())
        return True
