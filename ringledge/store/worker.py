"""Thread that owns the SQLite connection and commits pending steps in groups.

The event loop never blocks on the disk. One sync makes all steps durable that have arrived during the
previous one (group commit).
"""

from __future__ import annotations

import asyncio
import contextlib
import sqlite3
import threading
import time
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass, field
from pathlib import Path
from queue import Empty, SimpleQueue
from typing import Any, TypeVar

from ringledge.observe.logging import log
from ringledge.store import schema
from ringledge.store.entry import (
    InvalidTransitionError,
    QueueError,
    QueueRejectionReason,
    StaleTokenError,
)

T = TypeVar("T")
Step = Callable[[sqlite3.Connection], T]

MAX_BATCH = 256  # steps per transaction; it takes under 0.1 s, so that other processes get the lock
REOPEN_INTERVAL_S = 5.0  # between attempts to open an unusable file, which an operator may repair
CORRUPTION_CODES = (sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB)


@dataclass(slots=True)
class _Job:
    step: Step[Any]
    writes: bool
    result: Future[Any] = field(default_factory=Future)

    def resolve(self, result: Any) -> None:
        """Pass the result of the step to its caller, where an exception is raised."""
        if isinstance(result, Exception):
            self.result.set_exception(result)
        else:
            self.result.set_result(result)


class DatabaseWorker:
    """Runs steps on one file in transactions, in a separate thread."""

    def __init__(
        self, path: Path, lock_timeout_s: float, on_open: Callable[[sqlite3.Connection], None]
    ) -> None:
        """`lock_timeout_s` limits the wait while another process holds the file's lock.

        `on_open` is called with each new connection before any step; it may raise sqlite3.Error.
        """
        self._on_open = on_open
        self._path = path
        self._lock_timeout_s = lock_timeout_s
        self._jobs = SimpleQueue[_Job | None]()  # None stops the thread
        self._db: sqlite3.Connection | None = None
        self._open_error: QueueError | None = None  # why the file cannot be used at present
        self._reopen_s = 0.0  # earliest time of the next attempt to open it, on the monotonic clock
        self._stopped = False  # no further jobs are accepted
        self._drained = False  # the thread has received the last job
        self.commits = 0  # committed transactions with at least one writing step
        self._thread = threading.Thread(target=self._run_jobs, name="queue", daemon=True)

    def start(self) -> None:
        """Start the thread; the first step opens the file."""
        self._thread.start()

    def stop(self) -> None:
        """Run the pending steps, then close the file."""
        self._stopped = True
        self._jobs.put(None)
        self._thread.join()

    async def run(self, step: Step[T], writes: bool = True) -> T:
        """Run a step in a transaction; returns its result once the transaction is durable.

        Raises QueueError, StaleTokenError or InvalidTransitionError, in which case the step has changed
        nothing. The step may be run more than once, but only its last run takes effect.
        """
        if self._stopped:
            raise QueueError(
                QueueRejectionReason.UNAVAILABLE, "closed, because the process is shutting down", self._path
            )
        job = _Job(step, writes)
        self._jobs.put(job)
        result: T = await asyncio.wrap_future(job.result)
        return result

    def _run_jobs(self) -> None:
        while not self._drained:
            batch = self._next_batch()
            self._run_batch([job for job in batch if job.result.set_running_or_notify_cancel()])
        if self._db is not None:
            self._db.close()

    def _next_batch(self) -> list[_Job]:
        """Wait for a job; returns it together with the jobs pending after it."""
        batch = list[_Job]()
        job = self._jobs.get()
        while job is not None:
            batch.append(job)
            if len(batch) >= MAX_BATCH:
                return batch
            try:
                job = self._jobs.get_nowait()
            except Empty:
                return batch
        self._drained = True
        return batch

    def _run_batch(self, batch: list[_Job]) -> None:
        """Run a batch in one transaction, or in one per job if that transaction fails as a whole."""
        if not batch:
            return
        try:
            results = self._transaction(batch)
        except QueueError as error:
            results = [error] * len(batch)
        except sqlite3.Error as error:
            if len(batch) > 1:
                for job in batch:
                    self._run_batch([job])
                return
            results = [self._classify(error)]
        for job, result in zip(batch, results, strict=True):
            job.resolve(result)

    def _transaction(self, batch: list[_Job]) -> list[Any]:
        """Return the results of the steps in order; that of a rejected step is its exception."""
        db = self._connection()
        writes = any(job.writes for job in batch)
        db.execute("BEGIN IMMEDIATE" if writes else "BEGIN")
        try:
            results = [self._run_step(db, job.step) for job in batch]
            db.execute("COMMIT")
        except BaseException:
            if db.in_transaction:  # after some errors SQLite has already rolled back
                db.execute("ROLLBACK")
            raise
        self.commits += writes
        return results

    def _run_step(self, db: sqlite3.Connection, step: Step[Any]) -> Any:
        """Run one step; returns its result, or the exception after rolling back only this step's changes."""
        db.execute("SAVEPOINT step")
        try:
            return step(db)
        except (QueueError, StaleTokenError, InvalidTransitionError) as error:
            db.execute("ROLLBACK TO step")
            return error
        except sqlite3.Error:
            raise
        except Exception as error:  # a defect must fail only this step and not the thread
            db.execute("ROLLBACK TO step")
            log.exception("queue_step_crashed", error)
            return error
        finally:
            if db.in_transaction:
                db.execute("RELEASE step")

    def _connection(self) -> sqlite3.Connection:
        """Return the open connection; raises QueueError while the file cannot be used."""
        if self._db is not None:
            return self._db
        if self._open_error is not None and time.monotonic() < self._reopen_s:
            raise self._open_error
        try:
            self._db = self._open()
        except QueueError as error:
            self._mark_unusable(error)
            raise
        self._open_error = None
        return self._db

    def _open(self) -> sqlite3.Connection:
        db = schema.connect(self._path, self._lock_timeout_s)
        try:
            self._on_open(db)
        except sqlite3.Error as error:  # entries stay readable even if the clock's offset cannot be written
            log.warning("queue_clock_not_stored", error=str(error))
        return db

    def _classify(self, error: sqlite3.Error) -> QueueError:
        """Convert the error to a QueueError; closes a connection that cannot be trusted any longer."""
        queue_error = schema.queue_error(error, self._path)
        if getattr(error, "sqlite_errorcode", 0) & 0xFF in CORRUPTION_CODES:
            self._close_connection()
            self._mark_unusable(queue_error)
        elif queue_error.reason is QueueRejectionReason.IO_ERROR:
            self._close_connection()  # its cache may differ from the file, which is read again
        return queue_error

    def _close_connection(self) -> None:
        if self._db is not None:
            with contextlib.suppress(sqlite3.Error):
                self._db.close()
            self._db = None

    def _mark_unusable(self, error: QueueError) -> None:
        """Fail calls with this error until the file is opened again; repetitions of it are not logged."""
        if self._open_error is None or str(self._open_error) != str(error):
            log.error("queue_closed", why=error.reason.value, error=str(error))
        self._open_error = error
        self._reopen_s = time.monotonic() + REOPEN_INTERVAL_S
