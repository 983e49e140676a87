"""Highest random weight: who of some takes a thing, agreed by all who know the same ones, without a word."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b


def weight(thing: str, name: str) -> int:
    """64 bits, evenly spread over pairs; Thaler and Ravishankar 1998."""
    return int.from_bytes(blake2b(f"{thing}\0{name}".encode(), digest_size=8).digest(), "big")


def ranked(thing: str, names: Iterable[str]) -> list[str]:
    """The names, the first to take the thing first; one that goes moves what it had, and nothing else."""
    return sorted(names, key=lambda name: (weight(thing, name), name), reverse=True)
