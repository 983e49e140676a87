"""Cases shared by the tests of the leases and by those of their mutants.

Each case takes a seed and the terms, runs a fleet into a situation, and returns the fleet.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ringledge.decide.leases.fencing import FencingTokenCheck
from ringledge.decide.leases.manager import LeaseTerms
from tests.simulated.fleet import CHECK_TO_EFFECT_S, EFFECT_INTERVAL_S, SimulatedFleet


def settled_fleet(
    seed: int,
    terms: LeaseTerms,
    names: Iterable[str] = "abcde",
    fence: Callable[[], FencingTokenCheck] = FencingTokenCheck,
) -> SimulatedFleet:
    """A fleet in which one member holds the planner duty and has sent effects."""
    fleet = SimulatedFleet(seed, names, terms, fence=fence)
    fleet.start_all()
    fleet.run_until_covered(9)
    fleet.world.run_for(2 * EFFECT_INTERVAL_S)
    return fleet


def long_settled_fleet(seed: int, terms: LeaseTerms) -> SimulatedFleet:
    """A fleet in which one member has held the planner duty for 20 s without faults."""
    fleet = settled_fleet(seed, terms)
    fleet.world.run_for(20)
    return fleet


def release_planner(fleet: SimulatedFleet, name: str) -> None:
    """Makes a member release the planner duty in order."""
    process = fleet.world.processes[name]
    process.execute(fleet.leases[name].release(process.clock_s(), "planner"))


def others_than(fleet: SimulatedFleet, name: str) -> list[str]:
    """All members except one."""
    return [each for each in fleet.names if each != name]


def suspended_between_check_and_effect(
    seed: int, terms: LeaseTerms, fence: Callable[[], FencingTokenCheck] = FencingTokenCheck
) -> SimulatedFleet:
    """The holder is suspended after its lease check and sends the effect when another holds the duty."""
    fleet = settled_fleet(seed, terms, fence=fence)
    process = fleet.world.processes[fleet.holder()]
    applied = fleet.receiver.applied
    while fleet.receiver.applied == applied:
        fleet.world.run_for(0.001)
    # The effect follows this check within CHECK_TO_EFFECT_S: suspend the process before.
    fleet.check_and_act(process, "planner", fleet.highest_tokens["planner"])
    fleet.world.run_for(0)
    process.suspend()
    fleet.run_until_covered(5, others_than(fleet, process.name))
    fleet.world.run_for(2 * EFFECT_INTERVAL_S + CHECK_TO_EFFECT_S)
    process.resume()
    fleet.world.run_for(3)
    return fleet


def separate_holder(
    seed: int, terms: LeaseTerms, clock_rates: tuple[float, float] = (0.9, 1.1)
) -> SimulatedFleet:
    """A fleet whose holder is x or y, which are not acceptors; the acceptors hold no duty."""
    fleet = SimulatedFleet(seed, [*terms.acceptors, "x", "y"], terms, clock_rates=clock_rates)
    _start_with_separate_holder(fleet)
    return fleet


def _start_with_separate_holder(fleet: SimulatedFleet) -> None:
    fleet.start_all()
    for acceptor in fleet.terms.acceptors:
        fleet.leases[acceptor].set_eligible(False)
    fleet.run_until_covered(30, ["x", "y"])
    fleet.world.run_for(2)


def cut_off_holder(fleet: SimulatedFleet) -> list[str]:
    """Cuts the holder off from all other members; returns the others."""
    others = others_than(fleet, fleet.holder())
    fleet.world.network.cut([fleet.holder()], others)
    return others


def acceptors_restart(seed: int, terms: LeaseTerms) -> SimulatedFleet:
    """All acceptors restart within a lease, while the holder runs but is cut off."""
    fleet = separate_holder(seed, terms)
    others = cut_off_holder(fleet)
    for acceptor in terms.acceptors:
        fleet.world.start(acceptor)
        fleet.world.run_for(0.1)
    fleet.run_until_covered(9, others)
    fleet.world.run_for(1)
    return fleet


def acceptors_restart_in_turn(seed: int, terms: LeaseTerms) -> SimulatedFleet:
    """Each acceptor restarts once the previous one is active; no proposer reaches them meanwhile."""
    fleet = separate_holder(seed, terms)
    fleet.world.network.cut("xy", terms.acceptors)
    for acceptor in terms.acceptors:
        fleet.world.start(acceptor)
        fleet.leases[acceptor].stop_seeking(0, "planner")
        fleet.world.run_for(6)
    fleet.world.network.heal()
    return fleet


def clocks_drift_apart(seed: int, terms: LeaseTerms) -> SimulatedFleet:
    """The acceptors' clocks run 10% fast, the holder's 10% slow, and it is cut off."""
    fleet = SimulatedFleet(seed, [*terms.acceptors, "x", "y"], terms)
    fleet.world.clock_rate_of = {**dict.fromkeys(terms.acceptors, 1.1), "x": 0.9, "y": 0.9}
    _start_with_separate_holder(fleet)
    others = cut_off_holder(fleet)
    fleet.run_until_covered(5, others)
    fleet.world.run_for(1)
    return fleet


def slow_responses(seed: int, terms: LeaseTerms) -> SimulatedFleet:
    """Responses reach the holder 1.6 s late; it is cut off with some of them still in flight."""
    fleet = separate_holder(seed, terms, clock_rates=(1.0, 1.0))
    holder = fleet.holder()
    fleet.world.network.extra_delay_s = {(acceptor, holder): 1.6 for acceptor in terms.acceptors}
    fleet.world.run_for(5.0)
    others = cut_off_holder(fleet)
    fleet.run_until_covered(6, others)
    fleet.world.run_for(1)
    return fleet
