"""The queue of a site as the rest of the program has it: what is promised is on the disk on return."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path

from ringledge.decide.replay.scheduler import QueueHead
from ringledge.store import queries as looks
from ringledge.store import transitions as steps
from ringledge.store.entry import Asked, End, Entry
from ringledge.store.queries import Waiting
from ringledge.store.settings import QueueConfig
from ringledge.store.transitions import Adopted, Limits
from ringledge.store.worker import Worker


class Queue:
    """One site's file. Each call may raise StoreError; those with a token StaleError and MovedError too."""

    def __init__(self, config: QueueConfig, clock: Callable[[], float] = time.time) -> None:
        """`clock`: Unix seconds; ages must outlive the process, so it is no monotonic one."""
        self._config, self._now = config, clock
        self._limits = Limits(config.entries, config.most_bytes, config.tenant_share, config.entry_bytes)
        self._folder = Path(config.path).parent
        self.worker = Worker(Path(config.path), config.busy_s)

    def start(self) -> None:
        """Begin."""
        self.worker.start()

    def stop(self) -> None:
        """Have what waits done, then close the file."""
        self.worker.stop()

    async def enqueue(self, asked: Asked) -> Entry:
        """Put a request in; a 202 may be said once this returns."""
        return await self.worker.run(
            lambda db: steps.enqueue(db, asked, self._now(), self._limits, self._free())
        )

    def _free(self) -> float:
        """Bytes that the disk has for us; asked for in the thread that waits for disks."""
        told = os.statvfs(self._folder)
        return float(told.f_bavail * told.f_frsize)

    async def get(self, name: str) -> Entry | None:
        """The entry of that name."""
        return await self.worker.run(lambda db: steps.get(db, name), writes=False)

    async def by_key(self, tenant: str, key: str) -> Entry | None:
        """The entry that a tenant's idempotency key has put in."""
        return await self.worker.run(lambda db: steps.by_key(db, tenant, key), writes=False)

    async def withdraw(self, name: str) -> Entry:
        """Take a waiting entry back for its client."""
        return await self.worker.run(lambda db: steps.withdraw(db, name, self._now()))

    async def adopt(self, token: int) -> Adopted:
        """Take the queue over under a new token."""
        return await self.worker.run(lambda db: steps.adopt(db, token, self._now()))

    async def begin(self, name: str, token: int) -> Entry:
        """Write down that an attempt starts; only what comes back as begun may be sent."""
        return await self.worker.run(lambda db: steps.begin(db, name, token, self._now()))

    async def give_back(self, name: str, token: int, ran: bool) -> Entry:
        """An attempt did not serve it."""
        most = self._config.attempts
        return await self.worker.run(lambda db: steps.give_back(db, name, token, ran, most, self._now()))

    async def finish(self, name: str, token: int, end: End, answer: bytes) -> Entry:
        """What was begun has its end."""
        return await self.worker.run(lambda db: steps.finish(db, name, token, end, answer, self._now()))

    async def tidy(self) -> tuple[str, ...]:
        """Tell what has waited too long as expired, remove old ends; the names of those that expired."""
        expired = await self.worker.run(lambda db: steps.expire(db, self._now()))
        await self.worker.run(lambda db: steps.purge(db, self._now(), self._config.keep_s))
        return expired

    async def heads(self, each: int) -> list[QueueHead]:
        """The oldest waiting entries of each tenant, so many of each."""
        return await self.worker.run(partial(looks.heads, each=each), writes=False)

    async def waiting(self) -> list[Waiting]:
        """What waits, by tenant."""
        return await self.worker.run(looks.waiting, writes=False)

    async def highest(self) -> int:
        """The highest token that the file has seen."""
        return await self.worker.run(looks.highest, writes=False)
