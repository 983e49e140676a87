"""Which run each idempotency key has started: one SQLite file that all processes of a router share.

    keys   one row per claimed key. `hash` identifies the tenant and its key, `run` the one run that the key
           has started, `origin` what started the run (a later run of the same origin may supersede it), and
           `claimed_s` is the time of the claim on the monotonic clock

A claim is durable before its run begins. It is released only if the run provably never took place, so it
outlives the process that made it, the run and the response. It expires after RETENTION_S. Where the file is
full, the oldest claims are forgotten, but none that is younger than MIN_RETENTION_S: a new one is rejected.
"""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Callable
from concurrent.futures import Future
from functools import partial
from pathlib import Path

from ringledge.observe.logging import log
from ringledge.store import database
from ringledge.store.errors import StoreError, StoreRejectionReason
from ringledge.store.key_claim import KeyClaim, hash_name
from ringledge.store.worker import DatabaseWorker

RETENTION_S = 86_400.0  # as long as the queue keeps an entry that has ended
MIN_RETENTION_S = 3_600.0  # many times the longest deadline
BYTES_PER_KEY = 128  # of the file, with its indexes
LOCK_TIMEOUT_S = 0.5  # a transaction takes milliseconds
LOG_PAGES = 200  # of the write-ahead log, after which it is copied to the database and begun anew

SCHEMA = database.DatabaseSchema(
    application_id=0x52_4C_4B_31,  # "RLK1"
    migrations={
        0: (
            """CREATE TABLE keys (hash BLOB PRIMARY KEY, run BLOB NOT NULL, origin BLOB NOT NULL,
                claimed_s REAL NOT NULL) WITHOUT ROWID""",
            "CREATE INDEX by_age ON keys (claimed_s)",
        )
    },
)


class IdempotencyKeys:
    """The claimed keys of one router."""

    def __init__(self, path: Path, max_keys: int, clock: Callable[[], float] = time.monotonic) -> None:
        """`clock` returns seconds, is never set back, and is the same in all processes of the machine."""
        self._max_keys = max_keys
        self._clock = clock
        self._worker = DatabaseWorker("idempotency-keys", path, partial(_connect, path, clock), _log_unusable)

    def start(self) -> None:
        """Start the worker thread, which opens the file."""
        self._worker.start()
        self._worker.submit(lambda db: None, writes=False)

    def stop(self) -> None:
        """Complete pending calls, then close the file."""
        self._worker.stop()

    async def claim(self, claim: KeyClaim, superseded_origin: str | None = None) -> bool:
        """Claim a key for a run; False if another run has claimed it, which may have taken place.

        A claim of the same origin, or of `superseded_origin`, is replaced: the caller knows that the run
        never took place. Raises StoreError if the claim cannot be recorded; it may be recorded nevertheless.
        """
        superseded = hash_name(superseded_origin) if superseded_origin is not None else b""
        step = partial(
            _claim, claim=claim, superseded=superseded, now_s=self._clock(), max_keys=self._max_keys
        )
        return await self._worker.run(step)

    def release(self, claim: KeyClaim) -> Future[None]:
        """Release the key, unless another run has claimed it since; the run provably never took place.

        Does not wait. The future is done once the release is durable, or has failed, which is logged.
        """
        settled = Future[None]()
        future = self._worker.submit(partial(_release, claim=claim))
        future.add_done_callback(partial(_settle_release, settled))
        return settled


def _connect(path: Path, clock: Callable[[], float]) -> sqlite3.Connection:
    db = database.connect(path, SCHEMA, LOCK_TIMEOUT_S)
    try:
        db.execute(f"PRAGMA wal_autocheckpoint = {LOG_PAGES}")
        _restart_ages(db, clock)
    except sqlite3.Error as error:
        db.close()
        raise database.store_error(error, path) from error
    return db


def _restart_ages(db: sqlite3.Connection, clock: Callable[[], float]) -> None:
    """Count the ages of claims from before a reboot from now on, since the monotonic clock begins anew."""
    db.execute("BEGIN IMMEDIATE")
    try:
        now_s = clock()  # read under the lock: no claim of this boot is later
        db.execute("UPDATE keys SET claimed_s = ? WHERE claimed_s > ?", (now_s, now_s))
        db.execute("COMMIT")
    except BaseException:
        if db.in_transaction:
            db.execute("ROLLBACK")
        raise


def _claim(db: sqlite3.Connection, claim: KeyClaim, superseded: bytes, now_s: float, max_keys: int) -> bool:
    db.execute("DELETE FROM keys WHERE claimed_s <= ?", (now_s - RETENTION_S,))
    row = db.execute("SELECT origin FROM keys WHERE hash = ?", (claim.key_hash,)).fetchone()
    if row is not None and row[0] not in (claim.origin_hash, superseded):
        return False
    if row is None:
        _make_room(db, now_s, max_keys)
    values = (claim.key_hash, claim.run_hash, claim.origin_hash, now_s)
    db.execute("INSERT OR REPLACE INTO keys VALUES (?, ?, ?, ?)", values)
    return True


def _make_room(db: sqlite3.Connection, now_s: float, max_keys: int) -> None:
    """Forget the oldest claim if the file is full; raises StoreError if that is too young."""
    count = db.execute("SELECT count(*) FROM keys").fetchone()[0]
    if count < max_keys:
        return
    oldest = "SELECT hash FROM keys WHERE claimed_s <= ? ORDER BY claimed_s LIMIT ?"
    surplus = (now_s - MIN_RETENTION_S, count - max_keys + 1)
    if db.execute(f"DELETE FROM keys WHERE hash IN ({oldest})", surplus).rowcount < surplus[1]:
        raise StoreError(StoreRejectionReason.MAX_ENTRIES, f"{count} idempotency keys are claimed")


def _release(db: sqlite3.Connection, claim: KeyClaim) -> None:
    db.execute("DELETE FROM keys WHERE hash = ? AND run = ?", (claim.key_hash, claim.run_hash))


def _log_unusable(error: StoreError) -> None:
    log.error("idempotency_keys_closed", why=error.reason.value, error=str(error))


def _settle_release(settled: Future[None], release: Future[None]) -> None:
    error = release.exception()
    if error is not None:
        log.rate_limited("idempotency_key_not_released", error=str(error))
    settled.set_result(None)
