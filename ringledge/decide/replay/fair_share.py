"""Weighted max-min fairness: no share exceeds its demand, and the rest is divided by weight.

Bertsekas and Gallager, Data Networks, 6.5.2. The fairness index is Jain's (Jain, Chiu, Hawe 1984).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ShareRequest:
    """What one party could use, and its weight (over 0)."""

    weight: float
    demand: float


def max_min_fair_shares(budget: float, requests: Mapping[str, ShareRequest]) -> dict[str, float]:
    """Divide a budget: the sum of the shares is never above it, and no share above its demand."""
    shares = dict.fromkeys(requests, 0.0)
    # In the order in which they are satisfied: once the smallest can't be, none after it can.
    ascending = sorted(requests, key=lambda name: requests[name].demand / requests[name].weight)
    total_weight = sum(request.weight for request in requests.values())
    for name in ascending:
        request = requests[name]
        shares[name] = max(0.0, min(request.demand, budget * request.weight / total_weight))
        budget -= shares[name]
        total_weight -= request.weight
    return shares


def jain_index(values: Iterable[float]) -> float:
    """Jain's fairness index: 1 where all are equal, 1/n where one has everything; 1 of no values."""
    values = list(values)
    sum_of_squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * sum_of_squares) if sum_of_squares else 1.0
