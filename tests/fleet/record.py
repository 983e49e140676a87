"""What has to hold over the records of all processes; their times are of one clock, for it is one machine."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import pairwise
from pathlib import Path


@dataclass(slots=True)
class Holding:
    """All that was recorded under one token of a duty."""

    token: int
    holders: set[tuple[str, int]]  # member and process
    first_s: float
    last_s: float  # the last look at the lease that allowed an effect
    effects: int = 0


def holdings(paths: Iterable[Path]) -> dict[str, list[Holding]]:
    """By duty, in the order of tokens. A line that a kill cut off counts for nothing."""
    found: dict[str, dict[int, Holding]] = defaultdict(dict)
    for path in paths:
        for text in path.read_text().splitlines() if path.exists() else ():
            try:
                line = json.loads(text)
            except ValueError:
                continue
            who, at_s = (line["member"], line["pid"]), line["at_s"]
            each = found[line["duty"]].setdefault(line["token"], Holding(line["token"], set(), at_s, at_s))
            each.holders.add(who)
            each.first_s = min(each.first_s, at_s)
            if line["what"] == "effect":
                each.last_s, each.effects = max(each.last_s, at_s), each.effects + 1
    return {duty: [by[token] for token in sorted(by)] for duty, by in found.items()}


def violations(paths: Iterable[Path]) -> list[str]:
    """What is wrong; empty where all holds."""
    wrong = list[str]()
    for duty, found in holdings(paths).items():
        for each in found:
            if len(each.holders) > 1:
                wrong.append(f"{duty}: token {each.token} was held by {sorted(each.holders)}")
        for one, other in pairwise(found):
            if other.first_s < one.last_s:
                by_s = one.last_s - other.first_s
                wrong.append(f"{duty}: {other.token} began {by_s:.3f} s before the end of {one.token}")
    return wrong
