"""What each member tells: spread, taken back, superseded, forgotten."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.members_world import World
from ringledge.decide.interface import Member, RecordStore
from ringledge.decide.records.messages import VALUE_MOST, Record, Records
from ringledge.decide.records.replicated_records import ReplicatedRecords
from ringledge.decide.records.settings import RecordsConfig
from ringledge.decide.records.writer_log import Book
from tests.decide.membership.test_swim import CONVERGENCE_LIMIT_S, started_group


def put(world: World, name: str, key: str, value: bytes) -> None:
    world.nodes[name].facts.write(world.now_s, key, value)
    world.notify_written(name)


def known(world: World, prefix: str = "") -> list[dict[tuple[str, str], bytes]]:
    return [node.facts.values(world.now_s, prefix) for node in world.nodes.values()]


def test_a_change_is_heard_by_all_and_the_last_one_stays() -> None:
    world = started_group(6)
    protocol: RecordStore = world.nodes["n0"].facts
    for at in range(5):
        protocol.write(world.now_s, "plan/a", b"%d" % at)
        put(world, "n1", "plan/a", b"other")
        world.run(0.01)
    wanted = {("n0", "plan/a"): b"4", ("n1", "plan/a"): b"other"}
    assert world.run(CONVERGENCE_LIMIT_S, lambda: all(each == wanted for each in known(world, "plan/"))) < 3.0
    protocol.delete(world.now_s, "plan/a")
    world.notify_written("n0")
    del wanted["n0", "plan/a"]
    assert world.run(CONVERGENCE_LIMIT_S, lambda: all(each == wanted for each in known(world))) < 3.0
    assert known(world, "plan/b") == [{}] * 6


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_a_hundred_keys_of_each_reach_a_newcomer(loss: float) -> None:
    world = started_group(4)
    for name in list(world.nodes):
        for at in range(100):
            put(world, name, f"server/{at}", bytes(60))
    world.loss = loss
    assert world.run(60.0, lambda: all(len(each) == 400 for each in known(world))) < 60.0
    world.start("n9", ["n1"])
    assert world.run(60.0, lambda: len(world.nodes["n9"].facts.values(world.now_s, "")) == 400) < 60.0


def test_what_was_said_outlasts_its_writer_for_the_stated_time_and_no_longer() -> None:
    world = started_group(4)
    put(world, "n3", "backlog/a", b"9")
    world.run(5.0)
    world.kill("n3")
    world.run(CONVERGENCE_LIMIT_S, world.has_converged)
    agreed_s = world.now_s
    lifetime_s = world.facts.lifetime_s
    world.run(lifetime_s - 10.0)
    assert known(world) == [{("n3", "backlog/a"): b"9"}] * 3
    world.run(agreed_s + lifetime_s + 1.0 - world.now_s)
    assert known(world) == [{}] * 3
    world.run(3 * lifetime_s)  # and none brings it back to the others
    assert known(world) == [{}] * 3


def test_a_restarted_writer_has_said_nothing_yet() -> None:
    world = started_group(4)
    for at in range(9):
        put(world, "n3", f"demand/{at}", b"old")
    world.run(5.0)
    world.kill("n3")
    world.start("n3", ["n0"])
    put(world, "n3", "demand/0", b"new")
    assert (
        world.run(
            CONVERGENCE_LIMIT_S, lambda: all(each == {("n3", "demand/0"): b"new"} for each in known(world))
        )
        < 5.0
    )


def test_a_writer_that_takes_a_higher_start_says_all_again() -> None:
    world = started_group(4)
    world.run(20.0)
    world.kill("n1")
    world.start("n1", ["n0"], start=0)
    put(world, "n1", "plan/a", b"x")
    assert (
        world.run(CONVERGENCE_LIMIT_S, lambda: all(each == {("n1", "plan/a"): b"x"} for each in known(world)))
        < 10.0
    )


def test_parts_of_a_cut_fleet_tell_each_other_what_they_missed() -> None:
    world = started_group(6)
    minority_side = {"n0", "n3", "n4"}
    world.is_partitioned = lambda a, b: (a in minority_side) != (b in minority_side)
    world.run(15.0)
    put(world, "n3", "plan/a", b"left")
    put(world, "n5", "plan/a", b"right")
    world.run(10.0)
    assert all(len(each) == 1 for each in known(world))
    world.is_partitioned = lambda a, b: False
    assert (
        world.run(CONVERGENCE_LIMIT_S, lambda: all(len(each) == 2 for each in known(world)))
        < CONVERGENCE_LIMIT_S
    )


def test_nobody_else_speaks_for_a_writer_and_an_older_start_is_not_believed() -> None:
    me, other = Member("a", 5), Member("b", 7)
    facts = ReplicatedRecords(me, RecordsConfig(), random.Random(1))
    facts.members(0.0, me, [me, other])
    facts.write(0.0, "k", b"mine")
    for writer, start in (("a", 5), ("a", 6), ("b", 6), ("c", 1)):
        facts.receive(0.0, "b", Records((Record(writer, start, 0, 9, "k", b"lie"),), pushed=True))
    assert facts.values(0.0, "") == {("a", "k"): b"mine"}


def test_what_fits_no_datagram_is_refused() -> None:
    facts = ReplicatedRecords(Member("x" * 24, 5), RecordsConfig(), random.Random(1))
    facts.write(0.0, "k" * 10, bytes(VALUE_MOST))
    for key, value in (
        ("", b""),
        ("k" * 49, b""),
        ("k", bytes(VALUE_MOST + 1)),
        ("k" * 48, bytes(VALUE_MOST)),
    ):
        with pytest.raises(ValueError, match="^(a fact has a key|fact .*(longer than|more than))"):
            facts.write(0.0, key, value)


Writes = st.lists(st.tuples(st.sampled_from("abcde"), st.none() | st.binary(max_size=2)), max_size=20)


@settings(max_examples=200, deadline=None)
@given(Writes, st.randoms(use_true_random=False))
def test_held_up_to_a_version_means_nothing_up_to_it_is_lacking(
    writes: list[tuple[str, bytes | None]], rng: random.Random
) -> None:
    """Records in any order, some lost: whoever says it holds all up to a version has what its writer has."""
    writer, reader = Book("w", 1), Book("w", 1)
    for key, value in writes:
        pushed = writer.put(key, value)
        batch = [pushed, *writer.after(reader.version)]
        rng.shuffle(batch)
        for record in batch[: rng.randrange(len(batch) + 1)]:
            reader.take(record)
        latest = {each.key: each for each in writer.after(0)}
        held = {each.key: each.version for each in reader.after(0)}
        for each in latest.values():
            assert each.version > reader.version or held[each.key] == each.version
    for record in writer.after(reader.version):
        reader.take(record)
    assert reader.version == writer.version and dict(reader.values("")) == dict(writer.values(""))


def test_without_the_version_before_a_loss_is_not_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """A mutant that takes each version for held: the property above bites."""

    def take(self: Book, record: Record) -> bool:
        self._records[record.key] = record
        self.version = max(self.version, record.version)
        return True

    writer, reader = Book("w", 1), Book("w", 1)
    first, second = writer.put("a", b"1"), writer.put("b", b"2")
    reader.take(second)
    assert reader.version == 0
    reader.take(first)
    assert reader.version == 2  # what waited past the gap counts once it is closed
    monkeypatch.setattr(Book, "take", take)
    reader = Book("w", 1)
    reader.take(second)
    assert reader.version == 2 and dict(reader.values("")) != dict(writer.values(""))
