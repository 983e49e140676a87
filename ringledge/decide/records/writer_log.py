"""The records of one writer: the latest of each key, ordered by version, possibly with gaps."""

from __future__ import annotations

import zlib
from collections.abc import Iterator

from ringledge.decide.paging import encoded_size
from ringledge.decide.records.messages import (
    MAX_KEY_BYTES,
    MAX_PAYLOAD_BYTES,
    MAX_VALUE_BYTES,
    Record,
    WriterVersion,
)

# Deleted keys count too: they are retained, so that the deletion reaches all members.
MAX_KEYS_PER_WRITER = 1024
MAX_VERSION = (1 << 53) - 1  # the version with the longest encoding


class RecordLimitError(ValueError):
    """A record is too long, or its writer has too many keys."""


class WriterLog:
    """The known records of a writer under one start number.

    Invariant: all of the writer's records up to `version` are held, or have been replaced by later ones.
    """

    def __init__(self, writer: str, start: int) -> None:
        self.writer = writer
        self.start = start
        self.version = 0
        self._records: dict[str, Record] = {}  # by key

    def digest(self) -> int:
        """A 32-bit hash of this log's version; a bucket's digest is the XOR of these."""
        return zlib.crc32(f"{self.writer}/{self.start}/{self.version}".encode())

    def held_version(self) -> WriterVersion:
        """The entry of this log in the version vector."""
        return WriterVersion(self.writer, self.start, self.version)

    def validate(self, key: str, value: bytes) -> None:
        """Raise RecordLimitError if a write would not fit a datagram, or would add a key above the limit."""
        if not 0 < len(key.encode()) <= MAX_KEY_BYTES or len(value) > MAX_VALUE_BYTES:
            raise RecordLimitError(
                f"a record has a key of 1 to {MAX_KEY_BYTES} and a value of at most {MAX_VALUE_BYTES} bytes"
            )
        longest = Record(self.writer, self.start, MAX_VERSION, MAX_VERSION, key, value)
        if encoded_size(longest) > MAX_PAYLOAD_BYTES:
            raise RecordLimitError(f"record {key!r}: longer than a datagram with its writer's name")
        if key not in self._records and len(self._records) >= MAX_KEYS_PER_WRITER:
            raise RecordLimitError(f"record {key!r}: more than {MAX_KEYS_PER_WRITER} keys of one writer")

    def write(self, key: str, value: bytes | None) -> Record:
        """Add a new version at the writer itself; None deletes the key's value."""
        record = Record(self.writer, self.start, self.version, self.version + 1, key, value)
        self._records.pop(key, None)
        self._records[key] = record
        self.version += 1
        return record

    def value(self, key: str) -> bytes | None:
        """The value of a key, or None if it has none."""
        record = self._records.get(key)
        return None if record is None else record.value

    def apply(self, record: Record) -> bool:
        """Apply a record with this start number from another member; return whether it was new."""
        known = self._records.get(record.key)
        is_new = known is None or known.version < record.version
        if is_new:
            self._records[record.key] = record
        if record.previous_version <= self.version < record.version:
            self.version = record.version
            self._advance_version()
        return is_new

    def records_after(self, version: int) -> Iterator[Record]:
        """The records, up to the first gap here, that a member with all records up to `version` lacks."""
        previous_version = 0
        for record in self._by_version():
            if record.version > self.version:
                return  # beyond a gap: the records before it are not known here
            if record.version > version:
                yield Record(
                    record.writer, record.start, previous_version, record.version, record.key, record.value
                )
            previous_version = record.version

    def values(self, prefix: str) -> Iterator[tuple[str, bytes]]:
        """The keys with the prefix, and their values."""
        for key, record in self._records.items():
            if record.value is not None and key.startswith(prefix):
                yield key, record.value

    def _advance_version(self) -> None:
        """Advance the version over records that were held beyond a gap which is now closed."""
        for record in self._by_version():
            if record.previous_version <= self.version < record.version:
                self.version = record.version

    def _by_version(self) -> list[Record]:
        return sorted(self._records.values(), key=lambda record: record.version)
