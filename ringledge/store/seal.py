"""Rows and their seals: what was written is what is read, or it is not believed."""

from __future__ import annotations

from hashlib import blake2b
from typing import Any

import msgspec

from ringledge.store.entry import Asked, End, Entry, State

COLUMNS = (
    "name, tenant, kind, safe, question, work, created_s, expires_s, state, token, attempts, ended_s, end, "
    "answer, key"
)
SEAL_BYTES = 12  # against spoilt bytes, not against forgers: who can write the file needs no forgery


class SpoiltError(Exception):
    """A row does not fit its seal; its name where that can be told."""


def to_row(entry: Entry) -> tuple[Any, ...]:
    """The columns and the seal."""
    a = entry.asked
    row = (
        a.name, a.tenant, a.kind, int(a.safe), a.question, float(a.work), float(a.created_s),
        float(a.expires_s),
        int(entry.state), entry.token, entry.attempts, entry.ended_s,
        None if entry.end is None else entry.end.value, entry.answer, a.key,
    )  # fmt: skip
    return (*row, _seal(row))


def from_row(row: tuple[Any, ...]) -> Entry:
    """The entry; SpoiltError where a byte of it is not what was written."""
    *columns, seal = row
    try:
        if _seal(tuple(columns)) != seal:
            raise SpoiltError(str(columns[0]))
        name, tenant, kind, safe, question, work, created, expires, state, token, attempts, *rest = columns
        ended, end, answer, key = rest
        asked = Asked(name, tenant, kind, bool(safe), question, work, created, expires, key)
        return Entry(asked, State(state), token, attempts, ended, None if end is None else End(end), answer)
    except (ValueError, TypeError) as error:
        raise SpoiltError(str(row[0])) from error


def _seal(row: tuple[Any, ...]) -> bytes:
    # An absent key is left out: rows of version 1, which had none, keep their seals.
    row = row if row[-1] is not None else row[:-1]
    return blake2b(msgspec.msgpack.encode(row), digest_size=SEAL_BYTES).digest()
