"""The queue's file when it is corrupt, of another schema version, or on a full disk."""

from __future__ import annotations

import sqlite3
from collections.abc import Callable, Coroutine
from functools import partial
from pathlib import Path
from typing import Any

import anyio
import pytest

from ringledge.store import queries, schema, transitions
from ringledge.store.entry import Entry, EntryOutcome, EntryState
from ringledge.store.errors import StoreError, StoreRejectionReason
from ringledge.store.queries import CORRUPT_ENTRY_MESSAGE
from ringledge.store.queue import Queue
from ringledge.store.seal import COLUMNS, to_row
from ringledge.store.settings import QueueConfig
from tests.store.helpers import LIMITS, NOW_S, db, in_transaction, queued_request

__all__ = ["db"]

Scenario = Callable[[Queue], Coroutine[Any, Any, None]]


def run_scenario(path: Path, scenario: Scenario, **options: Any) -> None:
    """Run a scenario on a queue whose clock is fixed at NOW_S."""

    async def run() -> None:
        queue = Queue(QueueConfig(path=str(path), **options), lambda: NOW_S)
        queue.start()
        try:
            with anyio.fail_after(20):
                await scenario(queue)
        finally:
            queue.stop()

    anyio.run(run)


def connection_error(path: Path) -> StoreError:
    """Return the error that is raised when the file is opened."""
    with pytest.raises(StoreError) as raised:
        schema.connect(path, 0.1).close()
    return raised.value


async def limit_pages(queue: Queue, max_pages: int) -> None:
    await queue.worker.run(
        lambda db: db.execute(f"PRAGMA max_page_count = {max_pages}").fetchone(), writes=False
    )


def test_a_corrupt_row_ends_as_unknown_and_does_not_block_other_entries(db: sqlite3.Connection) -> None:
    for name in ("a", "b"):
        in_transaction(
            db,
            partial(
                transitions.enqueue,
                request=queued_request(name, idempotent=False),
                now_s=NOW_S,
                limits=LIMITS,
            ),
        )
    db.execute("UPDATE entries SET question = x'00' WHERE name = 'a'")  # simulates corruption on the disk
    in_transaction(db, lambda db: transitions.adopt(db, 1, NOW_S))
    entry = queries.get_entry(db, "a")
    assert (
        entry is not None
        and entry.outcome is EntryOutcome.UNKNOWN
        and entry.response == CORRUPT_ENTRY_MESSAGE
    )
    assert (
        in_transaction(db, lambda db: transitions.begin_attempt(db, "a", 1, NOW_S)).state is EntryState.ENDED
    )
    assert [head.name for head in queries.oldest_entries(db, 4)] == ["b"]


def test_a_begun_row_corrupted_to_waiting_is_not_begun_again(db: sqlite3.Connection) -> None:
    in_transaction(
        db, lambda db: transitions.enqueue(db, queued_request("a", idempotent=False), NOW_S, LIMITS)
    )
    in_transaction(db, lambda db: transitions.adopt(db, 1, NOW_S))
    in_transaction(db, lambda db: transitions.begin_attempt(db, "a", 1, NOW_S))
    db.execute("UPDATE entries SET state = 0")
    assert (
        in_transaction(db, lambda db: transitions.begin_attempt(db, "a", 1, NOW_S)).outcome
        is EntryOutcome.UNKNOWN
    )


def test_a_corrupt_file_is_rejected_and_not_modified(tmp_path: Path) -> None:
    path = tmp_path / "queue.db"
    connection = schema.connect(path, 1.0)
    for number in range(50):
        new_request = queued_request(f"{number}", f"t{number}", size=900)
        in_transaction(
            connection, partial(transitions.enqueue, request=new_request, now_s=NOW_S, limits=LIMITS)
        )
    connection.close()
    corrupt = bytearray(path.read_bytes())
    corrupt[4096 * 2 : 4096 * 12] = b"\xff" * (4096 * 10)
    path.write_bytes(corrupt)
    assert connection_error(path).reason is StoreRejectionReason.UNAVAILABLE
    assert path.read_bytes() == corrupt

    async def scenario(queue: Queue) -> None:
        with pytest.raises(StoreError) as raised:
            await queue.enqueue(queued_request("new"))
        assert raised.value.reason is StoreRejectionReason.UNAVAILABLE

    run_scenario(path, scenario)


