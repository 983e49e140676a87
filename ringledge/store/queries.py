"""Read-only queries on the queue's file: entries, backlog by tenant, and the highest fencing token."""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from ringledge.decide.replay.scheduler import QueueHead
from ringledge.store.entry import Entry, EntryOutcome, EntryState, QueuedRequest
from ringledge.store.seal import COLUMNS, CorruptRowError, from_row

CORRUPT_ENTRY_MESSAGE = b"the entry is spoilt on the disk; it may have run"


@dataclass(slots=True, frozen=True)
class TenantBacklog:
    """The waiting entries of one tenant."""

    tenant: str
    entries: int
    oldest_created_s: float  # Unix seconds


def get_entry(db: sqlite3.Connection, name: str) -> Entry | None:
    """Return an entry, or None; a corrupt one is returned as ended with an unknown outcome."""
    row = db.execute(f"SELECT {COLUMNS}, seal FROM entries WHERE name = ?", (name,)).fetchone()
    if row is None:
        return None
    try:
        return from_row(row)
    except CorruptRowError:
        tenant, request_class = (value if isinstance(value, str) else "" for value in row[1:3])
        return _corrupt_entry(name, tenant, request_class)


def find_by_idempotency_key(db: sqlite3.Connection, tenant: str, idempotency_key: str) -> Entry | None:
    """Return the entry that the tenant has enqueued with an idempotency key, or None."""
    name = name_by_idempotency_key(db, tenant, idempotency_key)
    return None if name is None else get_entry(db, name)


def name_by_idempotency_key(db: sqlite3.Connection, tenant: str, idempotency_key: str) -> str | None:
    """Return the name of the entry that the tenant has enqueued with an idempotency key, or None."""
    query = "SELECT name FROM entries WHERE tenant = ? AND key = ?"
    row = db.execute(query, (tenant, idempotency_key)).fetchone()
    return None if row is None else row[0]


def backlog_by_tenant(db: sqlite3.Connection) -> list[TenantBacklog]:
    """Return the backlog of each tenant that has waiting entries."""
    count = "SELECT count(*) FROM entries INDEXED BY waiting WHERE state = 0 AND tenant = ?"
    oldest = """SELECT created_s FROM entries INDEXED BY waiting
        WHERE state = 0 AND tenant = ? ORDER BY seq LIMIT 1"""
    return [
        TenantBacklog(tenant, _scalar(db, count, tenant), _scalar(db, oldest, tenant))
        for tenant in _waiting_tenants(db)
    ]


def oldest_entries(db: sqlite3.Connection, per_tenant: int) -> list[QueueHead]:
    """Return the oldest waiting entries, up to `per_tenant` of each tenant.

    The cost depends on the number of tenants, but not on the number of entries.
    """
    heads = list[QueueHead]()
    oldest = """SELECT name, tenant, work, created_s, safe FROM entries INDEXED BY waiting
        WHERE state = 0 AND tenant = ? ORDER BY seq LIMIT ?"""
    for tenant in _waiting_tenants(db):
        rows = db.execute(oldest, (tenant, per_tenant)).fetchall()
        heads += [
            QueueHead(name, tenant, estimated_tokens, created_s, bool(idempotent))
            for name, tenant, estimated_tokens, created_s, idempotent in rows
        ]
    return heads


def highest_token(db: sqlite3.Connection) -> int:
    """Return the highest fencing token that is recorded in the file."""
    return int(_scalar(db, "SELECT value FROM meta WHERE name = 'token'"))


def _corrupt_entry(name: str, tenant: str, request_class: str) -> Entry:
    request = QueuedRequest(
        name,
        tenant,
        request_class,
        idempotent=False,
        body=b"",
        estimated_tokens=0.0,
        created_s=0.0,
        expires_s=0.0,
    )
    return Entry(
        request,
        EntryState.ENDED,
        token=0,
        attempts=0,
        ended_s=0.0,
        outcome=EntryOutcome.UNKNOWN,
        response=CORRUPT_ENTRY_MESSAGE,
    )


def _waiting_tenants(db: sqlite3.Connection) -> Iterator[str]:
    """Iterate over tenants with waiting entries, by one index seek per tenant (a loose index scan)."""
    first = "SELECT min(tenant) FROM entries INDEXED BY waiting WHERE state = 0"
    tenant = _scalar(db, first)
    while tenant is not None:
        yield tenant
        tenant = _scalar(db, f"{first} AND tenant > ?", tenant)


def _scalar(db: sqlite3.Connection, query: str, *values: Any) -> Any:
    """Return the first column of the first row."""
    return db.execute(query, values).fetchone()[0]
