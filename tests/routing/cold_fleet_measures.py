"""How much of its slow-start budget a cold server was sent in a simulated fleet."""

from __future__ import annotations

from math import sqrt

from tests.routing.cold_scenario import ColdAttempt, Scenario


def max_overload_ratio(case: Scenario, sent: list[ColdAttempt], weighted: bool) -> float:
    """The highest load of a window relative to the one that overloads the server: over 1 it is overloaded."""
    nearest, first, total, window_ms = 0.0, 0, 0.0, case.overload_window_ms
    for each in sent:
        total += each.weight if weighted else 1.0
        while each.age_ms - sent[first].age_ms > window_ms:
            total -= sent[first].weight if weighted else 1.0
            first += 1
        middle_ms = max(0.0, each.age_ms - window_ms / 2)
        budget = case.overload_multiple * case.warmth(middle_ms) * case.capacity_per_ms * window_ms
        nearest = max(nearest, total / (budget + 2 * sqrt(budget) + 2))
    return nearest


def share_used(case: Scenario, sent: list[ColdAttempt]) -> float:
    """The work that it was sent while warming up, relative to its capacity in that time."""
    can = case.capacity_per_ms * case.warm_after_ms * (1 + case.cold_capacity) / 2
    return sum(each.weight for each in sent) / can
