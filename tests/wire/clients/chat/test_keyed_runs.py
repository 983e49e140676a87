"""The guard of keyed runs: claims that cannot be recorded, and keys that are free again."""

from __future__ import annotations

import sqlite3
import threading
from dataclasses import replace
from pathlib import Path

import anyio
import pytest

from ringledge.decide.replay.partition_detection import SiteState
from ringledge.decide.replay.scheduler import SendOutcome
from ringledge.members.replay_sender import SendResult
from ringledge.routing.interface import AttemptStatus
from ringledge.store.entry import EntryOutcome
from ringledge.store.idempotency_keys import IdempotencyKeys
from ringledge.store.key_claim import KeyClaim
from ringledge.wire.clients.chat import keyed_runs
from tests.wire.clients.chat import queued
from tests.wire.clients.chat.queued import ASYNC, Response, SiteProcess, run_scenario

OTHER = KeyClaim("farm", "k", run="other", origin="other")


async def wait_for_attempt(process: SiteProcess, number: int) -> None:
    """Wait until this many attempts were sent."""
    while len(process.port.sent) < number:
        await anyio.sleep(0.001)


async def is_free(file: Path) -> bool:
    """Whether another process of the router may claim the key; it keeps it if so."""
    other = IdempotencyKeys(file, max_keys=10)
    other.start()
    try:
        return await other.claim(OTHER)
    finally:
        other.stop()


async def book(process: SiteProcess, responses: list[Response]) -> None:
    responses.append(await process.post("book", Idempotency_Key="k"))


