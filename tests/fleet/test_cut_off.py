"""Network partitions: only a member in contact with a majority of the acceptors holds a duty."""

from __future__ import annotations

import signal
from pathlib import Path

from tests.fleet.fleet import Fleet
from tests.fleet.links import LinkFaults
from tests.fleet.record import holdings, violations


def until_ended(fleet: Fleet, member: str, token: int) -> None:
    """Waits until the member logs that its holding under this token ended."""
    line = fleet.nodes[member].logged("duty_lease_changed")
    while line["token"] != token or line["what"] == "begun":
        line = fleet.nodes[member].logged("duty_lease_changed")


def test_holder_that_is_cut_off_stops_and_the_majority_replaces_it(tmp_path: Path) -> None:
    with Fleet(tmp_path) as fleet:
        first = fleet.receiver.next("watch")
        cut = fleet.links.between([first.member], [each for each in fleet.names if each != first.member])
        fleet.links.faults(LinkFaults(cut=True), cut)
        second = fleet.receiver.next("watch", above=first.token)
        until_ended(fleet, first.member, first.token)
        assert second.member != first.member and fleet.links.count("cut", cut) > 0
        fleet.links.heal()
        seen = len(fleet.receiver.accepted)
        fleet.receiver.wait_until(lambda: len(fleet.receiver.accepted) >= seen + 60)
        assert {each.token for each in fleet.receiver.accepted[seen:]} == {second.token}
        fleet.check()


def test_holder_whose_datagrams_are_lost_is_replaced(tmp_path: Path) -> None:
    with Fleet(tmp_path) as fleet:
        first = fleet.receiver.next("watch")
        cut = [(first.member, other) for other in fleet.names if other != first.member]
        fleet.links.faults(LinkFaults(cut=True), cut)
        second = fleet.receiver.next("watch", above=first.token)
        assert second.member != first.member and fleet.links.count("cut", cut) > 0
        fleet.check()


def test_five_members_split_in_2_2_and_1_have_no_holder_until_the_links_are_restored(tmp_path: Path) -> None:
    with Fleet(tmp_path, members=5, voters=5) as fleet:
        first = fleet.receiver.next("watch")
        sides = fleet.names[:2], fleet.names[2:4], fleet.names[4:]
        cut = fleet.links.between(*sides)
        fleet.links.faults(LinkFaults(cut=True), cut)
        holder = fleet.receiver.accepted[-1]
        until_ended(fleet, holder.member, holder.token)
        before, seen = len(fleet.receiver.accepted), fleet.links.count("cut", cut)
        # 200 datagrams cut show that members on each side tried to acquire the duty.
        fleet.receiver.wait_until(
            lambda: fleet.links.count("cut", cut) >= seen + 200, "datagrams that are cut"
        )
        assert len(fleet.receiver.accepted) <= before + 1  # an effect may have been in transit
        fleet.links.heal()
        assert fleet.receiver.next("watch", above=holder.token).token > first.token
        fleet.check()


def test_duty_is_taken_over_while_links_lose_duplicate_and_delay_datagrams(tmp_path: Path) -> None:
    with Fleet(tmp_path, members=3) as fleet:
        first = fleet.receiver.next("watch")
        fleet.links.faults(LinkFaults(duplication=0.3, late_fraction=0.3, loss=0.05), fleet.links.links)
        lossy = next(each for each in fleet.names if each != first.member)
        lossy_links = [pair for pair in fleet.links.links if lossy in pair]
        fleet.links.faults(LinkFaults(alternate_loss=True), lossy_links)
        holder = fleet.receiver.accepted[-1]
        fleet.signal(holder.member, signal.SIGKILL)
        second = fleet.receiver.next("watch", above=holder.token)
        seen = len(fleet.receiver.accepted)
        fleet.receiver.wait_until(lambda: len(fleet.receiver.accepted) >= seen + 60)
        assert second.member != holder.member and fleet.links.count("lost", lossy_links) > 20
        assert fleet.links.count("doubled") > 0 and fleet.links.count("late") > 0
        fleet.check()


def test_record_shows_a_holder_whose_lease_never_expires(tmp_path: Path) -> None:
    """Tests the check itself: with leases that never expire, two members hold the duty at once."""
    with Fleet(tmp_path, mutant="never_expires") as fleet:
        first = fleet.receiver.next("watch")
        fleet.links.faults(
            LinkFaults(cut=True), fleet.links.between([first.member], set(fleet.names) - {first.member})
        )
        fleet.receiver.next("watch", above=first.token)
        fleet.receiver.wait_until(lambda: bool(fleet.receiver.refused), "an effect of the old holder")
        assert violations(fleet.records()) and len(holdings(fleet.records())["watch"]) >= 2
