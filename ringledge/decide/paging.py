"""Rows in groups that fit a datagram each, and names in buckets whose sums are compared."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import TypeVar

import msgspec

R = TypeVar("R", bound=msgspec.Struct)
BUCKET_COUNT = 16  # their sums take 80 bytes; of 200 names a bucket has a dozen, a few datagrams of rows
_encoder = msgspec.msgpack.Encoder()


def bucket_of(name: str) -> int:
    """Where what belongs to a name is summed up."""
    return zlib.crc32(name.encode()) % BUCKET_COUNT


def encoded_size(row: msgspec.Struct) -> int:
    """How many bytes a row takes, packed."""
    return len(_encoder.encode(row))


def paginate(rows: Iterable[R], room: int) -> list[tuple[R, ...]]:
    """Rows in their order, in groups of so many bytes; a row alone may take more."""
    groups: list[tuple[R, ...]] = []
    group: list[R] = []
    used = 0
    for row in rows:
        needed = encoded_size(row)
        if group and used + needed > room:
            groups.append(tuple(group))
            group, used = [], 0
        group.append(row)
        used += needed
    return [*groups, tuple(group)] if group else groups
