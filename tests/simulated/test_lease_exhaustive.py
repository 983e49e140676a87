"""All orders of events of a small lease, as deep as a few seconds allow; `benchmarks/` goes deeper."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from ringledge.decide.leases.manager import LeaseTerms
from tests.simulated.exhaustive import VOTERS, Model, search, starts
from tests.simulated.mutants import Minority, NoMargin, Silent, no_lock, votes_at_once

TERMS = LeaseTerms(VOTERS)
STEPS, RESTARTS = 8, 2
DEPTHS = {  # events beyond each start, with the states that are seen
    "at rest": (6, 20_000),
    "asked": (5, 12_000),
    "held": (5, 18_000),
    "held two thirds of a lease": (5, 40_000),
    "two voters started again": (7, 12_000),
    "two voters learn": (5, 9_000),
}


@pytest.mark.parametrize("start", DEPTHS)
def test_no_order_of_events_breaks_the_lease(start: str) -> None:
    model = Model(TERMS, STEPS, RESTARTS)
    depth, states = DEPTHS[start]
    found = search(model, starts(model)[start], depth)
    assert found.broken == "", found.path
    assert found.depth == depth
    assert found.states >= states  # a search that stopped looking would pass everything


@pytest.mark.parametrize(
    ("terms", "breaks", "start", "turns", "depth"),
    [
        (NoMargin(VOTERS), None, "held two thirds of a lease", "yab", 7),
        (Minority(VOTERS), None, "held", "yc", 3),
        (TERMS, no_lock, "held", "yab", 6),
        (Silent(VOTERS), votes_at_once, "two voters started again", "yab", 8),
        (TERMS, votes_at_once, "two voters learn", "yab", 6),
    ],
    ids=["no margin", "a minority decides", "no lock", "no silence", "no learning"],
)
def test_a_mutant_is_caught(
    terms: LeaseTerms,
    breaks: Callable[[pytest.MonkeyPatch], None] | None,
    start: str,
    turns: str,
    depth: int,
) -> None:
    with pytest.MonkeyPatch.context() as patch:
        if breaks is not None:
            breaks(patch)
        model = Model(terms, STEPS, RESTARTS)
        found = search(
            model,
            starts(model)[start],
            depth,
            lambda what: what[0] in turns + "w" and "restarts" not in what,
        )
    assert found.broken
