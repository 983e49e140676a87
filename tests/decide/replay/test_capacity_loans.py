"""Loans of spare capacity: fractions never add up to more than 1, whatever happens to messages and clocks."""

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


class World:
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
        if restart:  # another member holds the site's lease from now on, with its own clock
            self.tokens[restart] += 1
            self.offsets[restart] += self.rng.uniform(0, 1e4)
            self.sites[restart] = CapacityLoans(restart, WEIGHTS, self.tokens[restart], self.now(restart))
            if not wait_for_loans:
                self.sites[restart]._lending_from_s = -1e9
        for site, loans in self.sites.items():
            loans.update_demand(self.now(site), demands.get(site, 0.0))
            for key, row in loans.records().items():
                for to in WEIGHTS:
                    if to != site and self.rng.random() > self.loss:
                        self.in_transit.append((self.at_s + self.rng.expovariate(1.0), to, key, row))
        due = [each for each in self.in_transit if each[0] <= self.at_s]
        self.in_transit = [each for each in self.in_transit if each[0] > self.at_s]
        for _, to, key, row in due:  # in any order: an older one may come after a newer
            self.received[to][key] = row
        for site, loans in self.sites.items():
            told = self.received[site]
            requests = {key[5:]: row for key, row in told.items() if isinstance(row, LoanRequest)}
            grants = {
                key.split("/")[1]: row
                for key, row in told.items()
                if isinstance(row, LoanGrant) and key.endswith(f"/{site}")
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
    turns=st.lists(
        st.tuples(
            st.dictionaries(st.sampled_from("abc"), st.sampled_from([0.1, 0.5, 1.0])),
            st.integers(1, 20),
            st.sampled_from(["", "", "a", "b", "c"]),
        ),
        max_size=8,
    ),
)
def test_available_fractions_never_add_up_to_more_than_1(
    seed: int, loss: float, turns: list[tuple[dict[str, float], int, str]]
) -> None:
    world = World(seed, loss)
    for demands, steps, restart in turns:
        world.step(demands, restart or None)
        for _ in range(steps):
            world.step(demands)
        assert world.max_total <= 1 + 1e-9


def restart_lender_under_demand(world: World, wait_for_loans: bool = True) -> World:
    for _ in range(40):
        world.step({"a": 1.0})
    world.step({"a": 1.0, "b": 1.0, "c": 1.0}, restart="c", wait_for_loans=wait_for_loans)
    for _ in range(30):
        world.step({"a": 1.0, "b": 1.0, "c": 1.0})
    return world


def test_single_site_with_demand_borrows_all_and_owners_get_theirs_back() -> None:
    world = World(1, 0.0)
    for _ in range(40):
        world.step({"a": 1.0})
    assert world.sites["a"].available_fraction(world.now("a")) == pytest.approx(1.0)
    for _ in range(40):
        world.step({"a": 1.0, "b": 1.0, "c": 1.0})
    parts = {site: each.available_fraction(world.now(site)) for site, each in world.sites.items()}
    assert parts == pytest.approx({"a": 0.25, "b": 0.25, "c": 0.5})
    assert world.max_total <= 1 + 1e-9


def test_site_without_messages_keeps_its_own_fraction() -> None:
    world = World(1, 1.0)
    for _ in range(60):
        world.step({"a": 1.0})
    assert world.sites["a"].available_fraction(world.now("a")) == pytest.approx(0.25)


def test_mutant_holder_that_does_not_wait_for_loans_is_detected() -> None:
    """The mutant: what its predecessor lent is still in use."""
    assert restart_lender_under_demand(World(3, 0.0)).max_total <= 1 + 1e-9
    assert restart_lender_under_demand(World(3, 0.0), wait_for_loans=False).max_total > 1.2


def test_mutant_loan_counted_from_its_receipt_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """The mutant: a borrower that counts from the answer's arrival uses it after its lender has it back."""
    receive = CapacityLoans.receive

    def late(
        self: CapacityLoans, now_s: float, requests: dict[str, LoanRequest], grants: dict[str, LoanGrant]
    ) -> None:
        self._open_requests = {number: now_s for number in self._open_requests}
        receive(self, now_s, requests, grants)

    def game() -> World:
        world = World(5, 0.0)
        for _ in range(20):
            world.step({"a": 1.0})
        for _ in range(30):
            world.step({"a": 1.0, "b": 1.0, "c": 1.0})
        return world

    assert game().has_borrowed and game().max_total <= 1 + 1e-9
    monkeypatch.setattr(CapacityLoans, "receive", late)
    assert game().max_total > 1.0 + 1e-6


def test_loans_are_shorter_for_who_borrows_than_for_who_lends() -> None:
    lender, borrower = CapacityLoans("b", WEIGHTS, 1, -100.0), CapacityLoans("a", WEIGHTS, 7, -100.0)
    borrower.update_demand(0.0, 1.0)
    want = borrower.records()["want/a"]
    assert isinstance(want, LoanRequest)
    lender.receive(0.0, {"a": want}, {})
    lend = lender.records()["lend/b/a"]
    assert isinstance(lend, LoanGrant)
    borrower.receive(0.1, {}, {"b": lend})
    ends = partial(borrower.available_fraction), partial(lender.available_fraction)
    before_s, after_s = LOAN_DURATION_S * (1 - MAX_CLOCK_DRIFT), LOAN_DURATION_S * (1 + MAX_CLOCK_DRIFT)
    assert ends[0](before_s - 0.01) == pytest.approx(0.5) and ends[0](before_s) == pytest.approx(0.25)
    assert ends[1](after_s - 0.01) == 0.0 and ends[1](after_s) == pytest.approx(0.25)
    assert before_s / 2 > loans_module.REQUEST_INTERVAL_S  # a renewal has two tries
