"""Mutation tests: without any one rule of the membership protocol, a scenario fails that passes with it."""

import pytest

from benchmarks.members_world import SimulatedGroup
from ringledge.decide.membership import periodic
from ringledge.decide.membership.member_table import MemberTable
from ringledge.decide.membership.messages import MembershipUpdate, MemberStatus
from ringledge.decide.membership.settings import ProbeConfig
from ringledge.decide.membership.swim import Membership
from tests.decide.membership.test_swim import CONVERGENCE_LIMIT_S, failures, started_group


def test_without_refutation_loss_causes_failures(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Membership, "_merge_own_update", lambda self, now_s, update: [])
    group = started_group(7, seed=3, loss=0.2)
    group.run(120.0)
    assert failures(group)


def test_without_rejoin_attempts_a_partitioned_group_stays_partitioned(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(periodic, "REJOIN_INTERVALS", 1e9)
    group = started_group(8)
    minority_side = {"n0", "n3", "n4", "n5"}
    group.is_partitioned = lambda a, b: (a in minority_side) != (b in minority_side)
    group.run(20.0)
    group.is_partitioned = lambda a, b: False
    assert group.run(CONVERGENCE_LIMIT_S, group.has_converged) == CONVERGENCE_LIMIT_S


def test_without_stall_detection_a_stalled_member_suspects_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(periodic, "MAX_TICK_DELAY_INTERVALS", 1e9)
    runs_with_failures = 0
    for seed in range(8):
        group: SimulatedGroup = started_group(4, seed)
        group.run(0.2 + seed / 10)
        group.is_partitioned = lambda a, b: b == "n2"
        group.run(1.0)  # long enough to suspect others
        group.pause("n2")
        group.is_partitioned = lambda a, b: False
        group.run(10.0)
        group.nodes["n2"].inbox.clear()  # as if the socket buffer had overflowed
        group.resume("n2")
        group.run(5.0)
        runs_with_failures += any(observer == "n2" for observer, _, _ in failures(group))
    assert runs_with_failures


def test_without_ordered_starts_an_older_start_revives_a_dead_member(monkeypatch: pytest.MonkeyPatch) -> None:
    dead = MembershipUpdate("a", 9, 0, MemberStatus.DEAD)
    older_start = MembershipUpdate("a", 8, 5, MemberStatus.ALIVE, "a:1")
    for mutated in (False, True):
        if mutated:
            monkeypatch.setattr(
                MemberTable,
                "merge",
                lambda self, now_s, update, from_list: self._add_start(now_s, None, update),
            )
        table = MemberTable(ProbeConfig())
        table.merge(0.0, dead, from_list=False)
        table.merge(1.0, older_start, from_list=False)
        assert table.peers["a"].is_active() is mutated


def test_without_recent_contact_a_false_report_causes_a_failure(monkeypatch: pytest.MonkeyPatch) -> None:
    for mutated in (False, True):
        if mutated:
            monkeypatch.setattr(MemberTable, "_contacted_recently", lambda self, now_s, peer: False)
        table = MemberTable(ProbeConfig())
        table.merge(0.0, MembershipUpdate("a", 9, 0, MemberStatus.ALIVE, "a:1"), from_list=False)
        table.record_contact(1.0, "a", 9)
        table.merge(1.5, MembershipUpdate("a", 9, 0, MemberStatus.DEAD), from_list=False)
        assert table.peers["a"].is_active() is not mutated
