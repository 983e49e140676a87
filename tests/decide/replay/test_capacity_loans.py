"""Loans of spare capacity: the available fractions never add up to more than 1."""

from __future__ import annotations

import random
from functools import partial

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ringledge.decide.replay import capacity_loans as loans_module
from ringledge.decide.replay.capacity_loans import (
    LOAN_DURATION_S,
    MAX_CLOCK_DRIFT,
    CapacityLoans,
    LoanGrant,
    LoanRequest,
)

WEIGHTS = {"a": 1.0, "b": 1.0, "c": 2.0}


class LoanSimulation:
    """Sites with clocks of different rates, whose records arrive late, out of order, or never."""

    def __init__(self, seed: int, loss: float, wait_for_loans: bool = True) -> None:
        self.rng, self.loss, self.at_s = random.Random(seed), loss, 0.0
        self.rates = {site: 1 + self.rng.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT) / 2.1 for site in WEIGHTS}
        self.offsets = {site: self.rng.uniform(0, 1e5) for site in WEIGHTS}
        self.tokens = dict.fromkeys(WEIGHTS, 1)
        self.sites = {site: CapacityLoans(site, WEIGHTS, 1, self.now(site)) for site in WEIGHTS}
        self.in_transit: list[tuple[float, str, str, LoanRequest | LoanGrant]] = []
        self.received: dict[str, dict[str, LoanRequest | LoanGrant]] = {site: {} for site in WEIGHTS}
        self.max_total, self.has_borrowed = 0.0, False
        if not wait_for_loans:
            for loans in self.sites.values():
                loans._lending_from_s = -1e9

    def now(self, site: str) -> float:
        return self.offsets[site] + self.at_s * self.rates[site]

    def step(
        self, demands: dict[str, float], restart: str | None = None, wait_for_loans: bool = True
    ) -> None:
        self.at_s += 0.5
        if restart:  # the lease moves to another member, which has its own clock
            self.tokens[restart] += 1
            self.offsets[restart] += self.rng.uniform(0, 1e4)
            self.sites[restart] = CapacityLoans(restart, WEIGHTS, self.tokens[restart], self.now(restart))
            if not wait_for_loans:
                self.sites[restart]._lending_from_s = -1e9
        for site, loans in self.sites.items():
            loans.update_demand(self.now(site), demands.get(site, 0.0))
            for key, record in loans.records().items():
                for recipient in WEIGHTS:
                    if recipient != site and self.rng.random() > self.loss:
                        self.in_transit.append(
                            (self.at_s + self.rng.expovariate(1.0), recipient, key, record)
                        )
        due = [each for each in self.in_transit if each[0] <= self.at_s]
        self.in_transit = [each for each in self.in_transit if each[0] > self.at_s]
        for _, recipient, key, record in due:  # in any order: an older record may arrive after a newer one
            self.received[recipient][key] = record
        for site, loans in self.sites.items():
            site_records = self.received[site]
            requests = {
                key[5:]: record for key, record in site_records.items() if isinstance(record, LoanRequest)
            }
            grants = {
                key.split("/")[1]: record
                for key, record in site_records.items()
                if isinstance(record, LoanGrant) and key.endswith(f"/{site}")
            }
            loans.receive(self.now(site), requests, grants)
            self.has_borrowed = (
                self.has_borrowed or loans.available_fraction(self.now(site)) > loans.own_fraction
            )
        self.max_total = max(
            self.max_total, sum(each.available_fraction(self.now(site)) for site, each in self.sites.items())
        )


@settings(max_examples=150, deadline=None)
@given(
    seed=st.integers(0, 10_000),
    loss=st.sampled_from([0.0, 0.2, 0.6]),
    phases=st.lists(
        st.tuples(
            st.dictionaries(st.sampled_from("abc"), st.sampled_from([0.1, 0.5, 1.0])),
            st.integers(1, 20),
            st.sampled_from(["", "", "a", "b", "c"]),
        ),
        max_size=8,
    ),
)
def test_available_fractions_never_add_up_to_more_than_1(
    seed: int, loss: float, phases: list[tuple[dict[str, float], int, str]]
) -> None:
    simulation = LoanSimulation(seed, loss)
    for demands, steps, restart in phases:
        simulation.step(demands, restart or None)
        for _ in range(steps):
            simulation.step(demands)
        assert simulation.max_total <= 1 + 1e-9


