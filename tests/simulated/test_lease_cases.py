"""Cases of a single fault; `SimulatedFleet` checks the lease invariants at each event."""

from __future__ import annotations

from functools import partial

import pytest

from ringledge.decide.leases.manager import LeaseTerms
from tests.simulated import cases
from tests.simulated.fleet import SimulatedFleet

TERMS = LeaseTerms(("a", "b", "c"))
FIVE = LeaseTerms(("a", "b", "c", "d", "e"))


def test_effect_of_a_holder_suspended_after_its_check_is_rejected() -> None:
    fleet = cases.suspended_between_check_and_effect(1, TERMS)
    assert fleet.receiver.fence.rejected >= 1
    assert fleet.acquisitions["planner"] == 2


def test_holder_whose_messages_are_lost_is_replaced() -> None:
    fleet = cases.settled_fleet(2, TERMS)
    previous = fleet.holder()
    others = cases.others_than(fleet, previous)
    fleet.world.network.cut([previous], others, one_way=True)
    assert fleet.run_until_covered(5, others) <= 5
    assert fleet.world.network.counts["cut"] > 0
    fleet.world.run_for(10)
    assert fleet.acquisitions["planner"] == 2


def test_holder_that_receives_no_messages_is_replaced() -> None:
    fleet = cases.settled_fleet(3, TERMS)
    previous = fleet.holder()
    others = cases.others_than(fleet, previous)
    fleet.world.network.cut(others, [previous], one_way=True)
    fleet.run_until_covered(5, others)
    fleet.world.run_for(10)
    assert fleet.acquisitions["planner"] == 2


@pytest.mark.parametrize("seed", range(5))
def test_restart_of_every_acceptor_within_a_lease_allows_one_holder(seed: int) -> None:
    fleet = cases.acceptors_restart(seed, TERMS)
    fleet.run_until_covered(9)
    assert fleet.acquisitions["planner"] >= 2


@pytest.mark.parametrize("seed", range(5))
def test_tokens_grow_over_a_restart_of_all_members(seed: int) -> None:
    fleet = cases.settled_fleet(seed, TERMS)
    for _ in range(3):
        previous_token = fleet.highest_tokens["planner"]
        fleet.start_all()
        fleet.run_until_covered(9)
        assert fleet.highest_tokens["planner"] > previous_token


@pytest.mark.parametrize("seed", range(5))
def test_fast_acceptors_and_a_slow_holder_allow_one_holder(seed: int) -> None:
    cases.clocks_drift_apart(seed, TERMS)


def test_no_group_without_a_majority_holds_until_the_partition_heals() -> None:
    fleet = cases.settled_fleet(4, FIVE)
    fleet.world.network.partition("ab", "cd", "e")
    fleet.world.run_for(4)
    assert fleet.holders("planner") == []
    fleet.world.run_for(20)
    assert fleet.acquisitions["planner"] == 1
    fleet.world.network.heal()
    fleet.run_until_covered(2)
    assert fleet.acquisitions["planner"] == 2


@pytest.mark.parametrize("role", ["holder", "acceptor", "other"])
def test_loss_of_half_of_one_members_datagrams_changes_no_holder(role: str) -> None:
    fleet = cases.settled_fleet(5, FIVE, names="abcdefg")
    others = cases.others_than(fleet, fleet.holder())
    member = {"holder": fleet.holder(), "acceptor": others[0], "other": others[-1]}[role]
    fleet.world.network.member_loss[member] = 0.5
    fleet.world.run_for(60)
    assert fleet.world.network.counts["lost"] > 50
    assert fleet.acquisitions["planner"] == 1


@pytest.mark.parametrize("seed", range(30))
def test_released_duty_is_acquired_by_another_within_200_ms(seed: int) -> None:
    fleet = cases.settled_fleet(seed, TERMS)
    previous = fleet.holder()
    fleet.world.network.delay_s = (0.0005, 0.027)
    fleet.world.processes[previous].run(partial(cases.release_planner, fleet, previous))
    assert fleet.run_until_covered(0.2) <= 0.2
    assert fleet.holder() != previous


