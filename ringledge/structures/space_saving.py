"""Space-saving (Metwally, Agrawal and El Abbadi, 2005): the most frequent keys, in bounded memory."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)


class SpaceSaving(Generic[K]):
    """Counts at most `most` keys; a new one takes over the least count, so no count is ever too low.

    A count is too high by at most the total over `most`. The keys of the least count are collected in one
    pass, which serves until they are used up: mostly constant time, a pass over `most` keys at worst.
    """

    __slots__ = ("_counts", "_errors", "_least", "_low", "_most", "total")

    def __init__(self, most: int) -> None:
        self._most = most
        self._counts: dict[K, int] = {}
        self._errors: dict[K, int] = {}  # how much of a count may be an earlier key's
        self._least: list[K] = []  # keys that had the least count when they were collected
        self._low = 0  # that count
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
        elif len(counts) < self._most:
            counts[key] = times
        else:
            least, count = self._take_least()
            del counts[least]
            self._errors.pop(least, None)
            counts[key], self._errors[key] = count + times, count

    def _take_least(self) -> tuple[K, int]:
        while True:
            while self._least:
                key = self._least.pop()
                if self._counts.get(key) == self._low:  # else it was counted or dropped meanwhile
                    return key, self._low
            self._low = min(self._counts.values())
            self._least = [key for key, count in self._counts.items() if count == self._low]

    def top(self, number: int) -> list[tuple[K, int, int]]:
        """The keys with the highest counts: key, count, and by how much it may be too high."""
        ordered = sorted(self._counts.items(), key=lambda each: -each[1])[:number]
        return [(key, count, self._errors.get(key, 0)) for key, count in ordered]
