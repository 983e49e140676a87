"""Who replays a site's queue where no leases are kept: the process that has the lock beside the file.

The lock is the kernel's (flock), gone with its process however that ends; a process that stands still keeps
it, and then the queue waits, for one that can't be seen to be dead is not overtaken. The token is one above
the highest in the file, so what an earlier holder still does is refused as under leases.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

from ringledge.members.duty import Duty
from ringledge.store.entry import QueueError
from ringledge.store.queue import Queue


class Holder:
    """Holds one duty by a lock."""

    def __init__(self, path: Path, queue: Queue, duty: Duty) -> None:
        """`path`: the queue's file; the lock is kept on another beside it."""
        self._path, self._queue, self._duty = path.with_name(path.name + ".lock"), queue, duty
        self._fd = -1
        self.token: int | None = None

    def still(self) -> bool:
        """Whether the lock is ours."""
        return self.token is not None

    async def step(self) -> None:
        """Take the duty where it is free, then do a step of it."""
        if self.token is None:
            await self._seek()
        if self.token is not None:
            await self._duty.step(self.token, self.still)

    def end(self) -> None:
        """Give the duty up."""
        if self.token is not None:
            self._duty.stop()
            self.token = None
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1

    async def _seek(self) -> None:
        try:
            if self._fd < 0:
                self._fd = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self._fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            token = await self._queue.highest_token() + 1
        except (OSError, QueueError):  # another has it, or the file can't be used: both are told elsewhere
            return
        self.token = token
        self._duty.begin(token)
