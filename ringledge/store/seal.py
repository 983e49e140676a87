"""Mapping of entries to sealed rows: a row whose checksum does not match is reported, never trusted.

SQLite's checksums cover the write-ahead log but not the pages of the file, hence a checksum for each row.
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
CHECKSUM_BYTES = 12  # detects corruption, not forgery: whoever can write the file can also write a seal

Row = tuple[Any, ...]  # the values of COLUMNS; "sealed": followed by the seal


class CorruptRowError(Exception):
    """A row does not match its seal; the message is the row's name as read."""


def to_row(entry: Entry) -> Row:
    """The sealed row of an entry."""
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


def from_row(sealed_row: Row) -> Entry:
    """The entry of a sealed row; CorruptRowError if any byte differs from what was written."""
    *columns, seal = sealed_row
    try:
        if row_checksum(tuple(columns)) != seal:
            raise CorruptRowError(str(columns[0]))
        return _entry(columns)
    except (ValueError, TypeError) as error:
        raise CorruptRowError(str(sealed_row[0])) from error


def row_checksum(row: Row) -> bytes:
    """The checksum over a row's values.

    An absent idempotency key is left out, so that rows of version 1, which had no such column, keep theirs.
    """
    sealed_values = row if row[-1] is not None else row[:-1]
    return blake2b(msgspec.msgpack.encode(sealed_values), digest_size=CHECKSUM_BYTES).digest()


def _entry(columns: Sequence[Any]) -> Entry:
    """Convert column values; ValueError or TypeError where they are none of an entry."""
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
