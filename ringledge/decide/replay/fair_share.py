"""Weighted max-min fairness: no share exceeds its demand, and the rest is divided by weight.

See Bertsekas and Gallager, Data Networks, 6.5.2, and for the fairness index Jain, Chiu, Hawe (1984).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ShareRequest:
    """The demand of one requester, and its weight (above 0)."""

    weight: float
    demand: float


def max_min_fair_shares(budget: float, requests: Mapping[str, ShareRequest]) -> dict[str, float]:
    """Divide a budget; the sum of the shares does not exceed it, and no share exceeds its demand."""
    shares = dict.fromkeys(requests, 0.0)
    # Ascending by demand per weight: if one request can't be satisfied, none after it can.
    by_relative_demand = sorted(requests, key=lambda name: requests[name].demand / requests[name].weight)
    total_weight = sum(request.weight for request in requests.values())
    for name in by_relative_demand:
        request = requests[name]
        shares[name] = max(0.0, min(request.demand, budget * request.weight / total_weight))
        budget -= shares[name]
        total_weight -= request.weight
    return shares


def jain_index(values: Iterable[float]) -> float:
    """Jain's fairness index: 1 if all values are equal or there are none, 1/n if one has everything."""
    values = list(values)
    sum_of_squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * sum_of_squares) if sum_of_squares else 1.0
