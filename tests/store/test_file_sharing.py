"""Concurrent use of the queue's file: group commits, several processes, and a slow disk."""

from __future__ import annotations

import sqlite3
import threading
import time
from pathlib import Path
from typing import Any

import anyio
import pytest

from ringledge.store import database, schema
from ringledge.store.entry import EntryOutcome, EntryState, StaleTokenError
from ringledge.store.errors import StoreError, StoreRejectionReason
from ringledge.store.queue import Queue
from ringledge.store.settings import QueueConfig
from tests.store.helpers import NOW_S, queued_request
from tests.store.test_file import run_scenario


def test_pending_steps_share_a_commit_and_are_rejected_individually(tmp_path: Path) -> None:
    async def scenario(queue: Queue) -> None:
        results: dict[str, str] = {}

        async def enqueue(name: str, size: int) -> None:
            try:
                await queue.enqueue(queued_request(name, f"t{name}", size=size))
                results[name] = "accepted"
            except StoreError as error:
                results[name] = error.reason.value

        async with anyio.create_task_group() as tasks:
            for number in range(40):
                tasks.start_soon(enqueue, f"{number}", 9_999 if number == 7 else 100)
        assert results.pop("7") == "large" and set(results.values()) == {"accepted"}
        assert queue.worker.commits < 20

    run_scenario(tmp_path / "queue.db", scenario, max_entry_bytes=1_024, max_entries=1000)


def test_a_lock_of_another_process_is_awaited_until_the_timeout(tmp_path: Path) -> None:
    path = tmp_path / "queue.db"
    other = schema.connect(path, 1.0)

    async def scenario(queue: Queue) -> None:
        other.execute("BEGIN IMMEDIATE")
        with pytest.raises(StoreError) as raised:
            await queue.enqueue(queued_request("a"))
        assert raised.value.reason is StoreRejectionReason.LOCKED
        threading.Timer(0.05, lambda: other.execute("ROLLBACK")).start()
        assert (await queue.enqueue(queued_request("a"))).state is EntryState.WAITING

    run_scenario(path, scenario, lock_timeout_s=0.3)
    other.close()


def test_file_opens_once_another_process_that_opens_it_is_done(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a start that fails beside another one: SQLite does not wait for a change of its mode."""
    path = tmp_path / "queue.db"
    other = sqlite3.connect(path, isolation_level=None)
    other.execute("BEGIN IMMEDIATE")
    monkeypatch.setattr(time, "sleep", lambda seconds: other.close())
    schema.connect(path, 20.0).close()


def test_file_opens_while_another_process_creates_its_schema(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a version and a schema that are read on both sides of another process's commit."""
    path = tmp_path / "queue.db"
    read = database._scalar
    created = list[bool]()

    def create_after_version(db: sqlite3.Connection, query: str) -> Any:
        value = read(db, query)
        if query == "PRAGMA user_version" and not created:
            created.append(True)
            schema.connect(path, 1.0).close()
        return value

    monkeypatch.setattr(database, "_scalar", create_after_version)
    schema.connect(path, 1.0).close()
    assert created


def test_file_that_is_locked_when_it_is_opened_can_be_used_once_it_is_not(tmp_path: Path) -> None:
    """Guards against a queue that rejects for seconds behind a lock of milliseconds."""
    path = tmp_path / "queue.db"
    other = sqlite3.connect(path, isolation_level=None)

    async def scenario(queue: Queue) -> None:
        other.execute("BEGIN EXCLUSIVE")
        with pytest.raises(StoreError) as raised:
            await queue.enqueue(queued_request("a"))
        assert raised.value.reason is StoreRejectionReason.LOCKED
        other.execute("ROLLBACK")
        assert (await queue.enqueue(queued_request("a"))).state is EntryState.WAITING

    run_scenario(path, scenario, lock_timeout_s=0.05)
    other.close()


def test_two_processes_share_entries_and_tokens_of_one_file(tmp_path: Path) -> None:
    path = tmp_path / "queue.db"

    async def scenario(queue: Queue) -> None:
        second = Queue(QueueConfig(path=str(path)), lambda: NOW_S)
        second.start()
        await queue.enqueue(queued_request("a"))
        await queue.adopt(1)
        await queue.begin_attempt("a", 1)
        entry = await second.get("a")
        assert entry is not None and entry.state is EntryState.BEGUN
        await second.adopt(2)
        with pytest.raises(StaleTokenError):
            await queue.complete("a", 1, EntryOutcome.SERVED, b"{}")
        second.stop()

    run_scenario(path, scenario)


def test_a_slow_disk_does_not_block_the_event_loop(tmp_path: Path) -> None:
    async def scenario(queue: Queue) -> None:
        gate = threading.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(queue.worker.run, lambda db: gate.wait(20))
            iterations = 0
            while iterations < 100:  # the event loop runs while the thread is blocked
                await anyio.lowlevel.checkpoint()
                iterations += 1
            gate.set()

    run_scenario(tmp_path / "queue.db", scenario)
