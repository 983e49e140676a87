"""Admission control of the durable queue: limits on entries, bytes, tenant quotas and disk space."""

from __future__ import annotations

import sqlite3
from dataclasses import dataclass

from ringledge.store.entry import QueuedRequest
from ringledge.store.errors import StoreError, StoreRejectionReason

RESERVED_DISK_BYTES = 4 * 1024 * 1024  # kept free so that existing entries can still begin and end

TOTALS_QUERY = "SELECT coalesce(sum(entries), 0), coalesce(sum(bytes), 0) FROM totals"


@dataclass(slots=True, frozen=True)
class QueueLimits:
    """Limits on the queue's contents."""

    max_entries: int  # entries that wait or have begun
    max_bytes: int  # bodies and responses, including those of ended entries
    tenant_quota: float  # fraction of both limits that one tenant may use
    max_entry_bytes: int  # size of one body


def check_limits(
    db: sqlite3.Connection,
    request: QueuedRequest,
    now_s: float,
    limits: QueueLimits,
    free_disk_bytes: float,
) -> None:
    """Raise StoreError for the first limit that the request exceeds."""
    size = len(request.body)
    if request.expires_s <= now_s:
        raise StoreError(
            StoreRejectionReason.ALREADY_EXPIRED,
            "request has already expired",
        )
    if size > limits.max_entry_bytes:
        raise StoreError(
            StoreRejectionReason.TOO_LARGE,
            f"{size} bytes in the request body exceed the limit of {limits.max_entry_bytes} bytes",
        )
    _check_totals(db, size, limits)
    _check_tenant_quota(db, request.tenant, size, limits)
    # SQLite writes each byte twice: to the write-ahead log and then to the file.
    if min(free_disk_bytes, _growable_bytes(db)) < RESERVED_DISK_BYTES + 2 * size:
        raise StoreError(StoreRejectionReason.DISK_FULL, "free disk space would fall below the reserve")


def _check_totals(db: sqlite3.Connection, size: int, limits: QueueLimits) -> None:
    entries, stored_bytes = db.execute(TOTALS_QUERY).fetchone()
    if entries >= limits.max_entries:
        raise StoreError(StoreRejectionReason.MAX_ENTRIES, f"{entries} entries are queued, limit reached")
    if stored_bytes + size > limits.max_bytes:
        raise StoreError(
            StoreRejectionReason.MAX_BYTES, f"{stored_bytes} bytes are stored, limit would be exceeded"
        )


def _check_tenant_quota(db: sqlite3.Connection, tenant: str, size: int, limits: QueueLimits) -> None:
    entries, stored_bytes = db.execute(TOTALS_QUERY + " WHERE tenant = ?", (tenant,)).fetchone()
    max_entries = limits.max_entries * limits.tenant_quota
    max_bytes = limits.max_bytes * limits.tenant_quota
    if entries >= max_entries or stored_bytes + size > max_bytes:
        raise StoreError(
            StoreRejectionReason.TENANT_QUOTA,
            f"tenant quota exceeded: {entries} entries with {stored_bytes} bytes",
        )


def _growable_bytes(db: sqlite3.Connection) -> int:
    """Return the bytes by which the file can grow within SQLite's page limit."""
    pragmas = (
        "SELECT * FROM pragma_max_page_count, pragma_page_count, pragma_freelist_count, pragma_page_size"
    )
    max_pages, pages, free_pages, page_bytes = db.execute(pragmas).fetchone()
    return int((max_pages - pages + free_pages) * page_bytes)
