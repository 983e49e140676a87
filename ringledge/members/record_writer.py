"""Access to the replicated records for other components; each write is replicated without delay."""

from __future__ import annotations

from collections.abc import Callable

from ringledge.decide.records.replicated_records import ReplicatedRecords


class RecordWriter:
    """Implements RecordStore; calls `on_write` after each change, which makes the next tick due earlier."""

    def __init__(self, records: ReplicatedRecords, on_write: Callable[[], None]) -> None:
        self._records = records
        self._on_write = on_write

    def write(self, now_s: float, key: str, value: bytes) -> None:
        """Write a record of the local member; ValueError if it is too long or there are too many keys."""
        self._records.write(now_s, key, value)
        self._on_write()

    def delete(self, now_s: float, key: str) -> None:
        """Delete a record of the local member."""
        self._records.delete(now_s, key)
        self._on_write()

    def values(self, now_s: float, prefix: str) -> dict[tuple[str, str], bytes]:
        """Return all known values whose keys have the prefix, by the writer's name and the key."""
        return self._records.values(now_s, prefix)
