"""The longest prompts among many short ones at nearly full servers are not shed more than others."""

from __future__ import annotations

import pytest

from tests.routing.sized_fleet import SizedFleet

QUIET, BUSY = 2 / 3, 1 / 2  # of its class's answered share that the tenth with the longest prompts gets
LENGTH_MS = 30_000.0
SEEDS = (1, 2, 3)


@pytest.mark.parametrize("routers", [1, 4, 30])
@pytest.mark.parametrize(("load", "least"), [(0.6, QUIET), (0.9, QUIET), (1.2, BUSY)])
def test_longest_prompts_get_their_share_of_answers(routers: int, load: float, least: float) -> None:
    shares = [SizedFleet(routers, load, seed).run(LENGTH_MS) for seed in SEEDS]
    every, longest = (sum(each[place] for each in shares) / len(SEEDS) for place in (0, 1))
    assert every > 0.4
    assert longest >= least * every
