"""Pages of rows that fit into one datagram each, and buckets of names whose digests members compare."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import TypeVar

import msgspec

Row = TypeVar("Row", bound=msgspec.Struct)
BUCKET_COUNT = 16  # 80 bytes of digests; of 200 names a bucket holds a dozen: a few datagrams of rows
_encoder = msgspec.msgpack.Encoder()


def bucket_of(name: str) -> int:
    """The number of the bucket to which a name belongs."""
    return zlib.crc32(name.encode()) % BUCKET_COUNT


def encoded_size(row: msgspec.Struct) -> int:
    """The size of a row in bytes when it is encoded as msgpack."""
    return len(_encoder.encode(row))


def paginate(rows: Iterable[Row], max_page_bytes: int) -> list[tuple[Row, ...]]:
    """Split rows, in their order, into pages of at most `max_page_bytes`; a larger row has its own page."""
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
