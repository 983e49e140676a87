"""Situations that tests of the leases and of their mutants share."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ringledge.decide.leases.fencing import FencingTokenCheck
from ringledge.decide.leases.manager import LeaseTerms
from tests.simulated.held import CHECK_TO_EFFECT_S, STEP_S, Held


def settled(
    seed: int,
    terms: LeaseTerms,
    names: Iterable[str] = "abcde",
    fence: Callable[[], FencingTokenCheck] = FencingTokenCheck,
) -> Held:
    """Members of which one holds the planner's duty."""
    held = Held(seed, names, terms, fence=fence)
    held.start_all()
    held.covered_within(9)
    held.world.run_for(2 * STEP_S)
    return held


def give_up(held: Held, name: str) -> None:
    """Have it end the planner's duty in good order."""
    process = held.world.processes[name]
    process.act(held.leases[name].release(process.clock_s(), "planner"))


def stopped_before_the_effect(
    seed: int, terms: LeaseTerms, fence: Callable[[], FencingTokenCheck] = FencingTokenCheck
) -> Held:
    """The holder has looked at its clock, stands still, and acts when another has."""
    held = settled(seed, terms, fence=fence)
    process = held.world.processes[held.holder()]
    applied = held.receiver.applied
    while held.receiver.applied == applied:
        held.world.run_for(0.001)
    # Within CHECK_TO_EFFECT_S before its next effect it has looked; stop it there.
    held._step(process, "planner", held.tops["planner"])
    held.world.run_for(0)
    process.stop()
    others = [each for each in held.names if each != process.name]
    held.covered_within(5, others)
    held.world.run_for(2 * STEP_S + CHECK_TO_EFFECT_S)
    process.go_on()
    held.world.run_for(3)
    return held


def apart(seed: int, terms: LeaseTerms, rates: tuple[float, float] = (0.9, 1.1)) -> Held:
    """Voters that hold nothing, and x or y that does."""
    held = Held(seed, [*terms.acceptors, "x", "y"], terms, rates=rates)
    return _begun_apart(held)


def _begun_apart(held: Held) -> Held:
    held.start_all()
    for each in held.terms.acceptors:
        held.leases[each].set_eligible(False)
    held.covered_within(30, ["x", "y"])
    held.world.run_for(2)
    return held


def cut_off(held: Held) -> list[str]:
    """Cut the holder off; the others."""
    others = [each for each in held.names if each != held.holder()]
    held.world.network.cut([held.holder()], others)
    return others


def voters_restart(seed: int, terms: LeaseTerms) -> Held:
    """All voters, one after another within a lease, while the holder is well but cut off."""
    held = apart(seed, terms)
    others = cut_off(held)
    for each in terms.acceptors:
        held.world.start(each)
        held.world.run_for(0.1)
    held.covered_within(9, others)
    held.world.run_for(1)
    return held


def voters_restart_in_turn(seed: int, terms: LeaseTerms) -> Held:
    """Each voter restarts once the one before votes again; nobody else is heard meanwhile."""
    held = apart(seed, terms)
    held.world.network.cut("xy", terms.acceptors)
    for each in terms.acceptors:
        held.world.start(each)
        held.leases[each].stop_seeking(0, "planner")
        held.world.run_for(6)
    held.world.network.heal()
    return held


def rates_apart(seed: int, terms: LeaseTerms) -> Held:
    """The voters' clocks run 10% fast, the holder's 10% slow, and it is cut off."""
    held = Held(seed, [*terms.acceptors, "x", "y"], terms)
    held.world.rate_of = {**dict.fromkeys(terms.acceptors, 1.1), "x": 0.9, "y": 0.9}
    others = cut_off(_begun_apart(held))
    held.covered_within(5, others)
    held.world.run_for(1)
    return held


def slow_answers(seed: int, terms: LeaseTerms) -> Held:
    """Answers to the holder come 1.6 s late, then it is cut off, with some of them still under way."""
    held = apart(seed, terms, rates=(1.0, 1.0))
    before = held.holder()
    held.world.network.slow_s = {(each, before): 1.6 for each in terms.acceptors}
    held.world.run_for(5.0)
    others = cut_off(held)
    held.covered_within(6, others)
    held.world.run_for(1)
    return held


def settled_long(seed: int, terms: LeaseTerms) -> Held:
    """A while in which nothing is wrong."""
    held = settled(seed, terms)
    held.world.run_for(20)
    return held
