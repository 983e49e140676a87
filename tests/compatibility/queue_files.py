"""Writes queue files: one of version 2 with an entry in each state, and one of version 1."""

from __future__ import annotations

import sqlite3
import tempfile
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path

from ringledge.store import schema, seal, transitions
from ringledge.store.admission import QueueLimits
from ringledge.store.entry import Entry, EntryOutcome, EntryState, QueuedRequest

NOW_S = 1_000.0
TOKEN = 7
LIMITS = QueueLimits(max_entries=100, max_bytes=100_000, tenant_quota=0.5, max_entry_bytes=10_000)

ENTRIES = (
    QueuedRequest("waits", "farm", "query", True, b"question 1", 10.0, NOW_S, NOW_S + 9000, "key-1"),
    QueuedRequest("withdrawn", "farm", "query", True, b"question 2", 20.5, NOW_S, NOW_S + 9000),
    QueuedRequest("begun", "farm", "booking", False, b"question 3", 30.0, NOW_S, NOW_S + 9000),
    QueuedRequest("served", "fish", "query", True, b"question 4", 40.0, NOW_S, NOW_S + 9000),
    QueuedRequest("failed", "fish", "query", True, b"question 5", 50.0, NOW_S, NOW_S + 9000),
    QueuedRequest("unknown", "fish", "booking", False, b"question 6", 60.0, NOW_S, NOW_S + 9000),
    QueuedRequest("expired", "rail", "query", True, b"question 7", 70.0, NOW_S, NOW_S + 5, "key-7"),
    QueuedRequest("again", "rail", "query", True, b"question 8", 80.0, NOW_S, NOW_S + 9000),
)


def _in_transaction(db: sqlite3.Connection, step: Callable[[sqlite3.Connection], object]) -> None:
    db.execute("BEGIN IMMEDIATE")
    step(db)
    db.execute("COMMIT")


def fill(db: sqlite3.Connection) -> None:
    """Brings each entry to the state that it is named after, with the transitions of the program."""
    for request in ENTRIES:
        _in_transaction(db, partial(transitions.enqueue, request=request, now_s=NOW_S, limits=LIMITS))
    _in_transaction(db, lambda db: transitions.withdraw(db, "withdrawn", NOW_S + 1))
    _in_transaction(db, lambda db: transitions.adopt(db, TOKEN, NOW_S + 2))
    for name in ("begun", "served", "failed", "unknown", "again"):
        _in_transaction(db, partial(transitions.begin_attempt, name=name, token=TOKEN, now_s=NOW_S + 3))
    _in_transaction(
        db, lambda db: transitions.complete(db, "served", TOKEN, EntryOutcome.SERVED, b"an answer", NOW_S + 4)
    )
    _in_transaction(db, lambda db: transitions.record_failed_attempt(db, "failed", TOKEN, True, 1, NOW_S + 4))
    _in_transaction(
        db, lambda db: transitions.record_failed_attempt(db, "unknown", TOKEN, True, 8, NOW_S + 4)
    )
    _in_transaction(db, lambda db: transitions.record_failed_attempt(db, "again", TOKEN, False, 8, NOW_S + 4))
    _in_transaction(db, lambda db: transitions.expire(db, NOW_S + 6))


def write_current(path: Path) -> None:
    """Writes a queue file with the current program."""
    db = schema.connect(path, 1.0)
    fill(db)
    db.execute("PRAGMA journal_mode = DELETE")  # moves the write-ahead log into the file
    db.close()


def write_version_1(path: Path) -> None:
    """Writes a file of version 1, which has no idempotency keys and no totals."""
    db = sqlite3.connect(path, isolation_level=None)
    for statement in schema.MIGRATIONS[0]:
        db.execute(statement)
    db.execute("PRAGMA user_version = 1")
    db.execute(f"PRAGMA application_id = {schema.APPLICATION_ID}")
    columns = seal.COLUMNS.removesuffix(", key")
    placeholders = ", ".join("?" * (len(columns.split(",")) + 1))
    for request in ENTRIES[:3]:
        begun = request.name == "begun"
        keyless = replace(request, idempotency_key=None)
        entry = Entry(
            keyless, EntryState.BEGUN if begun else EntryState.WAITING, TOKEN if begun else 0, int(begun)
        )
        *row, _, sealed = seal.to_row(entry)
        db.execute(f"INSERT INTO entries ({columns}, seal) VALUES ({placeholders})", (*row, sealed))
    db.execute("UPDATE meta SET value = ? WHERE name = 'token'", (TOKEN,))
    db.close()


def dump(path: Path) -> str:
    """The contents of a file as SQL, with its version and application id."""
    db = sqlite3.connect(f"{path.as_uri()}?mode=ro&immutable=1", uri=True)
    lines = [
        f"PRAGMA {name} = {db.execute(f'PRAGMA {name}').fetchone()[0]};"
        for name in ("user_version", "application_id")
    ]
    text = "\n".join([*lines, *db.iterdump()]) + "\n"
    db.close()
    return text


def write_queues() -> dict[str, bytes]:
    """The golden files, by name."""
    with tempfile.TemporaryDirectory() as folder:
        current, old = Path(folder) / "queue.db", Path(folder) / "old.db"
        write_current(current)
        write_version_1(old)
        return {
            "queue-2.db": current.read_bytes(),
            "queue-1.db": old.read_bytes(),
            "queue-2.sql": dump(current).encode(),
            "queue-1.sql": dump(old).encode(),
        }
