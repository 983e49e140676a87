"""Turns of the event loop, bounded: what costs CPU by size waits for the next one once one is used up."""

from __future__ import annotations

import asyncio
import time


class LoopBudget:
    """Lets work go on until a turn has lasted so long; then the rest gets up again in the next turn."""

    def __init__(self, max_iteration_s: float) -> None:
        self._max_iteration_s = max_iteration_s
        self._started_s: float | None = None  # this turn's first work; None: none yet

    async def wait_for_budget(self) -> None:
        """Return in a turn that has time left."""
        loop = asyncio.get_running_loop()
        while self._started_s is not None and time.monotonic() - self._started_s > self._max_iteration_s:
            await asyncio.sleep(0)
        if self._started_s is None:
            self._started_s = time.monotonic()
            loop.call_soon(self._reset)  # runs in the next turn, before all that gets up again there

    def _reset(self) -> None:
        self._started_s = None
