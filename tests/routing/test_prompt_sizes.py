"""Near full load, the longest prompts are not shed much more often than the many short ones."""

from __future__ import annotations

import pytest

from tests.routing.sized_fleet import SizedFleet

# Minimum answered share of the tenth with the longest prompts, relative to that of all requests.
MIN_RATIO, MIN_RATIO_OVERLOADED = 2 / 3, 1 / 2
LENGTH_MS = 30_000.0
SEEDS = (1, 2, 3)


@pytest.mark.parametrize("routers", [1, 4, 30])
@pytest.mark.parametrize(
    ("load", "min_ratio"), [(0.6, MIN_RATIO), (0.9, MIN_RATIO), (1.2, MIN_RATIO_OVERLOADED)]
)
def test_longest_prompts_get_their_share_of_answers(routers: int, load: float, min_ratio: float) -> None:
    shares = [SizedFleet(routers, load, seed).run(LENGTH_MS) for seed in SEEDS]
    share, longest_share = (sum(each[index] for each in shares) / len(SEEDS) for index in (0, 1))
    assert share > 0.4
    assert longest_share >= min_ratio * share
