"""Weighted max-min fairness: nobody gets more than it can use, and what is left goes to the others by weight.

Bertsekas and Gallager, Data Networks, 6.5.2. The index of fairness is Jain's (Jain, Chiu, Hawe 1984).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Claim:
    """What one party could use, and its weight (over 0)."""

    weight: float
    most: float


def max_min(budget: float, claims: Mapping[str, Claim]) -> dict[str, float]:
    """Divide a budget: the sum is never above it, and above no claim."""
    given = dict.fromkeys(claims, 0.0)
    # By what would fill each first: once the smallest can't be filled any more, none behind it can.
    waiting = sorted(claims, key=lambda name: claims[name].most / claims[name].weight)
    weight = sum(each.weight for each in claims.values())
    for name in waiting:
        claim = claims[name]
        given[name] = max(0.0, min(claim.most, budget * claim.weight / weight))
        budget, weight = budget - given[name], weight - claim.weight
    return given


def jain(values: Iterable[float]) -> float:
    """Jain's index of fairness: 1 where all are equal, 1/n where one has all; 1 of nothing."""
    told = list(values)
    squares = sum(each * each for each in told)
    return sum(told) ** 2 / (len(told) * squares) if squares else 1.0
