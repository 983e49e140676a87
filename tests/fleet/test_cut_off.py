"""Members that can't hear one another: a majority goes on, nobody else does anything."""

from __future__ import annotations

import signal
from pathlib import Path

from tests.fleet.fleet import Fleet
from tests.fleet.links import LinkFaults
from tests.fleet.record import holdings, violations


def until_ended(fleet: Fleet, member: str, token: int) -> None:
    """Wait until the process says that it holds the duty no more."""
    line = fleet.nodes[member].logged("duty_lease_changed")
    while line["token"] != token or line["what"] == "begun":
        line = fleet.nodes[member].logged("duty_lease_changed")


def test_a_holder_that_is_cut_off_stops_and_the_majority_goes_on(tmp_path: Path) -> None:
    with Fleet(tmp_path) as fleet:
        first = fleet.receiver.next_effect("watch")
        cut = fleet.links.between([first.member], [each for each in fleet.names if each != first.member])
        fleet.links.set_faults(LinkFaults(cut=True), cut)
        second = fleet.receiver.next_effect("watch", above=first.token)
        until_ended(fleet, first.member, first.token)
        assert second.member != first.member and fleet.links.count("cut", cut) > 0
        fleet.links.heal()
        seen = len(fleet.receiver.accepted)
        fleet.receiver.wait_until(lambda: len(fleet.receiver.accepted) >= seen + 60)
        assert {each.token for each in fleet.receiver.accepted[seen:]} == {second.token}
        fleet.check()


def test_a_holder_that_hears_but_is_not_heard_is_followed(tmp_path: Path) -> None:
    with Fleet(tmp_path) as fleet:
        first = fleet.receiver.next_effect("watch")
        cut = [(first.member, other) for other in fleet.names if other != first.member]
        fleet.links.set_faults(LinkFaults(cut=True), cut)
        second = fleet.receiver.next_effect("watch", above=first.token)
        assert second.member != first.member and fleet.links.count("cut", cut) > 0
        fleet.check()


def test_of_five_split_in_2_2_and_1_nobody_holds_until_they_are_healed(tmp_path: Path) -> None:
    with Fleet(tmp_path, members=5, voters=5) as fleet:
        first = fleet.receiver.next_effect("watch")
        sides = fleet.names[:2], fleet.names[2:4], fleet.names[4:]
        cut = fleet.links.between(*sides)
        fleet.links.set_faults(LinkFaults(cut=True), cut)
        holder = fleet.receiver.accepted[-1]
        until_ended(fleet, holder.member, holder.token)
        before, seen = len(fleet.receiver.accepted), fleet.links.count("cut", cut)
        # Long enough for each to have tried and failed: some hundred datagrams of theirs came to nothing.
        fleet.receiver.wait_until(
            lambda: fleet.links.count("cut", cut) >= seen + 200, "datagrams that are cut"
        )
        assert len(fleet.receiver.accepted) <= before + 1  # one that was under way at most
        fleet.links.heal()
        assert fleet.receiver.next_effect("watch", above=holder.token).token > first.token
        fleet.check()


def test_one_that_loses_each_second_datagram_and_a_net_that_doubles_and_delays(tmp_path: Path) -> None:
    with Fleet(tmp_path, members=3) as fleet:
        first = fleet.receiver.next_effect("watch")
        fleet.links.set_faults(LinkFaults(duplication=0.3, late_fraction=0.3, loss=0.05), fleet.links.links)
        poor = next(each for each in fleet.names if each != first.member)
        its = [pair for pair in fleet.links.links if poor in pair]
        fleet.links.set_faults(LinkFaults(alternate_loss=True), its)
        holder = fleet.receiver.accepted[-1]
        fleet.signal(holder.member, signal.SIGKILL)
        second = fleet.receiver.next_effect("watch", above=holder.token)
        seen = len(fleet.receiver.accepted)
        fleet.receiver.wait_until(lambda: len(fleet.receiver.accepted) >= seen + 60)
        assert second.member != holder.member and fleet.links.count("lost", its) > 20
        assert fleet.links.count("doubled") > 0 and fleet.links.count("late") > 0
        fleet.check()


def test_a_holder_that_never_lets_go_is_found_by_the_record(tmp_path: Path) -> None:
    """The check bites: with leases that don't run out two hold the duty at a time."""
    with Fleet(tmp_path, mutant="never_expires") as fleet:
        first = fleet.receiver.next_effect("watch")
        fleet.links.set_faults(
            LinkFaults(cut=True), fleet.links.between([first.member], set(fleet.names) - {first.member})
        )
        fleet.receiver.next_effect("watch", above=first.token)
        fleet.receiver.wait_until(lambda: bool(fleet.receiver.refused), "an effect of the old holder")
        assert violations(fleet.records()) and len(holdings(fleet.records())["watch"]) >= 2
