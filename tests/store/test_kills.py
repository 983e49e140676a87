"""A real process is killed at its file, at random and right after each thing that the outside sees."""

from __future__ import annotations

from pathlib import Path

import pytest

from benchmarks import queue_kills
from benchmarks.queue_kills import Life, World, faults, read
from ringledge.store.entry import EntryOutcome
from ringledge.store.schema import connect


def test_killed_at_random_no_202_is_lost_no_booking_sent_twice_and_each_has_one_end(tmp_path: Path) -> None:
    world, wrong, ends = queue_kills.play(tmp_path / "queue.db", kills=15, seed=7)
    assert not wrong and world.kills == 15
    assert ends[EntryOutcome.SERVED.value] > 50


def at_point(path: Path, word: str, late: bool = False) -> tuple[World, list[str]]:
    """Killed as soon as the outside hears that word of a booking; then another process goes on."""
    world = World()

    def wanted(line: str) -> bool:
        what, name, *_ = line.split()
        return what == word and world.taken.get(name) == "booking"

    life = Life(path, world, 1, late=late)
    assert life.until(wanted)
    life.kill()
    Life(path, world, 2, entries=0).finish()
    return world, faults(world, read(path, list(world.taken)))


@pytest.mark.parametrize("word", ["taken", "sent"])
def test_killed_right_after_it_was_seen_outside(tmp_path: Path, word: str) -> None:
    world, wrong = at_point(tmp_path / "queue.db", word)
    assert not wrong
    if word == "sent":
        ends = [entry.outcome for entry in read(tmp_path / "queue.db", list(world.sent)).values() if entry]
        assert EntryOutcome.UNKNOWN in ends


def test_a_start_written_after_the_send_is_caught(tmp_path: Path) -> None:
    """The mutant: the booking is on its way, and nothing of it is on the disk when its process dies."""
    _, wrong = at_point(tmp_path / "queue.db", "sent", late=True)
    assert any(each.startswith("twice: ") for each in wrong)


@pytest.mark.parametrize(
    ("change", "told"),
    [
        ("DELETE FROM entries WHERE name = ?", "lost: "),  # an end deleted before its client had it
        ("UPDATE entries SET state = 1 WHERE name = ?", "no end: "),
    ],
)
def test_what_a_broken_store_would_do_is_caught(tmp_path: Path, change: str, told: str) -> None:
    path, world = tmp_path / "queue.db", World()
    Life(path, world, 1, entries=4).finish()
    name = next(iter(world.taken))
    db = connect(path, 1.0)
    db.execute(change, (name,))
    if "state" in change:  # sealed, as a step that goes wrong would leave it
        from ringledge.store.seal import COLUMNS, row_seal

        row = db.execute(f"SELECT {COLUMNS} FROM entries WHERE name = ?", (name,)).fetchone()
        db.execute("UPDATE entries SET seal = ? WHERE name = ?", (row_seal(tuple(row)), name))
    db.close()
    assert any(each.startswith(told) for each in faults(world, read(path, list(world.taken))))
