"""Opens SQLite files: checks, migrations between versions, and the conversion of errors.

A file is in WAL mode with full sync: a commit returns once the log is durable, and the checksums of the log
detect a torn write at its end.
"""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ringledge.store.errors import StoreError, StoreRejectionReason

OPEN_RETRY_INTERVAL_S = 0.005


@dataclass(frozen=True, slots=True)
class DatabaseSchema:
    """The schema of one kind of file, as the statements that migrate it from each version to the next."""

    application_id: int  # PRAGMA application_id, which distinguishes the file from other databases
    # By the version that they migrate from, 0 being an empty file. All commit together with the new version.
    migrations: Mapping[int, tuple[str, ...]]

    @property
    def version(self) -> int:
        """The latest version (PRAGMA user_version)."""
        return len(self.migrations)


def connect(path: Path, schema: DatabaseSchema, lock_timeout_s: float) -> sqlite3.Connection:
    """Open the file and create or migrate it if needed; raises StoreError if it cannot be used.

    A file that is corrupt or of a newer version is not modified, since clients rely on what it records.
    Blocks the thread for up to twice `lock_timeout_s` while another process has the file locked.
    """
    deadline_s = time.monotonic() + lock_timeout_s
    while True:
        try:
            return _open(path, schema, lock_timeout_s)
        except StoreError as error:
            # SQLite itself does not wait where another process opens or closes the file.
            if error.reason is not StoreRejectionReason.LOCKED or time.monotonic() >= deadline_s:
                raise
        time.sleep(OPEN_RETRY_INTERVAL_S)


def _open(path: Path, schema: DatabaseSchema, lock_timeout_s: float) -> sqlite3.Connection:
    try:
        path.touch(mode=0o600)  # owner only, since it contains requests of clients
        db = sqlite3.connect(path, timeout=lock_timeout_s, isolation_level=None, check_same_thread=False)
    except (sqlite3.Error, OSError) as error:
        raise _unavailable(str(error), path) from error
    try:
        _prepare(db, path, schema)
    except sqlite3.Error as error:
        db.close()
        raise store_error(error, path) from error
    except StoreError:
        db.close()
        raise
    return db


def store_error(error: sqlite3.Error, path: Path) -> StoreError:
    """Convert an SQLite error to a StoreError, whose reason follows from the primary error code."""
    primary_code = getattr(error, "sqlite_errorcode", 0) & 0xFF
    match primary_code:
        case sqlite3.SQLITE_BUSY | sqlite3.SQLITE_LOCKED:
            return StoreError(StoreRejectionReason.LOCKED, "locked by another process", path)
        case sqlite3.SQLITE_FULL:
            return StoreError(StoreRejectionReason.DISK_FULL, "disk full", path)
        case sqlite3.SQLITE_IOERR:
            return StoreError(StoreRejectionReason.IO_ERROR, f"I/O error: {error}", path)
        case _:
            return _unavailable(str(error), path)


def _prepare(db: sqlite3.Connection, path: Path, schema: DatabaseSchema) -> None:
    """Check that the file belongs to this program and is intact, then migrate it if needed."""
    db.execute("PRAGMA synchronous = FULL")
    application_id = _scalar(db, "PRAGMA application_id")
    if application_id not in (0, schema.application_id):
        raise _unavailable(f"belongs to another program (application_id {application_id})", path)
    if _scalar(db, "PRAGMA journal_mode = WAL") != "wal":
        raise _unavailable("file system does not support WAL mode", path)
    finding = _scalar(db, "PRAGMA quick_check(1)")
    if finding != "ok":
        raise _unavailable(f"integrity check failed: {finding}", path)
    db.execute("BEGIN")
    try:
        version = _checked_version(db, path, schema)
    finally:
        db.execute("ROLLBACK")
    if version < schema.version:
        _migrate(db, path, schema)


def _migrate(db: sqlite3.Connection, path: Path, schema: DatabaseSchema) -> None:
    """Run all migrations in one transaction, so that other processes see the old version or the new one."""
    db.execute("BEGIN IMMEDIATE")
    try:
        # Read the version again under the lock, because another process may have migrated the file.
        for version in range(_checked_version(db, path, schema), schema.version):
            for statement in schema.migrations[version]:
                db.execute(statement)
            db.execute(f"PRAGMA user_version = {version + 1}")
        db.execute(f"PRAGMA application_id = {schema.application_id}")
        db.execute("COMMIT")
    except BaseException:
        if db.in_transaction:
            db.execute("ROLLBACK")
        raise


def _checked_version(db: sqlite3.Connection, path: Path, schema: DatabaseSchema) -> int:
    """Return the schema version; raises StoreError if it is too new, or missing in an existing database.

    Call it in a transaction: another process may create the schema between two statements.
    """
    version: int = _scalar(db, "PRAGMA user_version")
    if version > schema.version:
        message = f"schema version {version} is above {schema.version}, the latest supported; not modified"
        raise _unavailable(message, path)
    if version == 0 and _scalar(db, "SELECT count(*) FROM sqlite_schema"):
        raise _unavailable("database without a schema version, not created by this program", path)
    return version


def _unavailable(message: str, path: Path) -> StoreError:
    return StoreError(StoreRejectionReason.UNAVAILABLE, message, path)


def _scalar(db: sqlite3.Connection, query: str) -> Any:
    """Return the first column of the first row."""
    return db.execute(query).fetchone()[0]
