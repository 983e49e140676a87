"""A cold server under what all routers send: never more than it bears, and not next to nothing.

Routers share nothing, learn of it within 50 ms of each other, and some see many times others' traffic.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from tests.routing.cold_fleet import ColdFleet
from tests.routing.cold_fleet_measures import max_overload_ratio, share_used
from tests.routing.cold_scenario import Scenario

BURST: dict[str, Any] = {"load": 1.0, "burst_factor": 3.0}
LARGER: dict[str, Any] = {
    "load": 0.7,
    "burst_factor": 0.6,
    "large_share": 0.05,
    "large_share_in_burst": 0.6,
}
AT_ONCE: dict[str, Any] = {"load": 1.0, "burst_factor": 10.0}  # after a time in which hardly anything came

CASES = {
    "thirty": Scenario(30, **BURST),
    "thirty, a writer": Scenario(30, cold_decode_server=True, **BURST),
    "three": Scenario(3, **BURST),
    "two hundred": Scenario(200, **BURST),
    "equal work": Scenario(30, work_ratio=1.0, **BURST),
    "short requests": Scenario(30, mean_tokens=300.0, **BURST),
    "long requests": Scenario(30, mean_tokens=6_000.0, **BURST),
    "little at first": Scenario(30, 0.1, 4.0, 1_000.0, 10_000.0, **BURST),
    "long windows": Scenario(30, 0.1, 2.0, 6_000.0, 8_000.0, **BURST),
    "low multiple": Scenario(30, 0.5, 1.5, 5_000.0, 20_000.0, **BURST),
    "larger ones come": Scenario(30, **LARGER),
    "larger ones come, short": Scenario(30, mean_tokens=300.0, **LARGER),
    "larger ones come, a writer": Scenario(30, mean_tokens=300.0, cold_decode_server=True, **LARGER),
    "all at once": Scenario(30, quiet_ms=9_000, **AT_ONCE),
    "all at once, two hundred": Scenario(200, warm_after_ms=30_000, quiet_ms=25_000, **AT_ONCE),
    "three, all at once": Scenario(3, quiet_ms=9_000, **AT_ONCE),
    "twenty": Scenario(20, **BURST),
    "twenty, all at once": Scenario(20, quiet_ms=9_000, **AT_ONCE),
    "twenty, few calls each": Scenario(20, mean_tokens=12_000.0, quiet_ms=9_000, **AT_ONCE),
    "two hundred, few calls": Scenario(200, mean_tokens=12_000.0, quiet_ms=9_000, **AT_ONCE),
    "two hundred, many calls": Scenario(200, mean_tokens=150.0, quiet_ms=9_000, **AT_ONCE),
    "nothing known": Scenario(30, lead_ms=500.0, **BURST),
}  # fmt: skip


@pytest.mark.parametrize("case", CASES.values(), ids=CASES.keys())
def test_no_window_overloads_a_cold_server(case: Scenario) -> None:
    """It answers at once, so nothing but the slow start holds the routers back."""
    for seed in (1, 2, 3):
        sent = ColdFleet(replace(case, unlimited_service=True), seed).run()
        assert max_overload_ratio(case, sent, weighted=True) <= 1.0
        assert max_overload_ratio(case, sent, weighted=False) <= 1.0


@pytest.mark.parametrize(
    ("name", "least"),
    [("thirty", 0.3), ("two hundred", 0.3), ("three", 0.3), ("short requests", 0.4), ("equal work", 0.6)],
)
def test_cold_prefill_server_is_not_starved(name: str, least: float) -> None:
    case = CASES[name]
    assert sum(share_used(case, ColdFleet(case, seed).run()) for seed in (1, 2, 3)) / 3 >= least
