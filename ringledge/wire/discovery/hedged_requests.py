"""Hedged requests to one peer: each goes out beside those still unanswered, and the first response is used.

A request that is given up at its timeout is lost where the peer only answers slowly, and one that is waited
for without end learns late that the peer has recovered. So a late request stays open while more are sent.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import PEER_ERRORS

SendRequest = Callable[[], Awaitable[Connection]]  # returns once the response has begun


@dataclass(slots=True, eq=False)
class _PendingRequest:
    """One request without a response so far."""

    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    error: Exception | None = None  # how it failed


class HedgedRequests:
    """The unanswered requests to one peer."""

    def __init__(self, max_pending: int) -> None:
        """`max_pending`: beyond it the oldest is closed, since a peer that has vanished never answers it."""
        self._max_pending = max_pending
        self._pending = list[_PendingRequest]()  # the oldest first
        self._response: Connection | None = None  # that nobody has taken yet
        self._changed = anyio.Event()

    async def first_response(self, tasks: TaskGroup, send: SendRequest, timeout_s: float) -> Connection:
        """Send one more request; return the connection of the first response to any, and close the others.

        `tasks` runs the request. Raises TimeoutError if no response begins in time, and leaves the request
        pending; raises what `send` does if the new request fails.
        """
        if self._response is None:
            request = self._start(tasks, send)
            with anyio.move_on_after(timeout_s):
                while self._response is None and request.error is None:
                    await self._changed.wait()
            if self._response is None:
                raise request.error or TimeoutError("no answer")
        response, self._response = self._response, None
        self.cancel()
        return response

    async def wait_for_response(self, timeout_s: float) -> None:
        """Wait until a pending request has a response, or so long."""
        with anyio.move_on_after(timeout_s):
            while self._response is None:
                await self._changed.wait()

    def cancel(self) -> None:
        """Close all requests, and a response that nobody has taken."""
        for request in self._pending:
            request.scope.cancel()
        self._pending.clear()
        if self._response is not None:
            self._response.close()
            self._response = None

    def _start(self, tasks: TaskGroup, send: SendRequest) -> _PendingRequest:
        while len(self._pending) >= self._max_pending:
            self._pending.pop(0).scope.cancel()
        request = _PendingRequest()
        self._pending.append(request)
        tasks.start_soon(self._run, request, send)
        return request

    async def _run(self, request: _PendingRequest, send: SendRequest) -> None:
        response: Connection | None = None
        with request.scope:
            try:
                response = await send()
            except PEER_ERRORS as error:
                request.error = error
        if request in self._pending:
            self._pending.remove(request)
            if response is not None and self._response is None:
                self._response, response = response, None
        if response is not None:  # another was first, or nobody waits any more
            response.close()
        self._changed.set()
        self._changed = anyio.Event()
