"""What members say to one another about facts: sums to compare, rows to compare closer, and records."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from ringledge.decide.datagram import MAX_BODY_BYTES, Count, Name, Start, Word
from ringledge.decide.paging import BUCKET_COUNT

KEY_MOST, VALUE_MOST = 48, 120  # bytes
ROOM_BYTES = MAX_BODY_BYTES - 10  # for the rows or records of one message, without the heads of its arrays

Key = Annotated[str, Meta(min_length=1, max_length=KEY_MOST)]
Value = Annotated[bytes, Meta(max_length=VALUE_MOST)]


class Record(msgspec.Struct, array_like=True, frozen=True):
    """What one writer says under one key.

    Of a writer's records that were not replaced since, none lies between `after` and `version`: whoever holds
    all up to `after` holds all up to `version` with this one.
    """

    writer: Name
    start: Start
    after: Count
    version: Count  # one count for all keys of the writer
    key: Key
    value: Value | None  # None: taken back


class Row(msgspec.Struct, array_like=True, frozen=True):
    """How far a member's knowledge of a writer goes."""

    writer: Name
    start: Start
    version: Count  # all up to this one is held


class Sums(msgspec.Struct, array_like=True, frozen=True):
    """A sum over the rows of each bucket. Answered by the rows of those that differ."""

    sums: Annotated[tuple[Word, ...], Meta(min_length=BUCKET_COUNT, max_length=BUCKET_COUNT)]


class Rows(msgspec.Struct, array_like=True, frozen=True):
    """Some of the sender's rows. Answered by records that it lacks, and by Wants."""

    rows: tuple[Row, ...]
    whole: Word = 0  # bit by bit, the buckets of which these are all rows: it lacks all other writers of them


class Wants(msgspec.Struct, array_like=True, frozen=True):
    """What the sender holds of writers of whom the other has more. Answered by records."""

    rows: tuple[Row, ...]


class Records(msgspec.Struct, array_like=True, frozen=True):
    """Records, of any writers."""

    records: tuple[Record, ...]
    pushed: bool = False  # a change; who hears it first passes it on


MESSAGES: tuple[type[msgspec.Struct], ...] = (Sums, Rows, Wants, Records)
Message = Sums | Rows | Wants | Records
