"""Membership in virtual time: failures, refutations, restarts, partitions."""

import pytest

from benchmarks.members_world import SimulatedGroup
from ringledge.decide.membership.changes import (
    FailureReason,
    LocalMemberSuperseded,
    LocalStartRaised,
    MemberFailed,
    MemberJoined,
    MemberLeft,
)
from ringledge.decide.membership.messages import Ack, MemberList, MembershipUpdate, MemberStatus
from ringledge.decide.membership.swim import BROADCAST, Membership

CONVERGENCE_LIMIT_S = 30.0  # every group has to converge within this time


def started_group(count: int, seed: int = 1, loss: float = 0.0) -> SimulatedGroup:
    group = SimulatedGroup(seed)
    names = [f"n{number}" for number in range(count)]
    for name in names:
        group.start(name, names[:3])
    group.loss = loss
    assert group.run(CONVERGENCE_LIMIT_S, group.has_converged) < CONVERGENCE_LIMIT_S
    return group


def failures(group: SimulatedGroup) -> list[tuple[str, str, FailureReason]]:
    """The observer, the failed member and the reason of each failure that was declared."""
    return [
        (name, change.member.name, change.reason)
        for name, node in group.nodes.items()
        for _, change in node.changes
        if isinstance(change, MemberFailed)
    ]


def latest_start(membership: Membership, name: str) -> int:
    member = membership.latest_member(name)
    assert member is not None
    return member.start


@pytest.mark.parametrize("count", [2, 3, 12])
def test_killed_member_is_declared_failed_by_every_other_member(count: int) -> None:
    group = started_group(count)
    group.kill("n1")
    elapsed_s = group.run(CONVERGENCE_LIMIT_S, group.has_converged)
    assert group.probe_config.suspicion_timeout_s(count) <= elapsed_s < 10.0
    assert {(name, "n1", FailureReason.SILENT) for name in group.nodes} == set(failures(group))


def test_no_member_is_declared_failed_at_twenty_percent_loss() -> None:
    group = started_group(7, seed=3, loss=0.2)
    group.duplication = 0.1
    group.run(120.0)
    assert group.lost_datagrams > 500 and failures(group) == [] and group.has_converged()


def test_member_with_half_of_its_datagrams_lost_rejoins_after_each_failure() -> None:
    group = started_group(5)
    group.is_partitioned = lambda a, b: "n1" in (a, b) and group.rng.random() < 0.5
    group.run(120.0)
    group.is_partitioned = lambda a, b: False
    assert group.run(CONVERGENCE_LIMIT_S, group.has_converged) < CONVERGENCE_LIMIT_S


def test_partitioned_group_merges_without_failures_inside_a_partition() -> None:
    group = started_group(8)
    minority_side = {"n0", "n3", "n4", "n5"}  # the other seeds, n1 and n2, are on the other side
    group.is_partitioned = lambda a, b: (a in minority_side) != (b in minority_side)
    group.run(20.0)
    assert {
        member.name for member in group.nodes["n3"].membership.active_members()
    } == minority_side and group.lost_datagrams > 50
    group.is_partitioned = lambda a, b: False
    assert group.run(CONVERGENCE_LIMIT_S, group.has_converged) < CONVERGENCE_LIMIT_S
    assert all(
        (observer in minority_side) != (failed in minority_side) for observer, failed, _ in failures(group)
    )


def test_member_that_only_indirect_probes_reach_stays_alive() -> None:
    group = started_group(5)
    group.is_partitioned = lambda a, b: {a, b} == {"n1", "n4"}
    group.run(60.0)
    assert group.lost_datagrams > 20 and failures(group) == []  # other members probe it indirectly


def test_members_without_seed_names_discover_each_other_by_broadcast() -> None:
    group = SimulatedGroup(1)
    for name in ("n0", "n1", "n2"):
        group.start(name, [BROADCAST])
    assert group.run(CONVERGENCE_LIMIT_S, group.has_converged) < 2.0
    before = [node.datagrams for node in group.nodes.values()]
    group.run(20.0)  # no member keeps broadcasting
    assert all(now.datagrams - then < 20 * 6 for now, then in zip(group.nodes.values(), before, strict=True))


def test_restarted_member_supersedes_its_previous_start_at_once() -> None:
    group = started_group(5)
    old = group.nodes["n4"].membership.local_member
    group.run(1.0)
    group.kill("n4")
    new = group.start("n4", ["n0"]).membership.local_member
    assert group.run(CONVERGENCE_LIMIT_S, group.has_converged) < 2.0 and new.start > old.start
    changes = [change for _, change in group.nodes["n0"].changes]
    superseded_index = changes.index(MemberFailed(old, FailureReason.SUPERSEDED))
    assert MemberJoined(new) in changes[superseded_index:]


def test_gossip_revives_neither_an_older_start_nor_a_departed_member() -> None:
    group = started_group(3)
    group.leave("n2")
    group.run(5.0)
    observer = group.nodes["n0"].membership
    assert observer.statuses()["n2"] is MemberStatus.LEFT
    assert any(isinstance(change, MemberLeft) for _, change in group.nodes["n1"].changes)
    departed_start, sender_start = latest_start(observer, "n2"), latest_start(observer, "n1")
    for start in (departed_start, departed_start - 1):
        for incarnation in (0, 7):
            stale = MembershipUpdate("n2", start, incarnation, MemberStatus.ALIVE, "n2:1", "s")
            observer.receive(
                group.now_s, "n1", MemberList(sender_start, observer.local_member.start, (stale,))
            )
    assert observer.statuses()["n2"] is MemberStatus.LEFT and len(observer.active_members()) == 2


