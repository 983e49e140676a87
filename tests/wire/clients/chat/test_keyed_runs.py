"""The guard of keyed runs: claims that cannot be recorded, and keys that are free again."""

from __future__ import annotations

import sqlite3
import threading
from dataclasses import replace
from pathlib import Path

import anyio
import pytest

from ringledge.decide.replay.partition_detection import SiteState
from ringledge.routing.interface import AttemptStatus
from ringledge.store.idempotency_keys import IdempotencyKeys
from ringledge.store.key_claim import KeyClaim
from ringledge.wire.clients.chat import keyed_runs
from tests.wire.clients.chat import queued
from tests.wire.clients.chat.queued import Response, SiteProcess, run_scenario

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


def test_key_whose_record_was_lost_is_refused_by_the_process_that_ran_it(tmp_path: Path) -> None:
    """The check beside the guard: the file forgets a key, and the violation is counted."""

    async def scenario(process: SiteProcess) -> None:
        process.site_state = SiteState.AVAILABLE
        responses = list[Response]()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(book, process, responses)
            await wait_for_attempt(process, 1)
            await process.serve(process.port.sent[0], "booked")
        assert responses[0].status == 200
        process.chat.sessions.evict(1_000_000)
        with sqlite3.connect(tmp_path / "keys.db") as db:
            db.execute("DELETE FROM keys")
        db.close()
        repeated = await process.post("book", Idempotency_Key="k")
        assert (repeated.status, repeated.body["error"]["code"]) == (409, "may_have_run")
        violations = process.conductor.context.metrics.violations.labels("key_claimed_twice")
        assert violations._value.get() == 1 and len(process.port.sent) == 2

    run_scenario(tmp_path, scenario)
