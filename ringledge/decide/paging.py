"""Groups of rows that fit a datagram each, and buckets of names whose digests are compared."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import TypeVar

import msgspec

Row = TypeVar("Row", bound=msgspec.Struct)
BUCKET_COUNT = 16  # their digests take 80 bytes; of 200 names a bucket has a dozen: a few datagrams of rows
_encoder = msgspec.msgpack.Encoder()


def bucket_of(name: str) -> int:
    """The bucket of a name."""
    return zlib.crc32(name.encode()) % BUCKET_COUNT


def encoded_size(row: msgspec.Struct) -> int:
    """The size of a row in bytes, encoded as msgpack."""
    return len(_encoder.encode(row))


def paginate(rows: Iterable[Row], max_page_bytes: int) -> list[tuple[Row, ...]]:
    """Rows in their order, in pages of at most so many bytes; a single row may exceed its page."""
    pages: list[tuple[Row, ...]] = []
    page: list[Row] = []
    used_bytes = 0
    for row in rows:
        row_bytes = encoded_size(row)
        if page and used_bytes + row_bytes > max_page_bytes:
            pages.append(tuple(page))
            page = []
            used_bytes = 0
        page.append(row)
        used_bytes += row_bytes
    if page:
        pages.append(tuple(page))
    return pages
