"""The queue's SQLite file: schema, migrations between its versions, and checks when the file is opened.

    meta     name-value pairs; 'token' is the highest fencing token of the replay lease
    entries  one row per entry; `seq` is the order of arrival, `seal` a checksum over all other columns
    totals   one row per tenant with its number of entries that have not ended, and the bytes of all its
             entries; maintained by triggers, so that limits are checked without a scan and match the rows

The file is in WAL mode with full sync: a commit returns once the log is durable, and the checksums of the log
detect a torn write at its end. Pages of the file have no checksum; the column `seal` detects corrupt rows.
"""

from __future__ import annotations

import sqlite3
from pathlib import Path
from typing import Any

from ringledge.store.entry import QueueError, QueueRejectionReason

SCHEMA_VERSION = 2  # PRAGMA user_version
APPLICATION_ID = 0x52_4C_51_31  # PRAGMA application_id, "RLQ1"; distinguishes the file from other databases

# Statements by the version that they migrate from. All migrations and the new version commit together.
MIGRATIONS: dict[int, tuple[str, ...]] = {
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
    # Version 2 adds idempotency keys, and totals by tenant, which replace a count at each enqueue.
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


def connect(path: Path, lock_timeout_s: float) -> sqlite3.Connection:
    """Open the file and create or migrate it if needed; raises QueueError if it cannot be used.

    A file that is corrupt or of a newer version is not modified, since its entries were answered with 202.
    """
    try:
        path.touch(mode=0o600)  # owner only, since it contains requests of clients
        db = sqlite3.connect(path, timeout=lock_timeout_s, isolation_level=None, check_same_thread=False)
    except (sqlite3.Error, OSError) as error:
        raise _unavailable(str(error), path) from error
    try:
        _prepare(db, path)
    except sqlite3.Error as error:
        db.close()
        raise queue_error(error, path) from error
    except QueueError:
        db.close()
        raise
    return db


def queue_error(error: sqlite3.Error, path: Path) -> QueueError:
    """Convert an SQLite error to a QueueError, whose reason follows from the primary error code."""
    primary_code = getattr(error, "sqlite_errorcode", 0) & 0xFF
    match primary_code:
        case sqlite3.SQLITE_BUSY | sqlite3.SQLITE_LOCKED:
            return QueueError(QueueRejectionReason.LOCKED, "locked by another process", path)
        case sqlite3.SQLITE_FULL:
            return QueueError(QueueRejectionReason.DISK_FULL, "disk full", path)
        case sqlite3.SQLITE_IOERR:
            return QueueError(QueueRejectionReason.IO_ERROR, f"I/O error: {error}", path)
        case _:
            return _unavailable(str(error), path)


def _prepare(db: sqlite3.Connection, path: Path) -> None:
    """Check that the file belongs to this program and is intact, then migrate it if needed."""
    db.execute("PRAGMA synchronous = FULL")
    application_id = _scalar(db, "PRAGMA application_id")
    if application_id not in (0, APPLICATION_ID):
        raise _unavailable(f"belongs to another program (application_id {application_id})", path)
    if _scalar(db, "PRAGMA journal_mode = WAL") != "wal":
        raise _unavailable("file system does not support WAL mode", path)
    finding = _scalar(db, "PRAGMA quick_check(1)")
    if finding != "ok":
        raise _unavailable(f"integrity check failed: {finding}", path)
    if _checked_version(db, path) < SCHEMA_VERSION:
        _migrate(db, path)


def _migrate(db: sqlite3.Connection, path: Path) -> None:
    """Run all migrations in one transaction, so that other processes see the old version or the new one."""
    db.execute("BEGIN IMMEDIATE")
    try:
        # Read the version again under the lock, because another process may have migrated the file.
        for version in range(_checked_version(db, path), SCHEMA_VERSION):
            for statement in MIGRATIONS[version]:
                db.execute(statement)
            db.execute(f"PRAGMA user_version = {version + 1}")
        db.execute(f"PRAGMA application_id = {APPLICATION_ID}")
        db.execute("COMMIT")
    except BaseException:
        if db.in_transaction:
            db.execute("ROLLBACK")
        raise


def _checked_version(db: sqlite3.Connection, path: Path) -> int:
    """Return the schema version; raises QueueError if it is too new, or missing in an existing database."""
    version: int = _scalar(db, "PRAGMA user_version")
    if version > SCHEMA_VERSION:
        message = f"schema version {version} is above {SCHEMA_VERSION}, the latest supported; not modified"
        raise _unavailable(message, path)
    if version == 0 and _scalar(db, "SELECT count(*) FROM sqlite_schema"):
        raise _unavailable("database without a schema version, not created by this program", path)
    return version


def _unavailable(message: str, path: Path) -> QueueError:
    return QueueError(QueueRejectionReason.UNAVAILABLE, message, path)


def _scalar(db: sqlite3.Connection, query: str) -> Any:
    """Return the first column of the first row."""
    return db.execute(query).fetchone()[0]
