"""Measures of the load that a cold server received in a simulated fleet."""

from __future__ import annotations

from math import sqrt

from tests.routing.cold_scenario import ColdAttempt, Scenario


def max_overload_ratio(scenario: Scenario, attempts: list[ColdAttempt], weighted: bool) -> float:
    """Return the highest load of a window relative to the overload limit; above 1 it is exceeded."""
    highest, start, total, window_ms = 0.0, 0, 0.0, scenario.overload_window_ms
    for each in attempts:
        total += each.weight if weighted else 1.0
        while each.age_ms - attempts[start].age_ms > window_ms:
            total -= attempts[start].weight if weighted else 1.0
            start += 1
        middle_ms = max(0.0, each.age_ms - window_ms / 2)
        budget = (
            scenario.overload_multiple * scenario.warmth(middle_ms) * scenario.capacity_per_ms * window_ms
        )
        highest = max(highest, total / (budget + 2 * sqrt(budget) + 2))
    return highest


def share_used(scenario: Scenario, attempts: list[ColdAttempt]) -> float:
    """Return the work sent to the server while it warmed up, relative to its capacity in that time."""
    capacity = scenario.capacity_per_ms * scenario.warm_after_ms * (1 + scenario.cold_capacity) / 2
    return sum(each.weight for each in attempts) / capacity
