"""The checks bite: each mutant breaks an invariant in its case, and the program doesn't."""

from __future__ import annotations

import pytest

from tests.simulated.held import BrokenError
from tests.simulated.mutants import MUTANTS, TERMS, Mutant

SEEDS = range(6)  # a case's network differs by seed; one that shows the mutant is enough


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda each: each.name)
def test_a_mutant_is_caught(mutant: Mutant) -> None:
    caught = []
    for seed in SEEDS:
        with pytest.MonkeyPatch.context() as patch:
            mutant.breaks(patch)
            try:
                mutant.case(seed, mutant.terms)
            except BrokenError as error:
                caught.append(str(error))
    assert any("is held by" in each or "not above" in each or "stale" in each for each in caught), caught


@pytest.mark.parametrize("mutant", MUTANTS[:-1], ids=lambda each: each.name)
def test_the_program_keeps_its_case(mutant: Mutant) -> None:
    for seed in SEEDS:
        mutant.case(seed, TERMS)
