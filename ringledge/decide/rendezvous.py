"""Rendezvous hashing (highest random weight).

Members that know the same names rank them equally without exchanging messages.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b


def weight(key: str, name: str) -> int:
    """A 64-bit hash, uniformly distributed over pairs of key and name (Thaler and Ravishankar 1998)."""
    return int.from_bytes(blake2b(f"{key}\0{name}".encode(), digest_size=8).digest(), "big")


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """The names by descending weight; removing a name moves only the keys that it ranked first for."""
    return sorted(names, key=lambda name: (weight(key, name), name), reverse=True)
