"""File lock that replaces a lease: decides which process replays a site's queue without a cluster.

The kernel releases the lock (flock) when its process ends for any reason. A process that hangs keeps it, and
then the queue is not replayed, since a holder that may be alive is never replaced. The fencing token is
one above the highest in the queue's file, so the effects of an earlier holder are rejected as with leases.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

from ringledge.members.duty import Duty
from ringledge.store.errors import StoreError
from ringledge.store.queue import Queue


class FileLockLease:
    """Runs a duty while this process holds the lock."""

    def __init__(self, queue_path: Path, queue: Queue, duty: Duty) -> None:
        """The lock is on a separate file beside the queue's file."""
        self._lock_path = queue_path.with_name(queue_path.name + ".lock")
        self._queue = queue
        self._duty = duty
        self._descriptor = -1
        self._stopped = False  # no step is run and the lock is not acquired any more
        self.token: int | None = None

    def is_held(self) -> bool:
        """Whether this process holds the lock."""
        return self.token is not None

    async def step(self) -> None:
        """Try to acquire the lock unless it is held, then run one step of the duty if it is."""
        if self.token is None and not self._stopped:
            await self._try_acquire()
        if self.token is not None and not self._stopped:
            await self._duty.step(self.token, self.is_held)

    def stop_stepping(self) -> None:
        """Run no further step and acquire the lock no more; it stays held until `release`."""
        self._stopped = True

    def release(self) -> None:
        """Stop the duty and release the lock, for good."""
        self._stopped = True
        if self.token is not None:
            self._duty.stop()
            self.token = None
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    async def _try_acquire(self) -> None:
        try:
            if self._descriptor < 0:
                self._descriptor = os.open(self._lock_path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            token = await self._queue.highest_token() + 1
        except (
            OSError,
            StoreError,
        ):  # held by another process, or the file is unusable, which is reported elsewhere
            return
        if self._stopped:  # while the token was read
            self.release()
            return
        self.token = token
        self._duty.begin(token)
