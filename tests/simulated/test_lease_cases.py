"""The hard cases of leased duties, each by itself; every step of each is checked by `Held`."""

from __future__ import annotations

from functools import partial

import pytest

from ringledge.decide.leases.manager import LeaseTerms
from tests.simulated import cases
from tests.simulated.held import Held

TERMS = LeaseTerms(("a", "b", "c"))
FIVE = LeaseTerms(("a", "b", "c", "d", "e"))


def test_a_holder_stopped_between_check_and_effect_is_refused_when_it_goes_on() -> None:
    held = cases.stopped_before_the_effect(1, TERMS)
    assert held.receiver.fence.rejected >= 1
    assert held.begins["planner"] == 2


def test_a_holder_that_hears_but_is_not_heard_loses_the_duty_and_another_begins() -> None:
    held = cases.settled(2, TERMS)
    before = held.holder()
    others = [each for each in held.names if each != before]
    held.world.network.cut([before], others, one_way=True)
    assert held.covered_within(5, others) <= 5
    assert held.world.network.counts["cut"] > 0
    held.world.run_for(10)
    assert held.begins["planner"] == 2


def test_a_holder_that_is_heard_but_does_not_hear_loses_it_too() -> None:
    held = cases.settled(3, TERMS)
    before = held.holder()
    others = [each for each in held.names if each != before]
    held.world.network.cut(others, [before], one_way=True)
    held.covered_within(5, others)
    held.world.run_for(10)
    assert held.begins["planner"] == 2


@pytest.mark.parametrize("seed", range(5))
def test_every_voter_restarts_within_a_lease(seed: int) -> None:
    held = cases.voters_restart(seed, TERMS)
    held.covered_within(9)
    assert held.begins["planner"] >= 2


@pytest.mark.parametrize("seed", range(5))
def test_all_restart_at_once_and_tokens_go_on(seed: int) -> None:
    held = cases.settled(seed, TERMS)
    for _ in range(3):
        before = held.tops["planner"]
        held.start_all()
        held.covered_within(9)
        assert held.tops["planner"] > before


@pytest.mark.parametrize("seed", range(5))
def test_a_fast_voter_and_a_slow_holder_leave_no_overlap(seed: int) -> None:
    cases.rates_apart(seed, TERMS)


def test_five_split_in_two_two_and_one_hold_nothing_and_one_once_healed() -> None:
    held = cases.settled(4, FIVE)
    held.world.network.split("ab", "cd", "e")
    held.world.run_for(4)
    assert held.holders("planner") == []
    held.world.run_for(20)
    assert held.begins["planner"] == 1
    held.world.network.heal()
    held.covered_within(2)
    assert held.begins["planner"] == 2


@pytest.mark.parametrize("who", ["holder", "voter", "other"])
def test_one_member_that_loses_every_second_datagram_moves_nothing(who: str) -> None:
    held = cases.settled(5, FIVE, names="abcdefg")
    others = [each for each in held.names if each != held.holder()]
    named = {"holder": held.holder(), "voter": others[0], "other": others[-1]}[who]
    held.world.network.loss_at[named] = 0.5
    held.world.run_for(60)
    assert held.world.network.counts["lost"] > 50
    assert held.begins["planner"] == 1


@pytest.mark.parametrize("seed", range(30))
def test_a_holder_that_ends_in_good_order_is_followed_within_a_fifth_of_a_second(seed: int) -> None:
    held = cases.settled(seed, TERMS)
    before = held.holder()
    held.world.network.delay_s = (0.0005, 0.027)
    held.world.processes[before].run(partial(cases.give_up, held, before))
    assert held.covered_within(0.2) <= 0.2
    assert held.holder() != before


@pytest.mark.parametrize("seed", range(10))
def test_a_member_that_ends_itself_hands_all_on_and_votes_no_more(seed: int) -> None:
    held = cases.settled(seed, FIVE)
    before = held.holder()
    process, leases = held.world.processes[before], held.leases[before]
    process.run(lambda: process.act(leases.stop(process.clock_s())))
    assert leases.acceptor is None
    held.covered_within(0.2)
    held.world.run_for(10)
    assert held.holder() not in ("", before)
    assert held.begins["planner"] == 2


@pytest.mark.parametrize("how", ["kill", "stop", "cut"])
@pytest.mark.parametrize("seed", range(10))
def test_a_holder_that_is_gone_is_followed_within_five_seconds(seed: int, how: str) -> None:
    held = cases.settled(seed, FIVE)
    before = held.holder()
    others = [each for each in held.names if each != before]
    if how == "kill":
        held.world.kill(before)
    elif how == "stop":
        held.world.processes[before].stop()
    else:
        held.world.network.cut([before], others)
    held.covered_within(5, others)
    if how == "stop":
        held.world.processes[before].go_on()
    held.world.network.heal()
    after = held.holder()
    held.world.run_for(20)  # one that is back takes nothing from a holder that is well
    assert held.holder() == after
    assert held.begins["planner"] == 2


def test_duties_are_spread() -> None:
    duties = [f"replay/{each}" for each in range(5)]
    most = []
    for seed in range(10):
        held = Held(seed, "abcde", FIVE, duties)
        held.start_all()
        held.covered_within(9)
        holders = [held.holder(each) for each in duties]
        most.append(max(holders.count(each) for each in held.names))
    assert sum(most) / len(most) <= 2.0


def test_overloaded_members_follow_only_where_nobody_else_does() -> None:
    held = cases.settled(6, TERMS)
    before = held.holder()
    well = next(each for each in held.names if each != before)
    for name in held.names:
        held.leases[name].set_eligible(name == well)
    held.world.processes[before].run(partial(cases.give_up, held, before))
    held.covered_within(0.5, [well])
    held.leases[well].set_eligible(False)
    held.world.processes[well].run(partial(cases.give_up, held, well))
    assert held.covered_within(15) > 5


def test_members_with_other_voters_named_are_not_heard() -> None:
    held = cases.settled(7, TERMS)
    holder = held.holder()
    stray = next(each for each in held.names if each not in (holder, "a"))
    held.terms = LeaseTerms(("a", "b", "d"))
    held.world.start(stray)
    held.world.run_for(10)
    assert held.holder() == holder
    voter = held.leases["a"].acceptor
    assert voter is not None and voter.mismatched_terms > 0


def test_without_a_majority_that_remembers_nobody_holds_until_all_voters_met_or_are_named_anew() -> None:
    for mended_by in ("the missing one", "another list"):
        held = cases.settled(8, TERMS, names="abcxyz")
        before = held.tops["planner"]
        held.world.kill("a")
        held.world.start("b")
        held.world.run_for(20)
        assert held.holders("planner") == []
        if mended_by == "the missing one":
            held.world.start("a")
        else:
            held.terms = LeaseTerms(("b", "c", "x"), generation=2)
            held.start_all(but="a")
        held.covered_within(9)
        assert held.tops["planner"] > before
