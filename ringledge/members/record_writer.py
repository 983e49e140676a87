"""Access to the replicated records for other components; each write is replicated without delay.

What is written follows the endpoint list and other members, so a limit may be reached in normal operation. A
record above a limit is counted, logged and left out.
"""

from __future__ import annotations

from collections.abc import Callable

from ringledge.decide.records.replicated_records import ReplicatedRecords
from ringledge.decide.records.writer_log import RecordLimitError
from ringledge.observe.logging import log


class RecordWriter:
    """Implements RecordStore; calls `on_write` after each change, which makes the next tick due earlier."""

    def __init__(
        self,
        records: ReplicatedRecords,
        on_write: Callable[[], None],
        on_limit: Callable[[], None] = lambda: None,
    ) -> None:
        """`on_limit` is called for each record that is not written because it exceeds a limit."""
        self._records = records
        self._on_write = on_write
        self._on_limit = on_limit

    def write(self, now_s: float, key: str, value: bytes) -> bool:
        """Write a record of the local member; False if it is too long or there are too many keys."""
        try:
            self._records.write(now_s, key, value)
        except RecordLimitError as error:
            self._on_limit()
            log.rate_limited("record_not_written", key=key, error=str(error))
            return False
        self._on_write()
        return True

    def delete(self, now_s: float, key: str) -> None:
        """Delete a record of the local member."""
        self._records.delete(now_s, key)
        self._on_write()

    def values(self, now_s: float, prefix: str) -> dict[tuple[str, str], bytes]:
        """Return all known values whose keys have the prefix, by the writer's name and the key."""
        return self._records.values(now_s, prefix)
