"""What the tests of the queue share."""

from __future__ import annotations

import sqlite3
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import TypeVar

import pytest

from ringledge.store import schema
from ringledge.store.admission import QueueLimits
from ringledge.store.entry import QueuedRequest

T = TypeVar("T")
LIMITS = QueueLimits(max_entries=100, max_bytes=100_000, tenant_quota=0.5, max_entry_bytes=10_000)
NOW_S = 1_000.0


def asked(
    name: str, tenant: str = "farm", safe: bool = True, key: str | None = None, size: int = 10
) -> QueuedRequest:
    kind = "query" if safe else "booking"
    return QueuedRequest(name, tenant, kind, safe, b"?" * size, 10.0, NOW_S, NOW_S + 100, key)


def within(db: sqlite3.Connection, step: Callable[[sqlite3.Connection], T]) -> T:
    """A step in a transaction of its own, as the worker has it."""
    db.execute("BEGIN IMMEDIATE")
    try:
        told = step(db)
        db.execute("COMMIT")
        return told
    except BaseException:
        if db.in_transaction:
            db.execute("ROLLBACK")
        raise


@pytest.fixture
def db(tmp_path: Path) -> Iterator[sqlite3.Connection]:
    opened = schema.connect(tmp_path / "queue.db", 1.0)
    yield opened
    opened.close()
