"""Admission control of the durable queue: limits on entries, bytes, a tenant's quota and disk space."""

from __future__ import annotations

import sqlite3
from dataclasses import dataclass

from ringledge.store.entry import QueuedRequest, QueueError, QueueRejectionReason

RESERVED_DISK_BYTES = 4 * 1024 * 1024  # not used by new entries, so that present ones can still begin and end

TOTALS = "SELECT coalesce(sum(entries), 0), coalesce(sum(bytes), 0) FROM totals"


@dataclass(slots=True, frozen=True)
class QueueLimits:
    """Upper bounds on what is queued."""

    max_entries: int  # waiting or begun
    max_bytes: int  # of bodies and responses, those of ended entries included
    tenant_quota: float  # fraction of both that one tenant may use
    max_entry_bytes: int  # of one body


def check_limits(
    db: sqlite3.Connection,
    request: QueuedRequest,
    now_s: float,
    limits: QueueLimits,
    free_disk_bytes: float,
) -> None:
    """Raise QueueError with the first limit that rejects the request."""
    size = len(request.body)
    if request.expires_s <= now_s:
        raise QueueError(
            QueueRejectionReason.ALREADY_EXPIRED,
            "it would have expired before it was sent",
        )
    if size > limits.max_entry_bytes:
        raise QueueError(
            QueueRejectionReason.TOO_LARGE,
            f"{size} bytes; {limits.max_entry_bytes} are allowed",
        )
    _check_totals(db, size, limits)
    _check_tenant_quota(db, request.tenant, size, limits)
    # Each byte is written twice: to the write-ahead log, then to the file.
    if min(free_disk_bytes, _growable_bytes(db)) < RESERVED_DISK_BYTES + 2 * size:
        raise QueueError(QueueRejectionReason.DISK_FULL, "little room is left on the disk")


def _check_totals(db: sqlite3.Connection, size: int, limits: QueueLimits) -> None:
    entries, stored_bytes = db.execute(TOTALS).fetchone()
    if entries >= limits.max_entries:
        raise QueueError(QueueRejectionReason.MAX_ENTRIES, f"{entries} entries are queued")
    if stored_bytes + size > limits.max_bytes:
        raise QueueError(QueueRejectionReason.MAX_BYTES, f"{stored_bytes} bytes are kept")


def _check_tenant_quota(db: sqlite3.Connection, tenant: str, size: int, limits: QueueLimits) -> None:
    entries, stored_bytes = db.execute(TOTALS + " WHERE tenant = ?", (tenant,)).fetchone()
    max_entries = limits.max_entries * limits.tenant_quota
    max_bytes = limits.max_bytes * limits.tenant_quota
    if entries >= max_entries or stored_bytes + size > max_bytes:
        raise QueueError(
            QueueRejectionReason.TENANT_QUOTA,
            f"this tenant has {entries} entries of {stored_bytes} bytes",
        )


def _growable_bytes(db: sqlite3.Connection) -> int:
    """Bytes by which the file may still grow under SQLite's own limit of pages."""
    pragmas = (
        "SELECT * FROM pragma_max_page_count, pragma_page_count, pragma_freelist_count, pragma_page_size"
    )
    max_pages, pages, free_pages, page_bytes = db.execute(pragmas).fetchone()
    return int((max_pages - pages + free_pages) * page_bytes)
