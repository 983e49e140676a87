"""Space-saving (Metwally, Agrawal and El Abbadi, 2005): the most frequent keys, in bounded memory."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)


class SpaceSaving(Generic[K]):
    """Counts at most `capacity` keys; a new key replaces one of the lowest count and inherits that count.

    No count is ever too low, and none is too high by more than the total over `capacity`. The keys of the
    lowest count are collected in one pass, which serves until they are used up: mostly constant time, a pass
    over all keys at worst.
    """

    __slots__ = ("_capacity", "_counts", "_errors", "_min_count", "_min_keys", "total")

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._counts: dict[K, int] = {}
        self._errors: dict[K, int] = {}  # how much of a count may be an earlier key's
        self._min_keys: list[K] = []  # keys that had the lowest count when they were collected
        self._min_count = 0  # that count
        self.total = 0

    def __len__(self) -> int:
        """How many keys are counted."""
        return len(self._counts)

    def add(self, key: K, times: int = 1) -> None:
        """Count a key."""
        self.total += times
        counts = self._counts
        if key in counts:
            counts[key] += times
        elif len(counts) < self._capacity:
            counts[key] = times
        else:
            replaced, count = self._pop_min()
            del counts[replaced]
            self._errors.pop(replaced, None)
            counts[key] = count + times
            self._errors[key] = count

    def _pop_min(self) -> tuple[K, int]:
        """A key of the lowest count, with that count."""
        while True:
            while self._min_keys:
                key = self._min_keys.pop()
                if self._counts.get(key) == self._min_count:  # else it was counted or replaced meanwhile
                    return key, self._min_count
            self._min_count = min(self._counts.values())
            self._min_keys = [key for key, count in self._counts.items() if count == self._min_count]

    def top(self, number: int) -> list[tuple[K, int, int]]:
        """The keys with the highest counts: key, count, and by how much it may be too high.

        Plain tuples, for they are logged as JSON.
        """
        ordered = sorted(self._counts.items(), key=lambda item: -item[1])[:number]
        return [(key, count, self._errors.get(key, 0)) for key, count in ordered]
