"""Asynchronous interface of a site's durable queue; a call returns once its effect is durable."""

from __future__ import annotations

import os
import sqlite3
from collections.abc import Callable
from functools import partial
from pathlib import Path

from ringledge.decide.replay.scheduler import QueueHead
from ringledge.observe.logging import log
from ringledge.store import queries, schema, transitions
from ringledge.store.admission import QueueLimits
from ringledge.store.entry import Entry, EntryOutcome, QueuedRequest
from ringledge.store.errors import StoreError
from ringledge.store.queries import TenantBacklog
from ringledge.store.queue_clock import QueueClock
from ringledge.store.settings import QueueConfig
from ringledge.store.transitions import AdoptionResult
from ringledge.store.worker import DatabaseWorker


class Queue:
    """The queue of the local site.

    Every call may raise StoreError. Calls with a fencing token may also raise StaleTokenError, and calls that
    change the state of an entry InvalidTransitionError.
    """

    def __init__(self, config: QueueConfig, clock: Callable[[], float] | None = None) -> None:
        """`clock` returns Unix seconds; None selects the clock of the file."""
        self._config = config
        self._file_clock = QueueClock()
        self._clock = clock or self._file_clock.now_s
        self._limits = QueueLimits(
            max_entries=config.max_entries,
            max_bytes=config.max_bytes,
            tenant_quota=config.tenant_quota,
            max_entry_bytes=config.max_entry_bytes,
        )
        path = Path(config.path)
        self._directory = path.parent
        self.worker = DatabaseWorker("queue", path, partial(self._connect, path), _log_unusable)

    def start(self) -> None:
        """Start the worker thread."""
        self.worker.start()

    def stop(self) -> None:
        """Complete pending calls, then close the file."""
        self.worker.stop()

    async def now_s(self) -> float:
        """Return Unix seconds on the clock of the entries; raises StoreError if the file cannot be opened."""
        if not self._file_clock.synchronized:
            await self.worker.run(self._file_clock.read, writes=False)  # another process may have set it
        return self._clock()

    async def enqueue(self, request: QueuedRequest) -> Entry:
        """Insert a request; when this returns, it is durable and may be answered with 202."""
        return await self.worker.run(partial(self._enqueue, request=request))

    async def get(self, name: str) -> Entry | None:
        """Return an entry, or None."""
        return await self.worker.run(lambda db: queries.get_entry(db, name), writes=False)

    async def find_by_idempotency_key(self, tenant: str, idempotency_key: str) -> Entry | None:
        """Return the entry that the tenant has enqueued with an idempotency key, or None."""
        return await self.worker.run(
            lambda db: queries.find_by_idempotency_key(db, tenant, idempotency_key), writes=False
        )

    async def withdraw(self, name: str) -> Entry:
        """Cancel a waiting entry for its client."""
        return await self.worker.run(lambda db: transitions.withdraw(db, name, self._clock()))

    async def adopt(self, token: int) -> AdoptionResult:
        """Take over the queue as the lease holder with a new fencing token."""
        return await self.worker.run(lambda db: transitions.adopt(db, token, self._clock()))

    async def begin_attempt(self, name: str, token: int) -> Entry:
        """Record the start of an attempt; the entry may be sent only if it is returned as BEGUN."""
        return await self.worker.run(lambda db: transitions.begin_attempt(db, name, token, self._clock()))

    async def record_failed_attempt(self, name: str, token: int, may_have_run: bool) -> Entry:
        """Requeue or end an entry whose attempt failed."""
        max_attempts = self._config.max_attempts
        return await self.worker.run(
            lambda db: transitions.record_failed_attempt(
                db, name, token, may_have_run, max_attempts, self._clock()
            )
        )

    async def complete(self, name: str, token: int, outcome: EntryOutcome, response: bytes) -> Entry:
        """End an entry that has begun."""
        return await self.worker.run(
            lambda db: transitions.complete(db, name, token, outcome, response, self._clock())
        )

    async def expire_and_purge(self) -> tuple[str, ...]:
        """End expired entries and delete old ended ones; returns the names of the expired entries."""
        expired = await self.worker.run(lambda db: transitions.expire(db, self._clock()))
        await self.worker.run(lambda db: transitions.purge(db, self._clock(), self._config.retention_s))
        return expired

    async def oldest_entries(self, per_tenant: int) -> list[QueueHead]:
        """Return the oldest waiting entries, up to `per_tenant` of each tenant."""
        return await self.worker.run(partial(queries.oldest_entries, per_tenant=per_tenant), writes=False)

    async def backlog_by_tenant(self) -> list[TenantBacklog]:
        """Return the backlog of each tenant that has waiting entries."""
        return await self.worker.run(queries.backlog_by_tenant, writes=False)

    async def highest_token(self) -> int:
        """Return the highest fencing token that is recorded in the file."""
        return await self.worker.run(queries.highest_token, writes=False)

    def _enqueue(self, db: sqlite3.Connection, request: QueuedRequest) -> Entry:
        return transitions.enqueue(db, request, self._clock(), self._limits, self._free_disk_bytes())

    def _free_disk_bytes(self) -> float:
        """Return the bytes available on the file system; called in the worker thread, as it may block."""
        file_system = os.statvfs(self._directory)
        return float(file_system.f_bavail * file_system.f_frsize)

    def _connect(self, path: Path) -> sqlite3.Connection:
        db = schema.connect(path, self._config.lock_timeout_s)
        try:
            self._file_clock.synchronize(db)
        except sqlite3.Error as error:  # entries stay readable even if the clock's offset cannot be written
            log.warning("queue_clock_not_stored", error=str(error))
        return db


def _log_unusable(error: StoreError) -> None:
    log.error("queue_closed", why=error.reason.value, error=str(error))
