"""Decisions are as in revision e65138a, except in `policy-overtaken`; changed decisions are found."""

from __future__ import annotations

from collections.abc import Iterator
from importlib import import_module
from itertools import islice

import pytest

from tests.compatibility.golden import first_difference
from tests.compatibility.traces import TRACES


@pytest.mark.parametrize("name", TRACES)
def test_every_decision_is_as_before(name: str) -> None:
    assert first_difference(f"trace-{name}.txt", list(TRACES[name]())) == ""


# A changed constant for each trace: module, name, value.
MUTANTS: dict[str, tuple[str, str, object]] = {
    "policy": ("ringledge.routing.termination", "RETRY_AFTER_SHARE", 0.26),
    "policy-overtaken": ("ringledge.routing.observations", "OVERTAKEN_SHARE", 0.6),
    "overload": ("ringledge.decide.overload.admission", "REJECTION_COST_WEIGHT", 0.41),
    "gate": ("ringledge.core.gate", "EVICTION_FRACTION", 0.11),
    "leases": ("ringledge.decide.leases.proposer", "RENEWAL_FRACTION", 0.26),
    "membership": ("ringledge.decide.membership.periodic", "REJOIN_INTERVALS", 4),
    "ratio": ("ringledge.decide.ratio.demand_estimate", "OUTLIER_FACTOR", 1.2),
    "replay": ("ringledge.decide.replay.rate_control", "DECREASE_FACTOR", 0.51),
}


@pytest.mark.parametrize("name", TRACES)
def test_a_changed_decision_is_found(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    module, constant, value = MUTANTS[name]
    assert getattr(import_module(module), constant) != value
    monkeypatch.setattr(f"{module}.{constant}", value)
    assert first_difference(f"trace-{name}.txt", list(TRACES[name]())) != ""


@pytest.mark.parametrize("name", TRACES)
def test_a_missing_step_is_found(name: str) -> None:
    def shortened() -> Iterator[str]:
        steps = list(TRACES[name]())
        return islice(steps, len(steps) - 1)

    assert "steps" in first_difference(f"trace-{name}.txt", list(shortened()))
