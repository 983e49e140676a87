"""Checks the lease invariants on the records of all processes.

All processes run on one machine, so the times in their records are readings of the same clock.
"""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import pairwise
from pathlib import Path


@dataclass(slots=True)
class Holding:
    """The records of a duty under one token."""

    token: int
    holders: set[tuple[str, int]]  # member name and process id
    first_s: float
    last_s: float  # last lease check that allowed an effect
    effects: int = 0


def holdings(paths: Iterable[Path]) -> dict[str, list[Holding]]:
    """The holdings of each duty, ordered by token. Ignores lines that a kill truncated."""
    found: dict[str, dict[int, Holding]] = defaultdict(dict)
    for path in paths:
        for text in path.read_text().splitlines() if path.exists() else ():
            try:
                line = json.loads(text)
            except ValueError:
                continue
            holder, at_s = (line["member"], line["pid"]), line["at_s"]
            each = found[line["duty"]].setdefault(line["token"], Holding(line["token"], set(), at_s, at_s))
            each.holders.add(holder)
            each.first_s = min(each.first_s, at_s)
            if line["what"] == "effect":
                each.last_s, each.effects = max(each.last_s, at_s), each.effects + 1
    return {duty: [by_token[token] for token in sorted(by_token)] for duty, by_token in found.items()}


def violations(paths: Iterable[Path]) -> list[str]:
    """Descriptions of all violated invariants; empty if there are none."""
    texts = list[str]()
    for duty, found in holdings(paths).items():
        for each in found:
            if len(each.holders) > 1:
                texts.append(f"{duty}: token {each.token} was held by {sorted(each.holders)}")
        for previous, following in pairwise(found):
            if following.first_s < previous.last_s:
                overlap_s = previous.last_s - following.first_s
                texts.append(
                    f"{duty}: {following.token} began {overlap_s:.3f} s before the end of {previous.token}"
                )
    return texts
