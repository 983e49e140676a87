"""Replicated records: replication, deletion, supersession and retention."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.members_world import SimulatedGroup
from ringledge.decide.interface import Member, RecordStore
from ringledge.decide.records.messages import MAX_VALUE_BYTES, Record, RecordBatch
from ringledge.decide.records.replicated_records import ReplicatedRecords
from ringledge.decide.records.settings import RecordsConfig
from ringledge.decide.records.writer_log import WriterLog
from ringledge.members.record_writer import RecordWriter
from tests.decide.membership.test_swim import CONVERGENCE_LIMIT_S, started_group


def write(group: SimulatedGroup, name: str, key: str, value: bytes) -> None:
    group.nodes[name].records.write(group.now_s, key, value)
    group.notify_written(name)


def views(group: SimulatedGroup, prefix: str = "") -> list[dict[tuple[str, str], bytes]]:
    return [node.records.values(group.now_s, prefix) for node in group.nodes.values()]


def test_latest_write_reaches_all_members_and_a_deletion_too() -> None:
    group = started_group(6)
    store: RecordStore = RecordWriter(group.nodes["n0"].records, lambda: None)
    for number in range(5):
        store.write(group.now_s, "plan/a", b"%d" % number)
        write(group, "n1", "plan/a", b"other")
        group.run(0.01)
    wanted = {("n0", "plan/a"): b"4", ("n1", "plan/a"): b"other"}
    assert group.run(CONVERGENCE_LIMIT_S, lambda: all(view == wanted for view in views(group, "plan/"))) < 3.0
    store.delete(group.now_s, "plan/a")
    group.notify_written("n0")
    del wanted["n0", "plan/a"]
    assert group.run(CONVERGENCE_LIMIT_S, lambda: all(view == wanted for view in views(group))) < 3.0
    assert views(group, "plan/b") == [{}] * 6


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_hundred_keys_of_each_writer_reach_a_new_member(loss: float) -> None:
    group = started_group(4)
    for name in list(group.nodes):
        for number in range(100):
            write(group, name, f"server/{number}", bytes(60))
    group.loss = loss
    assert group.run(60.0, lambda: all(len(view) == 400 for view in views(group))) < 60.0
    group.start("n9", ["n1"])
    assert group.run(60.0, lambda: len(group.nodes["n9"].records.values(group.now_s, "")) == 400) < 60.0


def test_records_of_a_dead_writer_are_retained_for_the_configured_time_only() -> None:
    group = started_group(4)
    write(group, "n3", "backlog/a", b"9")
    group.run(5.0)
    group.kill("n3")
    group.run(CONVERGENCE_LIMIT_S, group.has_converged)
    agreed_s = group.now_s
    retention_s = group.records_config.retention_s
    group.run(retention_s - 10.0)
    assert views(group) == [{("n3", "backlog/a"): b"9"}] * 3
    group.run(agreed_s + retention_s + 1.0 - group.now_s)
    assert views(group) == [{}] * 3
    group.run(3 * retention_s)  # no member replicates them again
    assert views(group) == [{}] * 3


def test_restarted_writer_starts_without_records() -> None:
    group = started_group(4)
    for number in range(9):
        write(group, "n3", f"demand/{number}", b"old")
    group.run(5.0)
    group.kill("n3")
    group.start("n3", ["n0"])
    write(group, "n3", "demand/0", b"new")
    assert (
        group.run(
            CONVERGENCE_LIMIT_S, lambda: all(view == {("n3", "demand/0"): b"new"} for view in views(group))
        )
        < 5.0
    )


def test_writer_that_raises_its_start_republishes_its_records() -> None:
    group = started_group(4)
    group.run(20.0)
    group.kill("n1")
    group.start("n1", ["n0"], start=0)
    write(group, "n1", "plan/a", b"x")
    assert (
        group.run(CONVERGENCE_LIMIT_S, lambda: all(view == {("n1", "plan/a"): b"x"} for view in views(group)))
        < 10.0
    )


def test_healed_partition_exchanges_missed_records() -> None:
    group = started_group(6)
    minority_side = {"n0", "n3", "n4"}
    group.is_partitioned = lambda a, b: (a in minority_side) != (b in minority_side)
    group.run(15.0)
    write(group, "n3", "plan/a", b"left")
    write(group, "n5", "plan/a", b"right")
    group.run(10.0)
    assert all(len(view) == 1 for view in views(group))
    group.is_partitioned = lambda a, b: False
    assert (
        group.run(CONVERGENCE_LIMIT_S, lambda: all(len(view) == 2 for view in views(group)))
        < CONVERGENCE_LIMIT_S
    )


def test_records_of_own_name_older_starts_or_unknown_writers_are_rejected() -> None:
    local_member, other = Member("a", 5), Member("b", 7)
    records = ReplicatedRecords(local_member, RecordsConfig(), random.Random(1))
    records.update_members(0.0, local_member, [local_member, other])
    records.write(0.0, "k", b"mine")
    for writer, start in (("a", 5), ("a", 6), ("b", 6), ("c", 1)):
        records.receive(0.0, "b", RecordBatch((Record(writer, start, 0, 9, "k", b"forged"),), pushed=True))
    assert records.values(0.0, "") == {("a", "k"): b"mine"}


def test_records_that_exceed_a_datagram_are_rejected() -> None:
    records = ReplicatedRecords(Member("x" * 24, 5), RecordsConfig(), random.Random(1))
    records.write(0.0, "k" * 10, bytes(MAX_VALUE_BYTES))
    for key, value in (
        ("", b""),
        ("k" * 49, b""),
        ("k", bytes(MAX_VALUE_BYTES + 1)),
        ("k" * 48, bytes(MAX_VALUE_BYTES)),
    ):
        with pytest.raises(ValueError, match="^(a record has a key|record .*(longer than|more than))"):
            records.write(0.0, key, value)


Writes = st.lists(st.tuples(st.sampled_from("abcde"), st.none() | st.binary(max_size=2)), max_size=20)


@settings(max_examples=200, deadline=None)
@given(Writes, st.randoms(use_true_random=False))
def test_no_record_up_to_the_held_version_is_missing(
    writes: list[tuple[str, bytes | None]], rng: random.Random
) -> None:
    """Records arrive in any order and some are lost; a log with a version has every record up to it."""
    writer, replica = WriterLog("w", 1), WriterLog("w", 1)
    for key, value in writes:
        written = writer.write(key, value)
        batch = [written, *writer.records_after(replica.version)]
        rng.shuffle(batch)
        for record in batch[: rng.randrange(len(batch) + 1)]:
            replica.apply(record)
        latest = {record.key: record for record in writer.records_after(0)}
        held = {record.key: record.version for record in replica.records_after(0)}
        for record in latest.values():
            assert record.version > replica.version or held[record.key] == record.version
    for record in writer.records_after(replica.version):
        replica.apply(record)
    assert replica.version == writer.version and dict(replica.values("")) == dict(writer.values(""))


def test_without_previous_versions_a_lost_record_goes_unnoticed(monkeypatch: pytest.MonkeyPatch) -> None:
    """The property above does not hold for a mutant that counts each received version as held."""

    def apply_without_check(self: WriterLog, record: Record) -> bool:
        self._records[record.key] = record
        self.version = max(self.version, record.version)
        return True

    writer, replica = WriterLog("w", 1), WriterLog("w", 1)
    first, second = writer.write("a", b"1"), writer.write("b", b"2")
    replica.apply(second)
    assert replica.version == 0
    replica.apply(first)
    assert replica.version == 2  # records beyond a gap count as held once the gap is closed
    monkeypatch.setattr(WriterLog, "apply", apply_without_check)
    replica = WriterLog("w", 1)
    replica.apply(second)
    assert replica.version == 2 and dict(replica.values("")) != dict(writer.values(""))
