"""Facts as other parts use them: what they say is sent at once."""

from __future__ import annotations

from collections.abc import Callable

from ringledge.decide.records.replicated_records import ReplicatedRecords


class RecordWriter:
    """Implements Facts; `changed` is called after each change, since the table wants its tick sooner then."""

    def __init__(self, table: ReplicatedRecords, changed: Callable[[], None]) -> None:
        self._table, self._changed = table, changed

    def write(self, now_s: float, key: str, value: bytes) -> None:
        """Say something under a key of our own; ValueError: it is too long, or there are too many keys."""
        self._table.write(now_s, key, value)
        self._changed()

    def delete(self, now_s: float, key: str) -> None:
        """Take a key of our own back."""
        self._table.delete(now_s, key)
        self._changed()

    def values(self, now_s: float, prefix: str) -> dict[tuple[str, str], bytes]:
        """What is known under keys with a prefix, by writer's name and key."""
        return self._table.values(now_s, prefix)
