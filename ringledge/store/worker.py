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
from ringledge.store import database
from ringledge.store.entry import InvalidTransitionError, StaleTokenError
from ringledge.store.errors import StoreError, StoreRejectionReason

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
        self,
        name: str,
        path: Path,
        connect: Callable[[], sqlite3.Connection],
        on_unusable: Callable[[StoreError], None],
    ) -> None:
        """`connect` opens the file at `path`, or raises StoreError; `name` is that of the thread.

        `on_unusable` is called, once for each different error, when the file cannot be used.
        """
        self._path = path
        self._connect = connect
        self._on_unusable = on_unusable
        self._jobs = SimpleQueue[_Job | None]()  # None stops the thread
        self._db: sqlite3.Connection | None = None
        self._open_error: StoreError | None = None  # why the file cannot be used at present
        self._reopen_s = 0.0  # earliest time of the next attempt to open it, on the monotonic clock
        self._stopped = False  # no further jobs are accepted
        self._drained = False  # the thread has received the last job
        self.commits = 0  # committed transactions with at least one writing step
        self._thread = threading.Thread(target=self._run_jobs, name=name, daemon=True)

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

        Raises StoreError, StaleTokenError or InvalidTransitionError, in which case the step has changed
        nothing. The step may be run more than once, but only its last run takes effect.
        """
        return await asyncio.wrap_future(self.submit(step, writes))

    def submit(self, step: Step[T], writes: bool = True) -> Future[T]:
        """Run a step as `run` does, behind those that were submitted before, without waiting for it."""
        job = _Job(step, writes)
        if self._stopped:
            reason = "closed, because the process is shutting down"
            job.resolve(StoreError(StoreRejectionReason.UNAVAILABLE, reason, self._path))
        else:
            self._jobs.put(job)
        return job.result

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
        except StoreError as error:
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
        except (StoreError, StaleTokenError, InvalidTransitionError) as error:
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
        """Return the open connection; raises StoreError while the file cannot be used."""
        if self._db is not None:
            return self._db
        if self._open_error is not None and time.monotonic() < self._reopen_s:
            raise self._open_error
        try:
            self._db = self._connect()
        except StoreError as error:
            if error.reason is not StoreRejectionReason.LOCKED:
                self._mark_unusable(error)
            raise
        self._open_error = None
        return self._db

    def _classify(self, error: sqlite3.Error) -> StoreError:
        """Convert the error to a StoreError; closes a connection that cannot be trusted any longer."""
        store_error = database.store_error(error, self._path)
        if getattr(error, "sqlite_errorcode", 0) & 0xFF in CORRUPTION_CODES:
            self._close_connection()
            self._mark_unusable(store_error)
        elif store_error.reason is StoreRejectionReason.IO_ERROR:
            self._close_connection()  # its cache may differ from the file, which is read again
        return store_error

    def _close_connection(self) -> None:
        if self._db is not None:
            with contextlib.suppress(sqlite3.Error):
                self._db.close()
            self._db = None

    def _mark_unusable(self, error: StoreError) -> None:
        """Fail calls with this error until the file is opened again; repetitions of it are not reported."""
        if self._open_error is None or str(self._open_error) != str(error):
            self._on_unusable(error)
        self._open_error = error
        self._reopen_s = time.monotonic() + REOPEN_INTERVAL_S
