"""Hedged requests to one peer: unanswered requests stay open while more are sent; the first response is used.

If requests were cancelled at a timeout, the responses of a slow peer would be lost. If a single request were
awaited without a timeout, the recovery of the peer would be noticed late.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import PEER_ERRORS

SendRequest = Callable[[], Awaitable[Connection]]  # returns when the response begins


@dataclass(slots=True, eq=False)
class _PendingRequest:
    """A request that has no response yet."""

    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    error: Exception | None = None  # set if the request failed


class HedgedRequests:
    """The unanswered requests to one peer."""

    def __init__(self, max_pending: int) -> None:
        """Beyond `max_pending` the oldest request is closed: a vanished peer would never answer it."""
        self._max_pending = max_pending
        self._pending = list[_PendingRequest]()  # oldest first
        self._response: Connection | None = None  # received, but not returned yet
        self._changed = anyio.Event()

    async def first_response(self, tasks: TaskGroup, send: SendRequest, timeout_s: float) -> Connection:
        """Send one more request; return the connection of the first response to any, and close the others.

        The request runs in `tasks`. If no response begins in time, raises TimeoutError and leaves the request
        pending. If the new request fails, raises the error of `send`.
        """
        if self._response is None:
            request = self._start(tasks, send)
            with anyio.move_on_after(timeout_s):
                while self._response is None and request.error is None:
                    await self._changed.wait()
            if self._response is None:
                raise request.error or TimeoutError("no response to any request in time")
        response, self._response = self._response, None
        self.cancel()
        return response

    async def wait_for_response(self, timeout_s: float) -> None:
        """Wait until a pending request has a response, for at most `timeout_s`."""
        with anyio.move_on_after(timeout_s):
            while self._response is None:
                await self._changed.wait()

    def cancel(self) -> None:
        """Close all pending requests, and a response that has not been returned."""
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
        if response is not None:  # another response was first, or the request was cancelled
            response.close()
        self._changed.set()
        self._changed = anyio.Event()
