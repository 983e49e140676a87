"""Searches all orders of events of a small lease, to the depth that a few seconds allow.

benchmarks/duties.py searches deeper.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from ringledge.decide.leases.manager import LeaseTerms
from tests.simulated.exhaustive import ACCEPTORS, Model
from tests.simulated.mutants import (
    MinorityQuorum,
    NoDriftMargin,
    NoStartupSilence,
    no_lock,
    skip_state_transfer,
)
from tests.simulated.search import initial_states, search

TERMS = LeaseTerms(ACCEPTORS)
MAX_STEPS = 8
MAX_RESTARTS = 2
MIN_STATES = {  # by initial state: depth in events, and the minimum number of states within it
    "at rest": (6, 20_000),
    "prepared": (5, 12_000),
    "held": (5, 18_000),
    "held two thirds of a lease": (5, 40_000),
    "two acceptors restarted": (7, 12_000),
    "two acceptors recovering": (5, 9_000),
}


@pytest.mark.parametrize("initial", MIN_STATES)
def test_no_order_of_events_violates_an_invariant(initial: str) -> None:
    model = Model(TERMS, MAX_STEPS, MAX_RESTARTS)
    depth, min_states = MIN_STATES[initial]
    result = search(model, initial_states(model)[initial], depth)
    assert result.violation == "", result.path
    assert result.depth == depth
    assert result.states >= min_states  # a search that ended early would pass everything


@pytest.mark.parametrize(
    ("terms", "mutate", "initial", "processes", "depth"),
    [
        (NoDriftMargin(ACCEPTORS), None, "held two thirds of a lease", "yab", 7),
        (MinorityQuorum(ACCEPTORS), None, "held", "yc", 3),
        (TERMS, no_lock, "held", "yab", 6),
        (NoStartupSilence(ACCEPTORS), skip_state_transfer, "two acceptors restarted", "yab", 8),
        (TERMS, skip_state_transfer, "two acceptors recovering", "yab", 6),
    ],
    ids=["no drift margin", "a minority decides", "no lock", "no silence", "no state transfer"],
)
def test_search_finds_the_violation_of_a_mutant(
    terms: LeaseTerms,
    mutate: Callable[[pytest.MonkeyPatch], None] | None,
    initial: str,
    processes: str,
    depth: int,
) -> None:
    with pytest.MonkeyPatch.context() as patch:
        if mutate is not None:
            mutate(patch)
        model = Model(terms, MAX_STEPS, MAX_RESTARTS)
        result = search(
            model,
            initial_states(model)[initial],
            depth,
            lambda event: event[0] in processes + "w" and "restarts" not in event,
        )
    assert result.violation
