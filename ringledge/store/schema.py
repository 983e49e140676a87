"""The file: its tables, its version and the steps to it, and what is wrong with one that can't be used.

    meta     name, value        'token': the highest token of the replay duty that was seen
    entries  one row an entry; `seq` is the order of arrival, `seal` covers all other columns
    totals   one row a tenant: its entries that have not ended, its bytes, ended ones too; kept by triggers,
             so that limits cost no walk and can't drift from the rows

The file is in WAL mode with full sync: a commit returns once the log is on the disk, and a torn last write of
the log is found by its checksums. Pages of the file have none, so each row is sealed: a spoilt byte is never
believed.
"""

from __future__ import annotations

import sqlite3
from pathlib import Path
from typing import Any

from ringledge.store.entry import QueueError, QueueRejectionReason

VERSION = 2  # PRAGMA user_version
MAGIC = 0x52_4C_51_31  # PRAGMA application_id: "RLQ1", so that another program's file is not taken for ours

# By the version that they lead from. A step runs in one transaction with the change of the version.
STEPS: dict[int, tuple[str, ...]] = {
    0: (
        "CREATE TABLE meta (name TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID",
        """CREATE TABLE entries (
            seq INTEGER PRIMARY KEY AUTOINCREMENT, name TEXT NOT NULL UNIQUE, tenant TEXT NOT NULL,
            kind TEXT NOT NULL, safe INTEGER NOT NULL, question BLOB NOT NULL, work REAL NOT NULL,
            created_s REAL NOT NULL, expires_s REAL NOT NULL, state INTEGER NOT NULL, token INTEGER NOT NULL,
            attempts INTEGER NOT NULL, ended_s REAL, end TEXT, answer BLOB, seal BLOB NOT NULL)""",
        "CREATE INDEX waiting ON entries (tenant, seq) WHERE state = 0",
        "CREATE INDEX under_way ON entries (seq) WHERE state = 1",
        "CREATE INDEX expiring ON entries (expires_s) WHERE state = 0",
        "CREATE INDEX ended ON entries (ended_s) WHERE state = 2",
        "INSERT INTO meta VALUES ('token', 0)",
    ),
    # Version 2: idempotency keys, and totals by tenant in place of a count at each enqueue.
    1: (
        "ALTER TABLE entries ADD COLUMN key TEXT",
        "CREATE UNIQUE INDEX by_key ON entries (tenant, key) WHERE key IS NOT NULL",
        """CREATE TABLE totals (
            tenant TEXT PRIMARY KEY, entries INTEGER NOT NULL, bytes INTEGER NOT NULL) WITHOUT ROWID""",
        """INSERT INTO totals SELECT
                tenant, sum(state < 2), sum(length(question) + coalesce(length(answer), 0))
            FROM entries GROUP BY tenant""",
        """CREATE TRIGGER entered AFTER INSERT ON entries BEGIN
            INSERT INTO totals VALUES (new.tenant, new.state < 2, length(new.question))
            ON CONFLICT (tenant) DO UPDATE SET
                entries = entries + excluded.entries, bytes = bytes + excluded.bytes;
        END""",
        """CREATE TRIGGER moved AFTER UPDATE OF state, answer, question ON entries BEGIN
            UPDATE totals SET entries = entries + (new.state < 2) - (old.state < 2),
                bytes = bytes + length(new.question) - length(old.question)
                    + coalesce(length(new.answer), 0) - coalesce(length(old.answer), 0)
            WHERE tenant = new.tenant;
        END""",
        """CREATE TRIGGER removed AFTER DELETE ON entries BEGIN
            UPDATE totals SET entries = entries - (old.state < 2),
                bytes = bytes - length(old.question) - coalesce(length(old.answer), 0)
            WHERE tenant = old.tenant;
        END""",
    ),
}


def connect(path: Path, busy_s: float, checked: bool = True) -> sqlite3.Connection:
    """Open the file, make or bring it up to date where needed; StoreError where it can't be used.

    A file that is spoilt or of a newer version is left exactly as it is: 202s were given for what it holds.
    """
    try:
        path.touch(mode=0o600)  # questions are their clients' own
        db = sqlite3.connect(path, timeout=busy_s, isolation_level=None, check_same_thread=False)
    except (sqlite3.Error, OSError) as error:
        raise QueueError(QueueRejectionReason.UNAVAILABLE, f"{path}: {error}") from error
    try:
        _prepare(db, path, checked)
    except sqlite3.Error as error:
        db.close()
        raise queue_error(error, path) from error
    except QueueError:
        db.close()
        raise
    return db


def _prepare(db: sqlite3.Connection, path: Path, checked: bool) -> None:
    db.execute("PRAGMA synchronous = FULL")
    if (mine := _one(db, "PRAGMA application_id")) not in (0, MAGIC):
        raise QueueError(
            QueueRejectionReason.UNAVAILABLE, f"{path}: another program's database (application_id {mine})"
        )
    if _one(db, "PRAGMA journal_mode = WAL") != "wal":
        raise QueueError(
            QueueRejectionReason.UNAVAILABLE, f"{path}: its file system allows no write-ahead log"
        )
    if checked and (found := _one(db, "PRAGMA quick_check(1)")) != "ok":
        raise QueueError(QueueRejectionReason.UNAVAILABLE, f"{path}: spoilt: {found}")
    if _version(db, path) < VERSION:
        _bring_up(db, path)


def _bring_up(db: sqlite3.Connection, path: Path) -> None:
    """All steps in one transaction: another process sees the old version or the new one."""
    db.execute("BEGIN IMMEDIATE")
    try:
        for version in range(_version(db, path), VERSION):  # read again: another process may have been first
            for statement in STEPS[version]:
                db.execute(statement)
            db.execute(f"PRAGMA user_version = {version + 1}")
        db.execute(f"PRAGMA application_id = {MAGIC}")
        db.execute("COMMIT")
    except BaseException:
        if db.in_transaction:
            db.execute("ROLLBACK")
        raise


def _version(db: sqlite3.Connection, path: Path) -> int:
    version: int = _one(db, "PRAGMA user_version")
    if version > VERSION:
        text = f"{path}: of version {version}, this program knows {VERSION} at most; it is left as it is"
        raise QueueError(QueueRejectionReason.UNAVAILABLE, text)
    if version == 0 and _one(db, "SELECT count(*) FROM sqlite_schema"):
        raise QueueError(
            QueueRejectionReason.UNAVAILABLE,
            f"{path}: a database without a version: not one of this program's",
        )
    return version


def _one(db: sqlite3.Connection, text: str) -> Any:
    return db.execute(text).fetchone()[0]


def queue_error(error: sqlite3.Error, path: Path) -> QueueError:
    """What went wrong, by what can be done about it."""
    code = getattr(error, "sqlite_errorcode", 0) & 0xFF
    if code in (sqlite3.SQLITE_BUSY, sqlite3.SQLITE_LOCKED):
        return QueueError(QueueRejectionReason.LOCKED, f"{path}: another process holds it")
    if code == sqlite3.SQLITE_FULL:
        return QueueError(QueueRejectionReason.DISK_FULL, f"{path}: no room on the disk")
    if code == sqlite3.SQLITE_IOERR:
        return QueueError(QueueRejectionReason.IO_ERROR, f"{path}: the disk failed: {error}")
    return QueueError(QueueRejectionReason.UNAVAILABLE, f"{path}: {error}")