def test_files_that_are_no_queue_database_are_rejected(tmp_path: Path) -> None:
    (tmp_path / "text").write_bytes(b"no database at all, but long enough to look at" * 100)
    assert connection_error(tmp_path / "text").reason is StoreRejectionReason.UNAVAILABLE
    with sqlite3.connect(tmp_path / "other") as other:
        other.execute("CREATE TABLE mine (x)")
    other.close()
    assert "version" in str(connection_error(tmp_path / "other"))
    assert connection_error(tmp_path / "no" / "folder").reason is StoreRejectionReason.UNAVAILABLE


def test_a_file_of_a_newer_schema_version_is_rejected_and_not_modified(tmp_path: Path) -> None:
    path = tmp_path / "queue.db"
    schema.connect(path, 1.0).close()
    with sqlite3.connect(path) as newer:
        newer.execute(f"PRAGMA user_version = {schema.SCHEMA_VERSION + 1}")
    newer.close()
    before = path.read_bytes()
    assert f"version {schema.SCHEMA_VERSION + 1}" in str(connection_error(path))
    assert path.read_bytes() == before


def test_a_version_1_file_is_migrated_with_its_entries(tmp_path: Path) -> None:
    path = tmp_path / "queue.db"
    older = sqlite3.connect(path, isolation_level=None)
    older.execute("PRAGMA journal_mode = WAL")
    for statement in schema.MIGRATIONS[0]:
        older.execute(statement)
    older.execute("PRAGMA user_version = 1")
    older.execute(f"PRAGMA application_id = {schema.APPLICATION_ID}")
    entry = Entry(queued_request("a", idempotent=False), EntryState.BEGUN, 3, 1)
    row = to_row(entry)
    columns = COLUMNS.removesuffix(", key")
    placeholders = ", ".join("?" * 15)
    older.execute(f"INSERT INTO entries ({columns}, seal) VALUES ({placeholders})", (*row[:14], row[15]))
    older.close()
    db = schema.connect(path, 1.0)
    assert queries.get_entry(db, "a") == entry
    assert db.execute("SELECT entries, bytes FROM totals").fetchone() == (1, 10)
    assert in_transaction(db, lambda db: transitions.adopt(db, 4, NOW_S)).unknown == ("a",)
    db.close()


def test_a_full_disk_rejects_new_requests_and_loses_no_entry(tmp_path: Path) -> None:
    async def scenario(queue: Queue) -> None:
        await queue.enqueue(queued_request("first", idempotent=False))
        await queue.adopt(1)
        await limit_pages(queue, 1_060)  # leaves the reserve of 1,024 pages for existing entries
        accepted = ["first"]
        reason = None
        for number in range(200):
            try:
                accepted.append((await queue.enqueue(queued_request(f"{number}", size=5_000))).name)
            except StoreError as error:
                reason = error.reason
                break
        assert reason is StoreRejectionReason.DISK_FULL and len(accepted) > 3
        for name in accepted:  # every accepted entry can still be begun and ended
            assert (await queue.begin_attempt(name, 1)).state is EntryState.BEGUN
        assert (await queue.complete("first", 1, EntryOutcome.SERVED, b"{}")).outcome is EntryOutcome.SERVED
        await limit_pages(queue, 1)  # no further page, not even for existing entries
        with pytest.raises(StoreError) as raised:
            await queue.complete("0", 1, EntryOutcome.SERVED, b"?" * 100_000)
        assert raised.value.reason is StoreRejectionReason.DISK_FULL
        entry = await queue.get("0")
        assert entry is not None and entry.state is EntryState.BEGUN  # nothing was changed
        await limit_pages(queue, 2_000)
        assert (
            await queue.complete("0", 1, EntryOutcome.SERVED, b"?" * 100_000)
        ).outcome is EntryOutcome.SERVED

    run_scenario(tmp_path / "queue.db", scenario)
