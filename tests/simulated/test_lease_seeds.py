"""Runs of random faults from seeds; `python -m benchmarks.fleet_seeds --only SEED` repeats one of them."""

from __future__ import annotations

import pytest

from tests.simulated.faults import MAX_COVERAGE_S, run_seed

SEED_RANGES = [range(first, first + 10) for first in range(0, 120, 10)]


@pytest.mark.parametrize("seeds", SEED_RANGES, ids=lambda seeds: f"{seeds.start}-{seeds.stop - 1}")
def test_no_seed_violates_an_invariant(seeds: range) -> None:
    reports = [run_seed(seed) for seed in seeds]
    assert [f"seed {each.seed}: {each.violation}" for each in reports if each.violation] == []
    assert max(each.max_coverage_s for each in reports) <= MAX_COVERAGE_S
    # Effects, acquisitions and faults have to occur, since a run without them would pass all checks.
    assert sum(each.applied for each in reports) > 100
    assert sum(each.acquisitions for each in reports) > 2 * len(seeds)
    assert len({fault for each in reports for fault in each.faults}) >= 6


def test_seed_gives_the_same_report_each_time() -> None:
    assert run_seed(11) == run_seed(11)
