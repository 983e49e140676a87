"""Facts in virtual time, for `benchmarks/ratio.py`: each is seen some time after it was put."""

from __future__ import annotations

from collections import deque
from random import Random

Kept = dict[str, dict[tuple[str, str], deque[tuple[float, bytes]]]]  # by prefix; member and key; when seen


class Store:
    """Facts, each seen some time after it was put; every reader has a delay of its own besides."""

    def __init__(self, facts: Kept, rng: Random, member: str) -> None:
        self._facts, self._rng, self._member = facts, rng, member
        self._late_s = rng.uniform(0.0, 0.5)

    def write(self, now_s: float, key: str, value: bytes) -> None:
        kept = self._facts[key.split("/")[0]].setdefault((self._member, key), deque(maxlen=4))
        kept.append((now_s + self._rng.uniform(0.1, 0.5), value))

    def delete(self, now_s: float, key: str) -> None:
        self._facts[key.split("/")[0]].pop((self._member, key), None)

    def values(self, now_s: float, prefix: str) -> dict[tuple[str, str], bytes]:
        found = {}
        for key, kept in self._facts[prefix.split("/")[0]].items():
            seen = [value for at_s, value in kept if at_s + self._late_s <= now_s]
            if seen and key[1].startswith(prefix):
                found[key] = seen[-1]
        return found
