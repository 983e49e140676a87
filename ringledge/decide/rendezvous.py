"""Rendezvous hashing (highest random weight): members that know the same names agree without messages."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b


def weight(key: str, name: str) -> int:
    """64 bits, evenly distributed over pairs; Thaler and Ravishankar 1998."""
    return int.from_bytes(blake2b(f"{key}\0{name}".encode(), digest_size=8).digest(), "big")


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """The names by descending weight; a name that disappears moves its own keys and no others."""
    return sorted(names, key=lambda name: (weight(key, name), name), reverse=True)
