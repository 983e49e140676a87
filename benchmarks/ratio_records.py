"""A record store in virtual time, for `benchmarks/ratio.py`: records become visible late."""

from __future__ import annotations

from collections import deque
from random import Random

# By prefix, then by member and key: when they become visible, and the values.
StoredRecords = dict[str, dict[tuple[str, str], deque[tuple[float, bytes]]]]


class DelayedRecordStore:
    """Records that become visible some time after they were written, with a further delay per member."""

    def __init__(self, records: StoredRecords, rng: Random, member: str) -> None:
        self._records = records
        self._rng = rng
        self._member = member
        self._delay_s = rng.uniform(0.0, 0.5)

    def write(self, now_s: float, key: str, value: bytes) -> bool:
        versions = self._records[key.split("/")[0]].setdefault((self._member, key), deque(maxlen=4))
        versions.append((now_s + self._rng.uniform(0.1, 0.5), value))
        return True

    def delete(self, now_s: float, key: str) -> None:
        self._records[key.split("/")[0]].pop((self._member, key), None)

    def values(self, now_s: float, prefix: str) -> dict[tuple[str, str], bytes]:
        found = {}
        for key, versions in self._records[prefix.split("/")[0]].items():
            visible = [value for at_s, value in versions if at_s + self._delay_s <= now_s]
            if visible and key[1].startswith(prefix):
                found[key] = visible[-1]
        return found
