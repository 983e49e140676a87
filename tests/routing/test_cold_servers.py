"""A cold server under what all routers send: never more than it bears, and not next to nothing.

Routers share nothing, learn of it within 50 ms of each other, and some see many times others' traffic.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from tests.routing.cold_fleet import Case, ColdFleet, max_overload_ratio, share_used

BURST: dict[str, Any] = {"load": 1.0, "burst": 3.0}
LARGER: dict[str, Any] = {
    "load": 0.7,
    "burst": 0.6,
    "large": 0.05,
    "large_in_burst": 0.6,
}
AT_ONCE: dict[str, Any] = {"load": 1.0, "burst": 10.0}  # after a time in which hardly anything came

CASES = {
    "thirty": Case(30, **BURST),
    "thirty, a writer": Case(30, writers=True, **BURST),
    "three": Case(3, **BURST),
    "two hundred": Case(200, **BURST),
    "equal work": Case(30, ratio=1.0, **BURST),
    "short requests": Case(30, mean_tokens=300.0, **BURST),
    "long requests": Case(30, mean_tokens=6_000.0, **BURST),
    "little at first": Case(30, 0.1, 4.0, 1_000.0, 10_000.0, **BURST),
    "long windows": Case(30, 0.1, 2.0, 6_000.0, 8_000.0, **BURST),
    "low multiple": Case(30, 0.5, 1.5, 5_000.0, 20_000.0, **BURST),
    "larger ones come": Case(30, **LARGER),
    "larger ones come, short": Case(30, mean_tokens=300.0, **LARGER),
    "larger ones come, a writer": Case(30, mean_tokens=300.0, writers=True, **LARGER),
    "all at once": Case(30, quiet_ms=9_000, **AT_ONCE),
    "all at once, two hundred": Case(200, warm_after_ms=30_000, quiet_ms=25_000, **AT_ONCE),
    "three, all at once": Case(3, quiet_ms=9_000, **AT_ONCE),
    "twenty": Case(20, **BURST),
    "twenty, all at once": Case(20, quiet_ms=9_000, **AT_ONCE),
    "twenty, few calls each": Case(20, mean_tokens=12_000.0, quiet_ms=9_000, **AT_ONCE),
    "two hundred, few calls": Case(200, mean_tokens=12_000.0, quiet_ms=9_000, **AT_ONCE),
    "two hundred, many calls": Case(200, mean_tokens=150.0, quiet_ms=9_000, **AT_ONCE),
    "nothing known": Case(30, calm_ms=500.0, **BURST),
}  # fmt: skip


@pytest.mark.parametrize("case", CASES.values(), ids=CASES.keys())
def test_no_window_overloads_a_cold_server(case: Case) -> None:
    """It answers at once, so nothing but the slow start holds the routers back."""
    for seed in (1, 2, 3):
        sent = ColdFleet(replace(case, tireless=True), seed).play()
        assert max_overload_ratio(case, sent, weighted=True) <= 1.0
        assert max_overload_ratio(case, sent, weighted=False) <= 1.0


@pytest.mark.parametrize(
    ("name", "least"),
    [("thirty", 0.3), ("two hundred", 0.3), ("three", 0.3), ("short requests", 0.4), ("equal work", 0.6)],
)
def test_cold_prefill_server_is_not_starved(name: str, least: float) -> None:
    case = CASES[name]
    assert sum(share_used(case, ColdFleet(case, seed).play()) for seed in (1, 2, 3)) / 3 >= least
