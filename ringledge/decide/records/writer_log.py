"""The records of one writer: one for each key, in the order of their versions, with or without gaps."""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Iterator

from ringledge.decide.paging import encoded_size, paginate
from ringledge.decide.records.messages import Record, Row, Rows


def rows_pages(groups: Iterable[tuple[int, list[Row]]], room: int) -> list[Rows]:
    """Rows by bucket in messages; a bucket whose rows lie in one message is told to be whole there."""
    messages: list[Rows] = []
    rows: list[Row] = []
    whole = used = 0
    for at, group in groups:
        needed = sum(map(encoded_size, group))
        if used + needed > room and whole:
            messages.append(Rows(tuple(rows), whole))
            rows, whole, used = [], 0, 0
        if needed > room:
            messages += [Rows(page) for page in paginate(group, room)]
        else:
            rows, whole, used = rows + group, whole | 1 << at, used + needed
    return [*messages, Rows(tuple(rows), whole)] if whole else messages


class Book:
    """What one writer says, as far as it is known here."""

    def __init__(self, writer: str, start: int) -> None:
        self.writer, self.start = writer, start
        self.version = 0  # all up to this one is held
        self._records: dict[str, Record] = {}  # by key

    def mark(self) -> int:
        """Its part in the sum of its bucket, 32 bits."""
        return zlib.crc32(f"{self.writer}/{self.start}/{self.version}".encode())

    def row(self) -> Row:
        """How far it goes."""
        return Row(self.writer, self.start, self.version)

    def put(self, key: str, value: bytes | None) -> Record:
        """A new version by the writer itself."""
        record = Record(self.writer, self.start, self.version, self.version + 1, key, value)
        self._records.pop(key, None)
        self._records[key] = record
        self.version += 1
        return record

    def value(self, key: str) -> bytes | None:
        """What is said under a key."""
        record = self._records.get(key)
        return None if record is None else record.value

    def used(self, key: str) -> bool:
        """Whether something was ever said under a key."""
        return key in self._records

    def keys(self) -> int:
        """How many keys were ever used."""
        return len(self._records)

    def take(self, record: Record) -> bool:
        """Hold a record of this start; whether it was new."""
        known = self._records.get(record.key)
        fresh = known is None or known.version < record.version
        if fresh:
            self._records[record.key] = record
        if record.after <= self.version < record.version:
            self.version = record.version
            self._close()
        return fresh

    def after(self, version: int) -> Iterator[Record]:
        """What one lacks that holds all up to a version, in order; each says what it follows."""
        held = sorted((each for each in self._records.values()), key=lambda each: each.version)
        before = 0
        for each in held:
            if each.version > self.version:
                return  # past a gap: what lies in between is not known here
            if each.version > version:
                yield Record(each.writer, each.start, before, each.version, each.key, each.value)
            before = each.version

    def _close(self) -> None:
        """Take in what was held past the gap that is closed now."""
        for each in sorted(self._records.values(), key=lambda each: each.version):
            if each.after <= self.version < each.version:
                self.version = each.version

    def values(self, prefix: str) -> Iterator[tuple[str, bytes]]:
        """What is said under keys with a prefix."""
        for key, record in self._records.items():
            if record.value is not None and key.startswith(prefix):
                yield key, record.value
