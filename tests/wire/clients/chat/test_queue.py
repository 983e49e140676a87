"""The chat front during a partition: requests that are queued or rejected, and polling of entries."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import anyio
import pytest

from ringledge.decide.replay.partition_detection import SiteState
from ringledge.routing.interface import (
    AttemptStatus,
)
from ringledge.store.entry import EntryOutcome
from ringledge.store.queue import Queue
from ringledge.store.settings import QueueConfig
from tests.wire.clients.chat.queued import ASYNC, SiteProcess, run_scenario


def test_queued_request_can_be_polled_at_any_process_until_it_is_served(tmp_path: Path) -> None:
    async def scenario(first: SiteProcess) -> None:
        accepted = await first.post(Prefer="wait=1, Respond-Async; x=1")
        location = accepted.headers["location"]
        name = accepted.body["id"]
        assert accepted.status == 202 and accepted.headers["preference-applied"] == "respond-async"
        assert location == f"/v1/queue/{name}" and accepted.body["status"] == "queued"

        second = SiteProcess(tmp_path / "queue.db")
        assert (await second.request("GET", location)).status == 202
        await second.queue.adopt(1)
        results = await second.replay(name, 1)
        assert (await first.request("GET", location)).body["status"] == "in_progress"
        assert second.port.sent[0].record.payload.body.count(b"is room 14 free?") == 1

        await second.serve(second.port.sent[0], "yes, ", "two slots")
        await second.queue.complete(name, 1, EntryOutcome.SERVED, results[0].answer)
        for process in (first, second):  # each returns the response for as long as it is retained
            response = await process.request("GET", location)
            assert response.status == 200
            assert response.body["choices"][0]["message"]["content"] == "yes, two slots"
        second.queue.stop()

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    ("prefer", "state"), [("", SiteState.PARTITIONED), ("respond-async", SiteState.AVAILABLE)]
)
def test_request_runs_immediately_without_the_preference_or_while_the_site_is_available(
    tmp_path: Path, prefer: str, state: SiteState
) -> None:
    async def scenario(process: SiteProcess) -> None:
        process.site_state = state
        statuses: list[int] = []

        async def client() -> None:
            response = await process.post(Prefer=prefer or "wait=5")
            statuses.append(response.status)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(client)
            while not process.port.sent:
                await anyio.sleep(0)
            await process.serve(process.port.sent[0], "yes")
        assert statuses == [200] and not await process.queue.backlog_by_tenant()

    run_scenario(tmp_path, scenario)


def test_only_the_tenant_of_an_entry_can_poll_it_and_withdraw_it_while_it_waits(tmp_path: Path) -> None:
    async def scenario(process: SiteProcess) -> None:
        location = (await process.post(**ASYNC)).headers["location"]
        other_tenant = {"X-Caller": "yard"}
        assert (await process.request("GET", location, headers=other_tenant)).status == 404
        assert (await process.request("DELETE", location, headers=other_tenant)).status == 404
        assert (await process.request("PUT", location)).status == 405
        assert (await process.request("GET", "/v1/queue/none")).status == 404

        withdrawn = await process.request("DELETE", location)
        assert withdrawn.status == 200 and withdrawn.body["status"] == "withdrawn"
        assert (await process.request("GET", location)).status == 410
        assert (await process.request("DELETE", location)).status == 409

        begun = await process.post(**ASYNC)
        await process.queue.adopt(1)
        await process.queue.begin_attempt(begun.body["id"], 1)
        assert (await process.request("DELETE", begun.headers["location"])).status == 409

    run_scenario(tmp_path, scenario)


def test_each_outcome_without_a_response_has_its_own_status_and_code(tmp_path: Path) -> None:
    expected = (
        (EntryOutcome.FAILED, 500, "failed"),
        (EntryOutcome.UNKNOWN, 409, "may_have_run"),
        (EntryOutcome.EXPIRED, 410, "expired"),
    )

    async def scenario(process: SiteProcess) -> None:
        await process.queue.adopt(1)
        for outcome, status, code in expected:
            accepted = await process.post("book", **ASYNC)
            name = accepted.body["id"]
            await process.queue.begin_attempt(name, 1)
            await process.queue.complete(name, 1, outcome, b"")
            response = await process.request("GET", accepted.headers["location"])
            assert (response.status, response.body["error"]["code"]) == (status, code)

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    ("queue_options", "status", "code"),
    [
        ({"max_entries": 1, "tenant_quota": 1.0}, 503, "queue_full"),
        ({"max_entries": 2, "tenant_quota": 0.5}, 429, "queue_share_used"),
        ({"path": "/dev/null/queue.db"}, 503, "queue_closed"),
    ],
)
def test_a_request_that_the_queue_rejects_gets_the_reason_and_is_not_run(
    tmp_path: Path, queue_options: dict[str, Any], status: int, code: str
) -> None:
    async def scenario(process: SiteProcess) -> None:
        if "path" not in queue_options:
            assert (await process.post(**ASYNC)).status == 202
        rejected = await process.post(**ASYNC)
        assert (rejected.status, rejected.body["error"]["code"]) == (status, code)
        assert "retry-after" in rejected.headers and not process.port.sent

    run_scenario(tmp_path, scenario, **queue_options)


def test_a_request_whose_idempotency_key_is_queued_is_not_run(tmp_path: Path) -> None:
    async def scenario(process: SiteProcess) -> None:
        first = await process.post("book", Idempotency_Key="k", **ASYNC)
        repeated = await process.post("book", Idempotency_Key="k", **ASYNC)
        assert repeated.status == 202 and repeated.body["id"] == first.body["id"]

        # The partition is over, and the client retries without asking for an asynchronous response.
        process.site_state = SiteState.AVAILABLE
        conflict = await process.post("book", Idempotency_Key="k")
        assert (conflict.status, conflict.body["error"]["code"]) == (409, "queued")
        assert conflict.headers["location"] == first.headers["location"]
        assert not process.port.sent

        process.queue.stop()  # an unreadable file may contain the key, so a booking does not run
        process.queue = Queue(QueueConfig(path="/dev/null/queue.db"))
        process.queue.start()
        assert process.chat._queued is not None
        process.chat._queued._queue = process.queue
        assert (await process.post("book", Idempotency_Key="k")).status == 503

    run_scenario(tmp_path, scenario)


def test_a_failed_attempt_reports_whether_a_booking_may_have_run(tmp_path: Path) -> None:
    async def scenario(process: SiteProcess) -> None:
        await process.queue.adopt(1)
        accepted = await process.post("book", **ASYNC)
        results = await process.replay(accepted.body["id"], 1)
        process.conductor.on_attempt_outcome(process.port.sent[0], AttemptStatus.PREFILLED)
        # The request was written to the decode server, which reset the connection.
        process.conductor.on_attempt_outcome(process.port.sent[1], AttemptStatus.RESET)
        assert [result.may_have_run for result in results] == [True]

        accepted = await process.post("book", **ASYNC)
        results = await process.replay(accepted.body["id"], 1)
        process.conductor.shut_down()  # before the prefill server has answered
        assert [result.may_have_run for result in results] == [False]

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(("model", "may_have_run"), [("ask", False), ("book", True), ("keyed", True)])
def test_rejection_after_a_possible_run_is_not_taken_for_a_proof_that_nothing_ran(
    tmp_path: Path, model: str, may_have_run: bool
) -> None:
    """Guards against a booking that is sent again long after the window in which servers discard repeats."""

    async def scenario(process: SiteProcess) -> None:
        await process.queue.adopt(1)
        accepted = await process.post(model, **ASYNC)
        name = accepted.body["id"]
        results = await process.replay(name, 1)
        process.conductor.on_attempt_outcome(process.port.sent[0], AttemptStatus.PREFILLED)
        process.conductor.shut_down()  # the decode server has the request and says nothing
        assert [result.may_have_run for result in results] == [may_have_run]
        entry = await process.queue.record_failed_attempt(name, 1, may_have_run)
        assert entry.outcome is (EntryOutcome.UNKNOWN if may_have_run else None)

    run_scenario(tmp_path, scenario)
