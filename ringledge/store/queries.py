"""What the queue shows to those who only look: what waits, whose turn could be next, the highest token."""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from ringledge.decide.replay.scheduler import QueueHead


@dataclass(slots=True, frozen=True)
class Waiting:
    """What waits of one tenant."""

    tenant: str
    entries: int
    oldest_s: float  # when the oldest came, Unix seconds


def waiting(db: sqlite3.Connection) -> list[Waiting]:
    """What waits, by tenant."""
    count = "SELECT count(*) FROM entries INDEXED BY waiting WHERE state = 0 AND tenant = ?"
    oldest = """SELECT created_s FROM entries INDEXED BY waiting
        WHERE state = 0 AND tenant = ? ORDER BY seq LIMIT 1"""
    return [Waiting(tenant, _first(db, count, tenant), _first(db, oldest, tenant)) for tenant in _tenants(db)]


def heads(db: sqlite3.Connection, each: int) -> list[QueueHead]:
    """The oldest waiting entries of each tenant, so many of each; costs by tenants, not by entries."""
    found = list[QueueHead]()
    oldest = """SELECT name, tenant, work, created_s, safe FROM entries INDEXED BY waiting
        WHERE state = 0 AND tenant = ? ORDER BY seq LIMIT ?"""
    for tenant in _tenants(db):
        rows = db.execute(oldest, (tenant, each)).fetchall()
        found += [
            QueueHead(name, tenant, work, came_s, bool(safe)) for name, tenant, work, came_s, safe in rows
        ]
    return found


def highest(db: sqlite3.Connection) -> int:
    """The highest token that was seen."""
    return int(db.execute("SELECT value FROM meta WHERE name = 'token'").fetchone()[0])


def _tenants(db: sqlite3.Connection) -> Iterator[str]:
    """Tenants with something waiting: a step in the index for each, however much waits."""
    first = "SELECT min(tenant) FROM entries INDEXED BY waiting WHERE state = 0"
    tenant = _first(db, first)
    while tenant is not None:
        yield tenant
        tenant = _first(db, f"{first} AND tenant > ?", tenant)


def _first(db: sqlite3.Connection, told: str, *values: Any) -> Any:
    return db.execute(told, values).fetchone()[0]
