"""Turns of the event loop for input that peers have sent ahead, one turn an iteration over all connections.

Input that has already been received can be processed without ever waiting for a socket. A task that does so
occupies the event loop until the input is used up, and many such tasks occupy each iteration of it.
"""

from __future__ import annotations

import asyncio
from collections import deque


class TurnQueue:
    """Grants one turn in each iteration of the event loop, in the order in which the turns were requested."""

    def __init__(self) -> None:
        self._waiting = deque[asyncio.Future[None]]()
        self._is_scheduled = False  # `_grant_next` runs in the next iteration

    def __len__(self) -> int:
        """How many tasks wait for a turn."""
        return len(self._waiting)

    async def wait(self) -> None:
        """Wait for a turn, which lasts until the task waits for anything else."""
        loop = asyncio.get_running_loop()
        turn: asyncio.Future[None] = loop.create_future()
        self._waiting.append(turn)
        if not self._is_scheduled:
            self._schedule(loop)
        await turn

    def _schedule(self, loop: asyncio.AbstractEventLoop) -> None:
        self._is_scheduled = True
        loop.call_soon(self._grant_next, loop)

    def _grant_next(self, loop: asyncio.AbstractEventLoop) -> None:
        """Grant a turn to the task that has waited longest; a cancelled one takes no turn."""
        self._is_scheduled = False
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                break
        if self._waiting:
            self._schedule(loop)
