"""Each mutant violates an invariant in its case, and the program violates none."""

from __future__ import annotations

import pytest

from tests.simulated.fleet import InvariantError
from tests.simulated.mutants import MUTANTS, TERMS, Mutant

SEEDS = range(6)  # a case's network differs by seed; one violation is enough


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_case_finds_the_violation_of_its_mutant(mutant: Mutant) -> None:
    violations = []
    for seed in SEEDS:
        with pytest.MonkeyPatch.context() as patch:
            mutant.apply(patch)
            try:
                mutant.case(seed, mutant.terms)
            except InvariantError as error:
                violations.append(str(error))
    assert any(
        "is held by" in each or "not above" in each or "stale" in each for each in violations
    ), violations


@pytest.mark.parametrize("mutant", MUTANTS[:-1], ids=lambda mutant: mutant.name)
def test_program_violates_no_invariant_in_the_case(mutant: Mutant) -> None:
    for seed in SEEDS:
        mutant.case(seed, TERMS)
