"""The file when it is spoilt, old, new, full, or another process has it: a clear error or a way on."""

from __future__ import annotations

import sqlite3
import threading
from collections.abc import Callable, Coroutine
from functools import partial
from pathlib import Path
from typing import Any

import anyio
import pytest

from ringledge.store import queries, schema, transitions
from ringledge.store.entry import (
    Entry,
    EntryOutcome,
    EntryState,
    QueueError,
    QueueRejectionReason,
    StaleTokenError,
)
from ringledge.store.queries import CORRUPT_ENTRY_MESSAGE
from ringledge.store.queue import Queue
from ringledge.store.seal import COLUMNS, to_row
from ringledge.store.settings import QueueConfig
from tests.store.helpers import LIMITS, NOW_S, asked, db, within

__all__ = ["db"]

Play = Callable[[Queue], Coroutine[Any, Any, None]]


def play(path: Path, game: Play, **told: Any) -> None:
    """Run a game at a queue in its own thread."""

    async def run() -> None:
        queue = Queue(QueueConfig(path=str(path), **told), lambda: NOW_S)
        queue.start()
        try:
            with anyio.fail_after(20):
                await game(queue)
        finally:
            queue.stop()

    anyio.run(run)


def refused(path: Path) -> QueueError:
    with pytest.raises(QueueError) as told:
        schema.connect(path, 0.1).close()
    return told.value


def test_a_spoilt_row_ends_as_unknown_and_holds_nothing_up(db: sqlite3.Connection) -> None:
    for name in ("a", "b"):
        within(db, partial(transitions.enqueue, request=asked(name, safe=False), now_s=NOW_S, limits=LIMITS))
    db.execute("UPDATE entries SET question = x'00' WHERE name = 'a'")  # as a byte on the disk might
    within(db, lambda db: transitions.adopt(db, 1, NOW_S))
    told = queries.get_entry(db, "a")
    assert (
        told is not None and told.outcome is EntryOutcome.UNKNOWN and told.response == CORRUPT_ENTRY_MESSAGE
    )
    assert within(db, lambda db: transitions.begin_attempt(db, "a", 1, NOW_S)).state is EntryState.ENDED
    assert [head.name for head in queries.oldest_entries(db, 4)] == ["b"]


def test_a_state_that_was_spoilt_back_to_waiting_is_not_sent_again(db: sqlite3.Connection) -> None:
    within(db, lambda db: transitions.enqueue(db, asked("a", safe=False), NOW_S, LIMITS))
    within(db, lambda db: transitions.adopt(db, 1, NOW_S))
    within(db, lambda db: transitions.begin_attempt(db, "a", 1, NOW_S))
    db.execute("UPDATE entries SET state = 0")
    assert within(db, lambda db: transitions.begin_attempt(db, "a", 1, NOW_S)).outcome is EntryOutcome.UNKNOWN


def test_a_spoilt_file_is_refused_and_left_as_it_is(tmp_path: Path) -> None:
    path = tmp_path / "queue.db"
    opened = schema.connect(path, 1.0)
    for number in range(50):
        new = asked(f"{number}", f"t{number}", size=900)
        within(opened, partial(transitions.enqueue, request=new, now_s=NOW_S, limits=LIMITS))
    opened.close()
    spoilt = bytearray(path.read_bytes())
    spoilt[4096 * 2 : 4096 * 12] = b"\xff" * (4096 * 10)
    path.write_bytes(spoilt)
    assert refused(path).reason is QueueRejectionReason.UNAVAILABLE
    assert path.read_bytes() == spoilt

    async def game(queue: Queue) -> None:
        with pytest.raises(QueueError) as told:
            await queue.enqueue(asked("new"))
        assert told.value.reason is QueueRejectionReason.UNAVAILABLE

    play(path, game)


def test_no_database_and_another_programs_are_refused(tmp_path: Path) -> None:
    (tmp_path / "text").write_bytes(b"no database at all, but long enough to look at" * 100)
    assert refused(tmp_path / "text").reason is QueueRejectionReason.UNAVAILABLE
    with sqlite3.connect(tmp_path / "other") as other:
        other.execute("CREATE TABLE mine (x)")
    other.close()
    assert "version" in str(refused(tmp_path / "other"))
    assert refused(tmp_path / "no" / "folder").reason is QueueRejectionReason.UNAVAILABLE


def test_a_newer_file_is_refused_and_left_as_it_is(tmp_path: Path) -> None:
    path = tmp_path / "queue.db"
    schema.connect(path, 1.0).close()
    with sqlite3.connect(path) as newer:
        newer.execute(f"PRAGMA user_version = {schema.SCHEMA_VERSION + 1}")
    newer.close()
    before = path.read_bytes()
    assert f"version {schema.SCHEMA_VERSION + 1}" in str(refused(path))
    assert path.read_bytes() == before


