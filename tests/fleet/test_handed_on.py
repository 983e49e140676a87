"""A duty of the program goes from process to process: one at a time, soon, and never back."""

from __future__ import annotations

import signal
from pathlib import Path

from tests.fleet.fleet import Fleet

LEASE_S = 1.0
COVERED_S = 30.0  # a busy machine's bound; figures are benchmarks/duties.py's


def test_a_holder_that_ends_in_good_order_hands_its_duty_on(tmp_path: Path) -> None:
    with Fleet(tmp_path) as fleet:
        first = fleet.receiver.next_effect("watch")
        fleet.signal(first.member, signal.SIGTERM)
        second = fleet.receiver.next_effect("watch", but=first.member)
        assert second.token > first.token
        fleet.nodes[first.member].process.wait(COVERED_S)
        fleet.restart(first.member)
        fleet.nodes[first.member].logged(
            "lease_acceptor_activated"
        )  # of three one may be away at a time, and this is one
        fleet.signal(second.member, signal.SIGTERM)
        third = fleet.receiver.next_effect("watch", above=second.token)
        assert third.member != second.member
        fleet.check()


def test_a_killed_holder_is_followed_and_takes_nothing_back(tmp_path: Path) -> None:
    with Fleet(tmp_path) as fleet:
        first = fleet.receiver.next_effect("watch")
        killed_s = fleet.kill(first.member)
        second = fleet.receiver.next_effect("watch", above=first.token)
        assert second.member != first.member and second.at_s - killed_s < COVERED_S
        fleet.restart(first.member)
        seen = len(fleet.receiver.accepted)
        fleet.receiver.wait_until(lambda: len(fleet.receiver.accepted) >= seen + 60)
        later = fleet.receiver.accepted[seen:]
        assert {(each.member, each.token) for each in later} == {(second.member, second.token)}
        fleet.check()


def test_a_holder_stopped_for_longer_than_its_lease_does_nothing_when_it_goes_on(tmp_path: Path) -> None:
    with Fleet(tmp_path) as fleet:
        first = fleet.receiver.next_effect("watch")
        fleet.signal(first.member, signal.SIGSTOP)
        second = fleet.receiver.next_effect("watch", above=first.token)
        fleet.signal(first.member, signal.SIGCONT)
        line = fleet.nodes[first.member].logged("duty_lease_changed")
        while line["what"] == "begun":
            line = fleet.nodes[first.member].logged("duty_lease_changed")
        assert (line["what"], line["token"]) == ("expired", first.token)
        assert second.member != first.member and fleet.receiver.refused == []
        fleet.check()


def test_an_effect_from_between_the_look_and_the_stop_is_refused(tmp_path: Path) -> None:
    with Fleet(tmp_path) as fleet:
        first = fleet.receiver.next_effect("watch")
        (tmp_path / first.member / "stand_still").touch()
        second = fleet.receiver.next_effect("watch", above=first.token)
        fleet.signal(first.member, signal.SIGCONT)
        fleet.receiver.wait_until(lambda: bool(fleet.receiver.refused), "the late effect")
        (late,) = fleet.receiver.refused
        assert (late.member, late.token) == (first.member, first.token) and late.at_s > second.at_s
        fleet.check()


def test_all_voters_at_once_forget_everything_but_tokens_grow(tmp_path: Path) -> None:
    with Fleet(tmp_path) as fleet:
        first = fleet.receiver.next_effect("watch")
        for name in fleet.names:
            fleet.kill(name)
        fleet.restart(*fleet.names)
        second = fleet.receiver.next_effect("watch", above=first.token)
        assert second.token > max(each.token for each in fleet.receiver.accepted if each.at_s < second.at_s)
        fleet.check()


def test_a_successor_takes_the_members_place_and_its_duty_is_handed_on(tmp_path: Path) -> None:
    with Fleet(tmp_path) as fleet:
        first = fleet.receiver.next_effect("watch")
        successor = fleet.succeed(first.member)
        second = fleet.receiver.next_effect("watch", above=first.token)
        assert second.pid != first.pid
        successor.logged("lease_acceptor_activated")
        fleet.signal(first.member, signal.SIGTERM)
        fleet.nodes[first.member].process.wait(COVERED_S)
        seen = len(fleet.receiver.accepted)
        fleet.receiver.wait_until(lambda: len(fleet.receiver.accepted) >= seen + 30)
        assert first.pid not in {each.pid for each in fleet.receiver.accepted[seen:]}
        fleet.check()
