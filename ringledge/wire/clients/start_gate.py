"""Where requests wait that arrive while a start still waits for the endpoint list."""

from __future__ import annotations

import anyio

from ringledge.wire.http.errors import HttpError


class StartGate:
    """Opened once requests may be begun, or closed for good where the process ends before."""

    def __init__(self) -> None:
        self.is_open = False
        self._decided = anyio.Event()

    def open(self) -> None:
        """Let requests through, those that wait too."""
        self.is_open = True
        self._decided.set()

    def close(self) -> None:
        """Reject those that wait: there may be no time for them."""
        self._decided.set()

    async def wait(self, timeout_ms: float) -> float:
        """Wait until requests may be begun, `timeout_ms` at most; returns what is left of it, in ms.

        HttpError where none will be begun.
        """
        if self.is_open:
            return timeout_ms
        began_s = anyio.current_time()
        with anyio.move_on_after(max(0.0, timeout_ms / 1000)):
            await self._decided.wait()
        if self._decided.is_set() and not self.is_open:
            raise HttpError(503, "stopping, nothing has run", "stopping", headers=[(b"Retry-After", b"0")])
        return timeout_ms - (anyio.current_time() - began_s) * 1000
