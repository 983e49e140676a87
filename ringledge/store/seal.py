"""Conversion between entries and rows with a checksum, which detects rows that are corrupt on the disk.

SQLite's own checksums cover the write-ahead log but not the pages of the file, so each row has a checksum in
the column `seal`.
"""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b
from typing import Any

import msgspec

from ringledge.store.entry import Entry, EntryOutcome, EntryState, QueuedRequest

COLUMNS = (
    "name, tenant, kind, safe, question, work, created_s, expires_s, state, token, attempts, ended_s, end, "
    "answer, key"
)
CHECKSUM_BYTES = 12  # detects corruption, not forgery, since the checksum has no key

Row = tuple[Any, ...]  # the values of COLUMNS, in some cases followed by the checksum


class CorruptRowError(Exception):
    """A row does not match its checksum; the message is the entry's name as read."""


def to_row(entry: Entry) -> Row:
    """Convert an entry to a row with its checksum."""
    request = entry.request
    row = (
        request.name,
        request.tenant,
        request.request_class,
        int(request.idempotent),
        request.body,
        float(request.estimated_tokens),
        float(request.created_s),
        float(request.expires_s),
        int(entry.state),
        entry.token,
        entry.attempts,
        entry.ended_s,
        None if entry.outcome is None else entry.outcome.value,
        entry.response,
        request.idempotency_key,
    )
    return (*row, row_checksum(row))


def from_row(checksummed_row: Row) -> Entry:
    """Convert a row with its checksum to an entry; raises CorruptRowError if they do not match."""
    *columns, checksum = checksummed_row
    try:
        if row_checksum(tuple(columns)) != checksum:
            raise CorruptRowError(str(columns[0]))
        return _entry(columns)
    except (ValueError, TypeError) as error:
        raise CorruptRowError(str(checksummed_row[0])) from error


def row_checksum(row: Row) -> bytes:
    """Return the checksum over the values of a row.

    A missing idempotency key is not included, so that the checksums of rows from version 1, which had no such
    column, remain valid.
    """
    values = row if row[-1] is not None else row[:-1]
    return blake2b(msgspec.msgpack.encode(values), digest_size=CHECKSUM_BYTES).digest()


def _entry(columns: Sequence[Any]) -> Entry:
    """Convert column values to an entry; raises ValueError or TypeError if one of them is invalid."""
    name, tenant, request_class, idempotent, body, estimated_tokens, created_s, expires_s, *progress = columns
    state, token, attempts, ended_s, outcome, response, idempotency_key = progress
    request = QueuedRequest(
        name=name,
        tenant=tenant,
        request_class=request_class,
        idempotent=bool(idempotent),
        body=body,
        estimated_tokens=estimated_tokens,
        created_s=created_s,
        expires_s=expires_s,
        idempotency_key=idempotency_key,
    )
    return Entry(
        request=request,
        state=EntryState(state),
        token=token,
        attempts=attempts,
        ended_s=ended_s,
        outcome=None if outcome is None else EntryOutcome(outcome),
        response=response,
    )
