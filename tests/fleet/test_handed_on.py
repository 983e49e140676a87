"""A duty moves from process to process: it has one holder at a time, and a former holder sends no effects."""

from __future__ import annotations

import signal
from pathlib import Path

from tests.fleet.fleet import Fleet

LEASE_S = 1.0
TAKEOVER_LIMIT_S = 30.0  # upper bound for a busy machine; benchmarks/duties.py measures the actual time


def test_holder_that_terminates_in_order_hands_its_duty_over(tmp_path: Path) -> None:
    with Fleet(tmp_path) as fleet:
        first = fleet.receiver.next("watch")
        fleet.signal(first.member, signal.SIGTERM)
        second = fleet.receiver.next("watch", but=first.member)
        assert second.token > first.token
        fleet.nodes[first.member].process.wait(TAKEOVER_LIMIT_S)
        fleet.restart(first.member)
        # Of three acceptors only one may be inactive at a time.
        fleet.nodes[first.member].logged("lease_acceptor_activated")
        fleet.signal(second.member, signal.SIGTERM)
        third = fleet.receiver.next("watch", above=second.token)
        assert third.member != second.member
        fleet.check()


def test_killed_holder_is_replaced_and_takes_nothing_back_after_its_restart(tmp_path: Path) -> None:
    with Fleet(tmp_path) as fleet:
        first = fleet.receiver.next("watch")
        killed_s = fleet.kill(first.member)
        second = fleet.receiver.next("watch", above=first.token)
        assert second.member != first.member and second.at_s - killed_s < TAKEOVER_LIMIT_S
        fleet.restart(first.member)
        seen = len(fleet.receiver.accepted)
        fleet.receiver.wait_until(lambda: len(fleet.receiver.accepted) >= seen + 60)
        later = fleet.receiver.accepted[seen:]
        assert {(each.member, each.token) for each in later} == {(second.member, second.token)}
        fleet.check()


def test_holder_suspended_for_longer_than_its_lease_sends_no_effect_after_it_resumes(tmp_path: Path) -> None:
    with Fleet(tmp_path) as fleet:
        first = fleet.receiver.next("watch")
        fleet.signal(first.member, signal.SIGSTOP)
        second = fleet.receiver.next("watch", above=first.token)
        fleet.signal(first.member, signal.SIGCONT)
        line = fleet.nodes[first.member].logged("duty_lease_changed")
        while line["what"] == "begun":
            line = fleet.nodes[first.member].logged("duty_lease_changed")
        assert (line["what"], line["token"]) == ("expired", first.token)
        assert second.member != first.member and fleet.receiver.refused == []
        fleet.check()


def test_effect_of_a_holder_suspended_after_its_lease_check_is_refused(tmp_path: Path) -> None:
    with Fleet(tmp_path) as fleet:
        first = fleet.receiver.next("watch")
        (tmp_path / first.member / "stand_still").touch()
        second = fleet.receiver.next("watch", above=first.token)
        fleet.signal(first.member, signal.SIGCONT)
        fleet.receiver.wait_until(lambda: bool(fleet.receiver.refused), "the late effect")
        (late,) = fleet.receiver.refused
        assert (late.member, late.token) == (first.member, first.token) and late.at_s > second.at_s
        fleet.check()


def test_tokens_grow_after_all_voters_restart_without_state(tmp_path: Path) -> None:
    with Fleet(tmp_path) as fleet:
        first = fleet.receiver.next("watch")
        for name in fleet.names:
            fleet.kill(name)
        fleet.restart(*fleet.names)
        second = fleet.receiver.next("watch", above=first.token)
        assert second.token > max(each.token for each in fleet.receiver.accepted if each.at_s < second.at_s)
        fleet.check()


def test_duty_is_handed_over_when_a_successor_replaces_its_member(tmp_path: Path) -> None:
    with Fleet(tmp_path) as fleet:
        first = fleet.receiver.next("watch")
        successor = fleet.succeed(first.member)
        second = fleet.receiver.next("watch", above=first.token)
        assert second.pid != first.pid
        successor.logged("lease_acceptor_activated")
        fleet.signal(first.member, signal.SIGTERM)
        fleet.nodes[first.member].process.wait(TAKEOVER_LIMIT_S)
        seen = len(fleet.receiver.accepted)
        fleet.receiver.wait_until(lambda: len(fleet.receiver.accepted) >= seen + 30)
        assert first.pid not in {each.pid for each in fleet.receiver.accepted[seen:]}
        fleet.check()