def test_an_older_file_is_brought_up_to_date_with_all_it_holds(tmp_path: Path) -> None:
    path = tmp_path / "queue.db"
    older = sqlite3.connect(path, isolation_level=None)
    older.execute("PRAGMA journal_mode = WAL")
    for statement in schema.MIGRATIONS[0]:
        older.execute(statement)
    older.execute("PRAGMA user_version = 1")
    older.execute(f"PRAGMA application_id = {schema.APPLICATION_ID}")
    entry = Entry(asked("a", safe=False), EntryState.BEGUN, 3, 1)
    row = to_row(entry)
    columns = COLUMNS.removesuffix(", key")
    marks = ", ".join("?" * 15)
    older.execute(f"INSERT INTO entries ({columns}, seal) VALUES ({marks})", (*row[:14], row[15]))
    older.close()
    db = schema.connect(path, 1.0)
    assert queries.get_entry(db, "a") == entry
    assert db.execute("SELECT entries, bytes FROM totals").fetchone() == (1, 10)
    assert within(db, lambda db: transitions.adopt(db, 4, NOW_S)).unknown == ("a",)
    db.close()


def test_a_full_disk_refuses_and_loses_nothing(tmp_path: Path) -> None:
    async def game(queue: Queue) -> None:
        await queue.enqueue(asked("first", safe=False))
        await queue.adopt(1)
        await pages(queue, 1_060)  # a reserve of 1,024 is left to what is in already
        kept, why = ["first"], None
        for number in range(200):
            try:
                kept.append((await queue.enqueue(asked(f"{number}", size=5_000))).name)
            except QueueError as error:
                why = error.reason
                break
        assert why is QueueRejectionReason.DISK_FULL and len(kept) > 3
        for name in kept:  # each 202 stands, and can still be begun, ended and taken back
            assert (await queue.begin_attempt(name, 1)).state is EntryState.BEGUN
        assert (await queue.complete("first", 1, EntryOutcome.SERVED, b"{}")).outcome is EntryOutcome.SERVED
        await pages(queue, 1)  # no page more, whatever was reserved
        with pytest.raises(QueueError) as told:
            await queue.complete("0", 1, EntryOutcome.SERVED, b"?" * 100_000)
        assert told.value.reason is QueueRejectionReason.DISK_FULL
        entry = await queue.get("0")
        assert entry is not None and entry.state is EntryState.BEGUN  # nothing half done
        await pages(queue, 2_000)
        assert (
            await queue.complete("0", 1, EntryOutcome.SERVED, b"?" * 100_000)
        ).outcome is EntryOutcome.SERVED

    play(tmp_path / "queue.db", game)


async def pages(queue: Queue, most: int) -> None:
    await queue.worker.run(lambda db: db.execute(f"PRAGMA max_page_count = {most}").fetchone(), writes=False)


def test_what_waits_together_is_committed_together_and_refused_each_by_itself(tmp_path: Path) -> None:
    async def game(queue: Queue) -> None:
        told: dict[str, str] = {}

        async def one(name: str, size: int) -> None:
            try:
                await queue.enqueue(asked(name, f"t{name}", size=size))
                told[name] = "kept"
            except QueueError as error:
                told[name] = error.reason.value

        async with anyio.create_task_group() as tasks:
            for number in range(40):
                tasks.start_soon(one, f"{number}", 9_999 if number == 7 else 100)
        assert told.pop("7") == "large" and set(told.values()) == {"kept"}
        assert queue.worker.commits < 20

    play(tmp_path / "queue.db", game, max_entry_bytes=1_024, max_entries=1000)


def test_another_process_at_the_file_is_waited_for_and_then_told(tmp_path: Path) -> None:
    path = tmp_path / "queue.db"
    other = schema.connect(path, 1.0)

    async def game(queue: Queue) -> None:
        other.execute("BEGIN IMMEDIATE")
        with pytest.raises(QueueError) as told:
            await queue.enqueue(asked("a"))
        assert told.value.reason is QueueRejectionReason.LOCKED
        threading.Timer(0.05, lambda: other.execute("ROLLBACK")).start()
        assert (await queue.enqueue(asked("a"))).state is EntryState.WAITING

    play(path, game, lock_timeout_s=0.3)
    other.close()


def test_two_processes_at_one_file_see_each_others_entries_and_tokens(tmp_path: Path) -> None:
    path = tmp_path / "queue.db"

    async def game(queue: Queue) -> None:
        second = Queue(QueueConfig(path=str(path)), lambda: NOW_S)
        second.start()
        await queue.enqueue(asked("a"))
        await queue.adopt(1)
        await queue.begin_attempt("a", 1)
        told = await second.get("a")
        assert told is not None and told.state is EntryState.BEGUN
        await second.adopt(2)
        with pytest.raises(StaleTokenError):
            await queue.complete("a", 1, EntryOutcome.SERVED, b"{}")
        second.stop()

    play(path, game)


def test_the_loop_is_not_held_up_by_a_slow_disk(tmp_path: Path) -> None:
    async def game(queue: Queue) -> None:
        gate = threading.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(queue.worker.run, lambda db: gate.wait(20))
            turns = 0
            while turns < 100:  # the loop goes round while the thread stands still
                await anyio.lowlevel.checkpoint()
                turns += 1
            gate.set()

    play(tmp_path / "queue.db", game)