def test_booking_is_rejected_where_the_disk_does_not_answer_and_runs_once_it_does(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a client that waits for a disk, and against a claim that is recorded after its time."""
    monkeypatch.setattr(keyed_runs, "CLAIM_TIMEOUT_S", 0.05)
    gate = threading.Event()

    async def scenario(process: SiteProcess) -> None:
        process.site_state = SiteState.AVAILABLE
        process.keys._worker.submit(lambda db: gate.wait(20))
        rejected = await process.post("book", Idempotency_Key="k")
        assert (rejected.status, rejected.body["error"]["code"]) == (503, "idempotency_key_unrecorded")
        assert not process.port.sent
        gate.set()
        assert await is_free(tmp_path / "keys.db")

    run_scenario(tmp_path, scenario)


def test_key_is_free_again_once_its_last_attempt_proves_not_to_have_run(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a booking that stays refused: its client left before the server rejected it."""
    monkeypatch.setattr(queued, "SETTINGS", replace(queued.SETTINGS, may_cancel=False))

    async def scenario(process: SiteProcess) -> None:
        process.site_state = SiteState.AVAILABLE
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(book, process, [])
            await wait_for_attempt(process, 1)
            prefill = process.port.sent[0]
            process.conductor.on_attempt_outcome(prefill, AttemptStatus.PREFILLED)
            process.conductor.on_client_disconnected(prefill.record)
            assert not await is_free(tmp_path / "keys.db")
            process.conductor.on_attempt_outcome(process.port.sent[1], AttemptStatus.FULL)
            assert await is_free(tmp_path / "keys.db")
            tasks.cancel_scope.cancel()

    run_scenario(tmp_path, scenario)


def test_key_is_free_again_if_its_request_could_not_be_submitted(tmp_path: Path) -> None:
    async def scenario(process: SiteProcess) -> None:
        process.site_state = SiteState.AVAILABLE
        process.chat.sessions.max_sessions = 0
        assert (await process.post("book", Idempotency_Key="k")).status == 429
        assert await is_free(tmp_path / "keys.db")

    run_scenario(tmp_path, scenario)


async def run_booking(process: SiteProcess) -> None:
    """Have a booking with the key served, and its response evicted."""
    responses = list[Response]()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(book, process, responses)
        await wait_for_attempt(process, 1)
        await process.serve(process.port.sent[0], "booked")
    assert responses[0].status == 200
    process.chat.sessions.evict(1_000_000)


async def enqueue(process: SiteProcess) -> str:
    """Have a booking with the key queued during a partition; returns the entry's name."""
    process.site_state = SiteState.PARTITIONED
    name: str = (await process.post("book", Idempotency_Key="k", **ASYNC)).body["id"]
    process.site_state = SiteState.AVAILABLE
    return name


async def result_of(results: list[SendResult]) -> SendResult:
    while not results:
        await anyio.sleep(0.001)
    return results.pop()


def test_queued_booking_does_not_run_if_its_key_has_run_before(tmp_path: Path) -> None:
    """Guards against a key that a connected client has used, and that comes again during a partition."""

    async def scenario(process: SiteProcess) -> None:
        process.site_state = SiteState.AVAILABLE
        await run_booking(process)
        sent = len(process.port.sent)
        async with anyio.create_task_group() as process.sender.tasks:
            await process.queue.adopt(1)
            results = await process.replay(await enqueue(process), 1)
            assert await result_of(results) == SendResult(SendOutcome.FAILED, may_have_run=True)
        assert len(process.port.sent) == sent

    run_scenario(tmp_path, scenario)


def test_booking_does_not_run_again_once_its_queued_entry_is_deleted(tmp_path: Path) -> None:
    """Guards against a queue that keeps entries for `keep_s` alone, and their keys with them."""

    async def scenario(process: SiteProcess) -> None:
        async with anyio.create_task_group() as process.sender.tasks:
            await process.queue.adopt(1)
            name = await enqueue(process)
            results = await process.replay(name, 1)
            await wait_for_attempt(process, 1)
            await process.serve(process.port.sent[0], "booked")
            served = await result_of(results)
        await process.queue.complete(name, 1, EntryOutcome.SERVED, served.answer)
        await process.queue.worker.run(lambda db: db.execute("DELETE FROM entries").rowcount)
        repeated = await process.post("book", Idempotency_Key="k")
        assert (repeated.status, repeated.body["error"]["code"]) == (409, "may_have_run")
        assert len(process.port.sent) == 2

    run_scenario(tmp_path, scenario)


def test_queued_booking_that_was_rejected_is_sent_again(tmp_path: Path) -> None:
    """Guards against an entry that its own earlier attempt, which never ran, keeps from running."""

    async def scenario(process: SiteProcess) -> None:
        async with anyio.create_task_group() as process.sender.tasks:
            await process.queue.adopt(1)
            name = await enqueue(process)
            first = await process.replay(name, 1)
            await wait_for_attempt(process, 1)
            for attempt in process.port.sent:  # grows with each retry
                process.conductor.on_attempt_outcome(attempt, AttemptStatus.CONNECT_FAILED)
            assert (await result_of(first)).outcome is SendOutcome.REJECTED
            await process.queue.record_failed_attempt(name, 1, may_have_run=False)
            failed = len(process.port.sent)
            second = await process.replay(name, 1)
            await wait_for_attempt(process, failed + 1)
            await process.serve(process.port.sent[failed], "booked")
            assert (await result_of(second)).outcome is SendOutcome.SERVED

    run_scenario(tmp_path, scenario)


def test_queued_booking_waits_where_its_key_cannot_be_recorded(tmp_path: Path) -> None:
    async def scenario(process: SiteProcess) -> None:
        process.keys.stop()
        async with anyio.create_task_group() as process.sender.tasks:
            await process.queue.adopt(1)
            results = await process.replay(await enqueue(process), 1)
            assert await result_of(results) == SendResult(SendOutcome.REJECTED, may_have_run=False)
        assert not process.port.sent

    run_scenario(tmp_path, scenario)


def test_key_whose_record_was_lost_is_refused_by_the_process_that_ran_it(tmp_path: Path) -> None:
    """The check beside the guard: the file forgets a key, and the violation is counted."""

    async def scenario(process: SiteProcess) -> None:
        process.site_state = SiteState.AVAILABLE
        await run_booking(process)
        with sqlite3.connect(tmp_path / "keys.db") as db:
            db.execute("DELETE FROM keys")
        db.close()
        repeated = await process.post("book", Idempotency_Key="k")
        assert (repeated.status, repeated.body["error"]["code"]) == (409, "may_have_run")
        violations = process.conductor.context.metrics.violations.labels("key_claimed_twice")
        assert violations._value.get() == 1 and len(process.port.sent) == 2

    run_scenario(tmp_path, scenario)
