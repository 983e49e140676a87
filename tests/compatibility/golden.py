"""Reads golden files and compares traces, which hold a digest for each step of a scripted run."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from pathlib import Path

FOLDER = Path(__file__).parent / "golden"
DIGEST_BYTES = 4  # per step; a difference in a step is missed with a probability of 1 in 2**32


def path(name: str) -> Path:
    """The path of a golden file."""
    return FOLDER / name


def digests(steps: Iterable[str]) -> list[str]:
    """One digest for each step of a trace, in hex digits."""
    return [blake2b(step.encode(), digest_size=DIGEST_BYTES).hexdigest() for step in steps]


def trace_text(steps: Iterable[str]) -> str:
    """The contents of a golden file for a trace."""
    return "\n".join(digests(steps)) + "\n"


def first_difference(name: str, steps: list[str]) -> str:
    """The first step that differs from the golden trace, as text; empty where the traces are equal."""
    expected, found = path(name).read_text().split(), digests(steps)
    for index, (step, now, then) in enumerate(zip(steps, found, expected, strict=False)):
        if now != then:
            return f"{name}: step {index} of {len(expected)} differs: {step}"
    if len(found) != len(expected):
        return f"{name}: {len(found)} steps, {len(expected)} expected"
    return ""
