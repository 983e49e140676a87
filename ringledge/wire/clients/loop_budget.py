"""Turns of the event loop, bounded: what costs CPU by size waits for the next one once one is used up."""

from __future__ import annotations

import asyncio
import time


class Turns:
    """Lets work go on until a turn has lasted so long; then the rest gets up again in the next turn."""

    def __init__(self, most_s: float) -> None:
        self._most_s = most_s
        self._began: float | None = None  # this turn's first work; None: none yet

    async def take(self) -> None:
        """Return in a turn that has time left."""
        loop = asyncio.get_running_loop()
        while self._began is not None and time.monotonic() - self._began > self._most_s:
            await asyncio.sleep(0)
        if self._began is None:
            self._began = time.monotonic()
            loop.call_soon(self._end)  # runs in the next turn, before all that gets up again there

    def _end(self) -> None:
        self._began = None
