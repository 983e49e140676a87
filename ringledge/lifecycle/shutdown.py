"""The flag that a graceful shutdown has been requested, shared by the components that react to it."""

from __future__ import annotations

import anyio


class Shutdown:
    """Whether and when a graceful shutdown was requested."""

    def __init__(self) -> None:
        self._requested = anyio.Event()
        self._requested_s = 0.0

    @property
    def requested_s(self) -> float:
        """Time of the first request, in seconds on the event loop's clock; 0 before it."""
        return self._requested_s

    def is_requested(self) -> bool:
        """Whether `request` has been called."""
        return self._requested.is_set()

    def request(self) -> None:
        """Request the shutdown; repeated requests keep the time of the first."""
        if not self._requested.is_set():
            self._requested_s = anyio.current_time()
        self._requested.set()

    async def wait(self) -> None:
        """Return once a shutdown has been requested."""
        await self._requested.wait()
