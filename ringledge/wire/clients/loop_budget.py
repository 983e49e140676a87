"""A time budget for each iteration of the event loop, for work whose CPU cost grows with its input's size."""

from __future__ import annotations

import asyncio
import time


class LoopBudget:
    """Defers work to the next iteration of the loop once the current one has used up its budget."""

    def __init__(self, max_iteration_s: float) -> None:
        self._max_iteration_s = max_iteration_s
        self._started_s: float | None = None  # when this iteration's first work began; None: none has begun

    async def wait_for_budget(self) -> None:
        """Wait until an iteration of the loop has budget left."""
        loop = asyncio.get_running_loop()
        while self._started_s is not None and time.monotonic() - self._started_s > self._max_iteration_s:
            await asyncio.sleep(0)
        if self._started_s is None:
            self._started_s = time.monotonic()
            loop.call_soon(self._reset)  # runs in the next iteration, before the tasks that wait for budget

    def _reset(self) -> None:
        self._started_s = None
