"""Holds requests that arrive while the starting process still waits for the endpoint list."""

from __future__ import annotations

import anyio

from ringledge.wire.http.errors import HttpError


class StartGate:
    """Opened once requests can be processed, or closed for good if the process stops before that."""

    def __init__(self) -> None:
        self.is_open = False
        self._decided = anyio.Event()

    def open(self) -> None:
        """Let requests through, including those that are waiting."""
        self.is_open = True
        self._decided.set()

    def close(self) -> None:
        """Reject the waiting requests: the process may not have the time to serve them."""
        self._decided.set()

    async def wait(self, timeout_ms: float) -> float:
        """Wait until the gate opens, for at most `timeout_ms`; return the part of it that remains, in ms.

        Raises HttpError if the gate is closed instead.
        """
        if self.is_open:
            return timeout_ms
        began_s = anyio.current_time()
        with anyio.move_on_after(max(0.0, timeout_ms / 1000)):
            await self._decided.wait()
        if self._decided.is_set() and not self.is_open:
            raise HttpError(503, "stopping, nothing has run", "stopping", headers=[(b"Retry-After", b"0")])
        return timeout_ms - (anyio.current_time() - began_s) * 1000
