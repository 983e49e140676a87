"""Fixtures and builders shared by the tests of the queue."""

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
LIFETIME_S = 100.0


def queued_request(
    name: str,
    tenant: str = "farm",
    idempotent: bool = True,
    idempotency_key: str | None = None,
    size: int = 10,
) -> QueuedRequest:
    """Return a request created at NOW_S with a body of `size` bytes."""
    return QueuedRequest(
        name=name,
        tenant=tenant,
        request_class="query" if idempotent else "booking",
        idempotent=idempotent,
        body=b"?" * size,
        estimated_tokens=10.0,
        created_s=NOW_S,
        expires_s=NOW_S + LIFETIME_S,
        idempotency_key=idempotency_key,
    )


def in_transaction(db: sqlite3.Connection, step: Callable[[sqlite3.Connection], T]) -> T:
    """Run a step in its own transaction, as the database worker does."""
    db.execute("BEGIN IMMEDIATE")
    try:
        result = step(db)
        db.execute("COMMIT")
        return result
    except BaseException:
        if db.in_transaction:
            db.execute("ROLLBACK")
        raise


@pytest.fixture
def db(tmp_path: Path) -> Iterator[sqlite3.Connection]:
    connection = schema.connect(tmp_path / "queue.db", 1.0)
    yield connection
    connection.close()
