"""The thread that has the file: steps wait in line, those that wait together are committed together.

The event loop never waits for the disk, and one sync serves all who came while the last one ran.
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
from ringledge.store.entry import MovedError, StaleError, StoreError, Why

T = TypeVar("T")
Step = Callable[[sqlite3.Connection], T]

GROUP = 256  # steps of one transaction: it stays under a tenth of a second, so that others get at the file
AGAIN_S = 5.0  # a file that can't be used is looked at again after so long: it may have been mended
SPOILT = (sqlite3.SQLITE_CORRUPT, sqlite3.SQLITE_NOTADB)


@dataclass(slots=True)
class _Job:
    step: Step[Any]
    writes: bool
    result: Future[Any] = field(default_factory=Future)


class Worker:
    """Runs steps on one file in a thread of its own."""

    def __init__(self, path: Path, busy_s: float) -> None:
        self._path, self._busy_s = path, busy_s
        self._jobs = SimpleQueue[_Job | None]()
        self._db: sqlite3.Connection | None = None
        self._closed: StoreError | None = None
        self._look_again_s = 0.0
        self._stopped = False
        self.commits = 0  # transactions that have written
        self._thread = threading.Thread(target=self._work, name="queue", daemon=True)

    def start(self) -> None:
        """Begin; the file is opened by the first step."""
        self._thread.start()

    def stop(self) -> None:
        """Have what waits done, then close the file."""
        self._stopped = True
        self._jobs.put(None)
        self._thread.join()

    async def run(self, step: Step[T], writes: bool = True) -> T:
        """One step in a transaction. Its result comes once that is on the disk; an error: nothing is done.

        Raises StoreError, StaleError, MovedError. The step may be run more than once; its last run counts.
        """
        if self._stopped:
            raise StoreError(Why.CLOSED, f"{self._path}: closed, the process ends")
        job = _Job(step, writes)
        self._jobs.put(job)
        result: T = await asyncio.wrap_future(job.result)
        return result

    def _work(self) -> None:
        while (job := self._jobs.get()) is not None:
            group, last = [job], False
            with contextlib.suppress(Empty):
                while len(group) < GROUP and not last:
                    more = self._jobs.get_nowait()
                    last = more is None
                    group += [] if more is None else [more]
            self._together([each for each in group if each.result.set_running_or_notify_cancel()])
            if last:
                break
        if self._db is not None:
            self._db.close()

    def _together(self, group: list[_Job]) -> None:
        """One transaction for all; where it fails as a whole, one for each."""
        if not group:
            return
        try:
            told = self._transaction(group)
        except (sqlite3.Error, StoreError) as error:
            if len(group) > 1 and not isinstance(error, StoreError):
                for job in group:
                    self._together([job])
                return
            told = [error if isinstance(error, StoreError) else self._told(error)] * len(group)
        for job, result in zip(group, told, strict=True):
            if isinstance(result, Exception):
                job.result.set_exception(result)
            else:
                job.result.set_result(result)

    def _transaction(self, group: list[_Job]) -> list[Any]:
        db = self._open()
        writes = any(job.writes for job in group)
        db.execute("BEGIN IMMEDIATE" if writes else "BEGIN")
        try:
            told = [self._one(db, job.step) for job in group]
            db.execute("COMMIT")
        except BaseException:
            if db.in_transaction:  # some errors have rolled back already
                db.execute("ROLLBACK")
            raise
        self.commits += writes
        return told

    def _one(self, db: sqlite3.Connection, step: Step[Any]) -> Any:
        """A step's result, or the error that it alone is refused with; what it had done is undone."""
        db.execute("SAVEPOINT step")
        try:
            return step(db)
        except (StoreError, StaleError, MovedError) as error:
            db.execute("ROLLBACK TO step")
            return error
        except sqlite3.Error:
            raise
        except Exception as error:  # a fault of ours costs this step, not the thread
            db.execute("ROLLBACK TO step")
            log.exception("queue_step_crashed", error)
            return error
        finally:
            if db.in_transaction:
                db.execute("RELEASE step")

    def _open(self) -> sqlite3.Connection:
        if self._db is None:
            if self._closed is not None and time.monotonic() < self._look_again_s:
                raise self._closed
            try:
                self._db = schema.connect(self._path, self._busy_s)
            except StoreError as error:
                self._close(error)
                raise
            self._closed = None
        return self._db

    def _told(self, error: sqlite3.Error) -> StoreError:
        told = schema.told(error, self._path)
        if getattr(error, "sqlite_errorcode", 0) & 0xFF in SPOILT:
            self._close(told)
        elif told.why is Why.FAILED:
            self._close(None)  # what the file holds is read anew: this connection may know it wrongly
        return told

    def _close(self, why: StoreError | None) -> None:
        if self._db is not None:
            with contextlib.suppress(sqlite3.Error):
                self._db.close()
            self._db = None
        if why is not None:
            if self._closed is None or str(self._closed) != str(why):
                log.error("queue_closed", why=why.why.value, error=str(why))
            self._closed, self._look_again_s = why, time.monotonic() + AGAIN_S