def restart_lender_under_demand(simulation: LoanSimulation, wait_for_loans: bool = True) -> LoanSimulation:
    for _ in range(40):
        simulation.step({"a": 1.0})
    simulation.step({"a": 1.0, "b": 1.0, "c": 1.0}, restart="c", wait_for_loans=wait_for_loans)
    for _ in range(30):
        simulation.step({"a": 1.0, "b": 1.0, "c": 1.0})
    return simulation


def test_single_site_with_demand_borrows_all_and_returns_it_on_demand() -> None:
    simulation = LoanSimulation(1, 0.0)
    for _ in range(40):
        simulation.step({"a": 1.0})
    assert simulation.sites["a"].available_fraction(simulation.now("a")) == pytest.approx(1.0)
    for _ in range(40):
        simulation.step({"a": 1.0, "b": 1.0, "c": 1.0})
    fractions = {
        site: each.available_fraction(simulation.now(site)) for site, each in simulation.sites.items()
    }
    assert fractions == pytest.approx({"a": 0.25, "b": 0.25, "c": 0.5})
    assert simulation.max_total <= 1 + 1e-9


def test_site_without_messages_keeps_its_own_fraction() -> None:
    simulation = LoanSimulation(1, 1.0)
    for _ in range(60):
        simulation.step({"a": 1.0})
    assert simulation.sites["a"].available_fraction(simulation.now("a")) == pytest.approx(0.25)


def test_mutant_holder_that_does_not_wait_for_loans_is_detected() -> None:
    """The mutant holder uses its own fraction while loans granted by its predecessor are in use."""
    assert restart_lender_under_demand(LoanSimulation(3, 0.0)).max_total <= 1 + 1e-9
    assert restart_lender_under_demand(LoanSimulation(3, 0.0), wait_for_loans=False).max_total > 1.2


def test_mutant_loan_counted_from_its_receipt_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """A borrower that measures the loan from the receipt of the grant uses it after the loan's end."""
    receive = CapacityLoans.receive

    def receive_counting_from_receipt(
        self: CapacityLoans, now_s: float, requests: dict[str, LoanRequest], grants: dict[str, LoanGrant]
    ) -> None:
        self._open_requests = {number: now_s for number in self._open_requests}
        receive(self, now_s, requests, grants)

    def run_simulation() -> LoanSimulation:
        simulation = LoanSimulation(5, 0.0)
        for _ in range(20):
            simulation.step({"a": 1.0})
        for _ in range(30):
            simulation.step({"a": 1.0, "b": 1.0, "c": 1.0})
        return simulation

    assert run_simulation().has_borrowed and run_simulation().max_total <= 1 + 1e-9
    monkeypatch.setattr(CapacityLoans, "receive", receive_counting_from_receipt)
    assert run_simulation().max_total > 1.0 + 1e-6


def test_loan_ends_earlier_for_the_borrower_than_for_the_lender() -> None:
    lender, borrower = CapacityLoans("b", WEIGHTS, 1, -100.0), CapacityLoans("a", WEIGHTS, 7, -100.0)
    borrower.update_demand(0.0, 1.0)
    request = borrower.records()["want/a"]
    assert isinstance(request, LoanRequest)
    lender.receive(0.0, {"a": request}, {})
    grant = lender.records()["lend/b/a"]
    assert isinstance(grant, LoanGrant)
    borrower.receive(0.1, {}, {"b": grant})
    fraction_at = partial(borrower.available_fraction), partial(lender.available_fraction)
    before_s, after_s = LOAN_DURATION_S * (1 - MAX_CLOCK_DRIFT), LOAN_DURATION_S * (1 + MAX_CLOCK_DRIFT)
    assert fraction_at[0](before_s - 0.01) == pytest.approx(0.5) and fraction_at[0](
        before_s
    ) == pytest.approx(0.25)
    assert fraction_at[1](after_s - 0.01) == 0.0 and fraction_at[1](after_s) == pytest.approx(0.25)
    assert before_s / 2 > loans_module.REQUEST_INTERVAL_S  # a loan can be renewed by either of two requests
