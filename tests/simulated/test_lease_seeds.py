"""Stormy days from seeds; one that fails plays again by `python -m benchmarks.fleet_seeds --only SEED`."""

from __future__ import annotations

import pytest

from tests.simulated.faults import COVERED_S, play

PARTS = [range(first, first + 10) for first in range(0, 120, 10)]


@pytest.mark.parametrize("seeds", PARTS, ids=lambda part: f"{part.start}-{part.stop - 1}")
def test_no_seed_breaks_an_invariant(seeds: range) -> None:
    reports = [play(seed) for seed in seeds]
    assert [f"seed {each.seed}: {each.broken}" for each in reports if each.broken] == []
    assert max(each.longest_s for each in reports) <= COVERED_S
    # The days were days: something was done, lost and handed on.
    assert sum(each.applied for each in reports) > 100
    assert sum(each.begins for each in reports) > 2 * len(seeds)
    assert len({fault for each in reports for fault in each.faults}) >= 6


def test_a_seed_plays_the_same_again() -> None:
    assert play(11) == play(11)
