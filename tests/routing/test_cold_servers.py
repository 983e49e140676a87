"""Load of a cold server from all routers together: it is neither overloaded nor starved.

The routers share no state, learn of the server within 50 ms of each other, and differ widely in traffic.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from tests.routing.cold_fleet import ColdFleet
from tests.routing.cold_fleet_measures import max_overload_ratio, share_used
from tests.routing.cold_scenario import Scenario

BURST: dict[str, Any] = {"load": 1.0, "burst_factor": 3.0}
LARGER_REQUESTS: dict[str, Any] = {
    "load": 0.7,
    "burst_factor": 0.6,
    "large_share": 0.05,
    "large_share_in_burst": 0.6,
}
BURST_AFTER_IDLE: dict[str, Any] = {"load": 1.0, "burst_factor": 10.0}

SCENARIOS = {
    "30 routers": Scenario(30, **BURST),
    "30 routers, decode server": Scenario(30, cold_decode_server=True, **BURST),
    "3 routers": Scenario(3, **BURST),
    "200 routers": Scenario(200, **BURST),
    "equal work": Scenario(30, work_ratio=1.0, **BURST),
    "short requests": Scenario(30, mean_tokens=300.0, **BURST),
    "long requests": Scenario(30, mean_tokens=6_000.0, **BURST),
    "low cold capacity": Scenario(30, 0.1, 4.0, 1_000.0, 10_000.0, **BURST),
    "long window": Scenario(30, 0.1, 2.0, 6_000.0, 8_000.0, **BURST),
    "low multiple": Scenario(30, 0.5, 1.5, 5_000.0, 20_000.0, **BURST),
    "shift to large requests": Scenario(30, **LARGER_REQUESTS),
    "shift to large requests, short prompts": Scenario(30, mean_tokens=300.0, **LARGER_REQUESTS),
    "shift to large requests, decode server": Scenario(
        30, mean_tokens=300.0, cold_decode_server=True, **LARGER_REQUESTS
    ),
    "burst after idle": Scenario(30, quiet_ms=9_000, **BURST_AFTER_IDLE),
    "burst after idle, 200 routers": Scenario(200, warm_after_ms=30_000, quiet_ms=25_000, **BURST_AFTER_IDLE),
    "burst after idle, 3 routers": Scenario(3, quiet_ms=9_000, **BURST_AFTER_IDLE),
    "20 routers": Scenario(20, **BURST),
    "burst after idle, 20 routers": Scenario(20, quiet_ms=9_000, **BURST_AFTER_IDLE),
    "few requests, 20 routers": Scenario(20, mean_tokens=12_000.0, quiet_ms=9_000, **BURST_AFTER_IDLE),
    "few requests, 200 routers": Scenario(200, mean_tokens=12_000.0, quiet_ms=9_000, **BURST_AFTER_IDLE),
    "many requests, 200 routers": Scenario(200, mean_tokens=150.0, quiet_ms=9_000, **BURST_AFTER_IDLE),
    "no earlier observations": Scenario(30, lead_ms=500.0, **BURST),
}  # fmt: skip


@pytest.mark.parametrize("scenario", SCENARIOS.values(), ids=SCENARIOS.keys())
def test_no_window_overloads_a_cold_server(scenario: Scenario) -> None:
    """The server answers at once, so only the slow start limits what the routers send."""
    for seed in (1, 2, 3):
        attempts = ColdFleet(replace(scenario, unlimited_service=True), seed).run()
        assert max_overload_ratio(scenario, attempts, weighted=True) <= 1.0
        assert max_overload_ratio(scenario, attempts, weighted=False) <= 1.0


@pytest.mark.parametrize(
    ("name", "min_share"),
    [
        ("30 routers", 0.3),
        ("200 routers", 0.3),
        ("3 routers", 0.3),
        ("short requests", 0.4),
        ("equal work", 0.6),
    ],
)
def test_cold_prefill_server_is_not_starved(name: str, min_share: float) -> None:
    scenario = SCENARIOS[name]
    assert sum(share_used(scenario, ColdFleet(scenario, seed).run()) for seed in (1, 2, 3)) / 3 >= min_share