@pytest.mark.parametrize("seed", range(10))
def test_member_that_stops_releases_its_duties_and_votes_no_more(seed: int) -> None:
    fleet = cases.settled_fleet(seed, FIVE)
    previous = fleet.holder()
    process, leases = fleet.world.processes[previous], fleet.leases[previous]
    process.run(lambda: process.execute(leases.stop(process.clock_s())))
    assert leases.acceptor is None
    fleet.run_until_covered(0.2)
    fleet.world.run_for(10)
    assert fleet.holder() not in ("", previous)
    assert fleet.acquisitions["planner"] == 2


@pytest.mark.parametrize("fault", ["kill", "suspend", "cut"])
@pytest.mark.parametrize("seed", range(10))
def test_unreachable_holder_is_replaced_within_five_seconds(seed: int, fault: str) -> None:
    fleet = cases.settled_fleet(seed, FIVE)
    previous = fleet.holder()
    others = cases.others_than(fleet, previous)
    if fault == "kill":
        fleet.world.kill(previous)
    elif fault == "suspend":
        fleet.world.processes[previous].suspend()
    else:
        fleet.world.network.cut([previous], others)
    fleet.run_until_covered(5, others)
    if fault == "suspend":
        fleet.world.processes[previous].resume()
    fleet.world.network.heal()
    successor = fleet.holder()
    fleet.world.run_for(20)  # a member that returns does not displace the holder
    assert fleet.holder() == successor
    assert fleet.acquisitions["planner"] == 2


def test_duties_are_spread_over_members() -> None:
    duties = [f"replay/{each}" for each in range(5)]
    max_duties = []
    for seed in range(10):
        fleet = SimulatedFleet(seed, "abcde", FIVE, duties)
        fleet.start_all()
        fleet.run_until_covered(9)
        holders = [fleet.holder(each) for each in duties]
        max_duties.append(max(holders.count(each) for each in fleet.names))
    assert sum(max_duties) / len(max_duties) <= 2.0


def test_overloaded_member_acquires_a_duty_only_where_no_other_does() -> None:
    fleet = cases.settled_fleet(6, TERMS)
    previous = fleet.holder()
    eligible = next(each for each in fleet.names if each != previous)
    for name in fleet.names:
        fleet.leases[name].set_eligible(name == eligible)
    fleet.world.processes[previous].run(partial(cases.release_planner, fleet, previous))
    fleet.run_until_covered(0.5, [eligible])
    fleet.leases[eligible].set_eligible(False)
    fleet.world.processes[eligible].run(partial(cases.release_planner, fleet, eligible))
    assert fleet.run_until_covered(15) > 5


def test_member_under_other_terms_is_ignored() -> None:
    fleet = cases.settled_fleet(7, TERMS)
    holder = fleet.holder()
    mismatched = next(each for each in fleet.names if each not in (holder, "a"))
    fleet.terms = LeaseTerms(("a", "b", "d"))
    fleet.world.start(mismatched)
    fleet.world.run_for(10)
    assert fleet.holder() == holder
    acceptor = fleet.leases["a"].acceptor
    assert acceptor is not None and acceptor.mismatched_terms_count > 0


def test_nobody_holds_without_an_active_majority_until_all_acceptors_or_a_new_list_are_there() -> None:
    for repair in ("missing acceptor", "another list"):
        fleet = cases.settled_fleet(8, TERMS, names="abcxyz")
        previous_token = fleet.highest_tokens["planner"]
        fleet.world.kill("a")
        fleet.world.start("b")
        fleet.world.run_for(20)
        assert fleet.holders("planner") == []
        if repair == "missing acceptor":
            fleet.world.start("a")
        else:
            fleet.terms = LeaseTerms(("b", "c", "x"), generation=2)
            fleet.start_all(excluding="a")
        fleet.run_until_covered(9)
        assert fleet.highest_tokens["planner"] > previous_token