def test_member_reported_dead_refutes_it() -> None:
    group = started_group(4)
    accused = group.nodes["n2"].membership.local_member
    false_death = MembershipUpdate("n2", accused.start, 0, MemberStatus.DEAD)
    for name in ("n0", "n1", "n3"):
        receiver = group.nodes[name].membership
        receiver.receive(group.now_s, "n9", MemberList(0, receiver.local_member.start, (false_death,)))
    assert group.run(CONVERGENCE_LIMIT_S, lambda: not group.nodes["n0"].membership.statuses()["n2"]) < 5.0
    group.run(10.0)
    assert group.has_converged() and failures(group) == []  # a death in a member list only raises a suspicion


def test_reported_death_of_a_recently_contacted_member_raises_a_suspicion_only() -> None:
    group = started_group(3)
    group.run(5.0)
    accused = group.nodes["n2"].membership.local_member
    observer = group.nodes["n0"].membership
    false_death = MembershipUpdate("n2", accused.start, 5, MemberStatus.DEAD)
    ack = Ack(latest_start(observer, "n1"), observer.local_member.start, 0, 0, (false_death,))
    observer.receive(group.now_s, "n1", ack)
    assert observer.statuses()["n2"] is MemberStatus.SUSPECT
    group.run(10.0)
    assert group.has_converged() and failures(group) == []


def test_three_way_partition_merges_once_healed() -> None:
    group = started_group(5)
    partition_of = {"n0": 0, "n1": 0, "n2": 1, "n3": 1, "n4": 2}
    group.is_partitioned = lambda a, b: partition_of[a] != partition_of[b]
    group.run(20.0)
    assert [len(node.membership.active_members()) for node in group.nodes.values()] == [2, 2, 2, 2, 1]
    group.is_partitioned = lambda a, b: False
    assert group.run(CONVERGENCE_LIMIT_S, group.has_converged) < CONVERGENCE_LIMIT_S
    assert all(partition_of[observer] != partition_of[failed] for observer, failed, _ in failures(group))


def test_stalled_member_suspects_nobody_and_rejoins() -> None:
    group = started_group(4)
    group.pause("n2")
    group.run(10.0)
    assert group.nodes["n0"].membership.statuses()["n2"] is MemberStatus.DEAD
    group.resume("n2")
    assert group.run(CONVERGENCE_LIMIT_S, group.has_converged) < 5.0
    assert not [failure for failure in failures(group) if failure[0] == "n2"]


def test_member_restarted_with_an_earlier_clock_rejoins_under_a_higher_start() -> None:
    group = started_group(4)
    group.run(20.0)
    old = group.nodes["n1"].membership.local_member
    group.kill("n1")
    node = group.start("n1", ["n0"], start=0)
    assert group.run(CONVERGENCE_LIMIT_S, group.has_converged) < 10.0
    assert node.membership.local_member.start == old.start + 1
    assert any(isinstance(change, LocalStartRaised) for _, change in node.changes)


def test_predecessor_stops_once_it_learns_of_its_successor() -> None:
    group = started_group(3)
    group.run(30.0)
    predecessor = group.nodes["n1"]
    group.start("n1", ["n0"])  # the predecessor keeps running, and learns of its successor
    predecessor.membership.receive(
        group.now_s, "n0", MemberList(0, group.nodes["n1"].membership.local_member.start, ())
    )
    assert predecessor.membership.stopped and not predecessor.membership.tick(group.now_s)
    assert any(isinstance(change, LocalMemberSuperseded) for change in predecessor.membership.take_changes())


@pytest.mark.parametrize("seed", range(30))
def test_group_converges_after_random_faults(seed: int) -> None:
    """All converge after random loss, duplication, restarts, partitions and stalls; no start decreases."""
    group = started_group(6, seed)
    latest_seen: dict[tuple[str, str], int] = {}

    def assert_starts_never_decrease(group: SimulatedGroup) -> None:
        for name, node in group.nodes.items():
            for member in node.membership.active_members():
                key = (f"{name}/{node.membership.local_member.start}", member.name)
                assert latest_seen.get(key, 0) <= member.start
                latest_seen[key] = member.start

    group.checks.append(assert_starts_never_decrease)
    group.loss, group.duplication = group.rng.uniform(0, 0.3), 0.1
    for _ in range(6):
        name = group.rng.choice(sorted(group.nodes))
        fault = group.rng.choice(["restart", "partition", "pause"])
        if fault == "restart":
            group.kill(name)
            group.run(group.rng.uniform(0, 4))
            group.start(name, ["n0", "n1", "n2"])
        elif fault == "partition":
            group.is_partitioned = lambda a, b, name=name: a == name  # type: ignore[misc]
            group.run(group.rng.uniform(0, 8))
            group.is_partitioned = lambda a, b: False
        else:
            group.pause(name)
            group.run(group.rng.uniform(0, 8))
            group.resume(name)
    group.loss = 0.0
    assert group.run(60.0, group.has_converged) < 60.0
