"""The most frequent keys in bounded memory, by the Space-Saving algorithm (Metwally et al., 2005)."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)


class SpaceSaving(Generic[K]):
    """Counts at most `capacity` keys; a new key replaces one with the lowest count and inherits that count.

    No count is too low, and none is too high by more than `total / capacity`. One pass over all keys
    collects those with the lowest count, and the next pass is made when these are used up. So `add` mostly
    takes constant time, and at worst one pass over all keys.
    """

    __slots__ = ("_capacity", "_counts", "_errors", "_min_count", "_min_keys", "total")

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._counts: dict[K, int] = {}
        self._errors: dict[K, int] = {}  # by how much a count may be too high, as inherited
        self._min_keys: list[K] = []  # keys that had the lowest count at the last pass
        self._min_count = 0  # the lowest count at the last pass
        self.total = 0

    def __len__(self) -> int:
        """The number of keys that have a count."""
        return len(self._counts)

    def add(self, key: K, times: int = 1) -> None:
        """Count `times` occurrences of a key."""
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
        """A key with the lowest count, and that count."""
        while True:
            while self._min_keys:
                key = self._min_keys.pop()
                if self._counts.get(key) == self._min_count:  # otherwise it was counted or replaced since
                    return key, self._min_count
            self._min_count = min(self._counts.values())
            self._min_keys = [key for key, count in self._counts.items() if count == self._min_count]

    def top(self, number: int) -> list[tuple[K, int, int]]:
        """The keys with the highest counts: key, count, and by how much the count may be too high.

        The tuples are plain, as they are logged as JSON.
        """
        ordered = sorted(self._counts.items(), key=lambda item: -item[1])[:number]
        return [(key, count, self._errors.get(key, 0)) for key, count in ordered]
