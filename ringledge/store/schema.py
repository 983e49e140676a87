"""The queue's SQLite file: its schema, and the migrations between its versions.

    meta     name-value pairs; 'token' is the highest fencing token of the replay lease
    entries  one row per entry; `seq` is the order of arrival, `seal` a checksum over all other columns
    totals   one row per tenant with its number of entries that have not ended, and the bytes of all its
             entries; maintained by triggers, so that limits are checked without a scan and match the rows

Pages of the file have no checksum; the column `seal` detects corrupt rows.
"""

from __future__ import annotations

import sqlite3
from pathlib import Path

from ringledge.store import database

APPLICATION_ID = 0x52_4C_51_31  # PRAGMA application_id, "RLQ1"; distinguishes the file from other databases

# Statements by the version that they migrate from.
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
SCHEMA_VERSION = len(MIGRATIONS)
SCHEMA = database.DatabaseSchema(APPLICATION_ID, MIGRATIONS)


def connect(path: Path, lock_timeout_s: float) -> sqlite3.Connection:
    """Open the queue's file and create or migrate it if needed; raises StoreError if it cannot be used."""
    return database.connect(path, SCHEMA, lock_timeout_s)
