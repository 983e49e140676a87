"""Crash tests of the queue: a process is killed at random, or right after an externally visible event."""

from __future__ import annotations

from pathlib import Path

import pytest

from benchmarks.queue_kills import (
    ChildProcess,
    Observed,
    read_entries,
    run_crash_test,
    violations,
)
from ringledge.store.entry import EntryOutcome
from ringledge.store.schema import connect
from ringledge.store.seal import COLUMNS, row_checksum


def test_kills_at_random_lose_no_accepted_request_and_send_no_booking_twice(tmp_path: Path) -> None:
    result = run_crash_test(tmp_path / "queue.db", kills=15, seed=7)

    assert not result.violations and result.observed.kills == 15
    assert result.outcomes[EntryOutcome.SERVED.value] > 50


def kill_after(path: Path, event: str, late: bool = False) -> tuple[Observed, list[str]]:
    """Kill a process right after an event of a booking, and let another process complete the rest.

    Returns what was observed of the processes, and the violations.
    """
    observed = Observed()

    def is_event_of_booking(line: str) -> bool:
        kind, name, *_ = line.split()
        return kind == event and observed.accepted.get(name) == "booking"

    process = ChildProcess(path, observed, 1, late=late)
    assert process.run_until(is_event_of_booking)
    process.kill()
    ChildProcess(path, observed, 2, entries=0).finish()
    return observed, violations(observed, read_entries(path, list(observed.accepted)))


@pytest.mark.parametrize("event", ["taken", "sent"])
def test_a_kill_right_after_an_observable_event_violates_no_guarantee(tmp_path: Path, event: str) -> None:
    path = tmp_path / "queue.db"

    observed, violated = kill_after(path, event)

    assert not violated
    if event == "sent":
        entries = read_entries(path, list(observed.sent)).values()
        assert EntryOutcome.UNKNOWN in [entry.outcome for entry in entries if entry]


def test_an_attempt_recorded_after_it_was_sent_is_detected(tmp_path: Path) -> None:
    """The mutant is killed while a booking is in flight, before the start of the attempt is recorded."""
    _, violated = kill_after(tmp_path / "queue.db", "sent", late=True)

    assert any(violation.startswith("twice: ") for violation in violated)


@pytest.mark.parametrize(
    ("corruption", "violation"),
    [
        ("DELETE FROM entries WHERE name = ?", "lost: "),  # an outcome deleted before its client has read it
        ("UPDATE entries SET state = 1 WHERE name = ?", "no end: "),
    ],
)
def test_a_lost_entry_and_a_lost_outcome_are_detected(
    tmp_path: Path, corruption: str, violation: str
) -> None:
    path = tmp_path / "queue.db"
    observed = Observed()
    ChildProcess(path, observed, 1, entries=4).finish()
    name = next(iter(observed.accepted))
    db = connect(path, 1.0)
    db.execute(corruption, (name,))
    if "state" in corruption:  # with a valid checksum, as after a faulty transition
        row = db.execute(f"SELECT {COLUMNS} FROM entries WHERE name = ?", (name,)).fetchone()
        db.execute("UPDATE entries SET seal = ? WHERE name = ?", (row_checksum(tuple(row)), name))
    db.close()

    found = violations(observed, read_entries(path, list(observed.accepted)))
    assert any(each.startswith(violation) for each in found)
