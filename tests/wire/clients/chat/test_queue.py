"""The chat front while the site is cut off: who is queued, who is refused, and what is told at the place."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import anyio
import pytest

from ringledge.decide.replay.partition_detection import SiteState
from ringledge.routing.interface import (
    AttemptStatus,
)
from ringledge.store.entry import End
from ringledge.store.queue import Queue
from ringledge.store.settings import QueueConfig
from tests.wire.clients.chat.queued import ASYNC, Process, play


def test_a_queued_request_from_its_202_to_its_answer_at_another_process(tmp_path: Path) -> None:
    async def game(first: Process) -> None:
        status, headers, told = await first.post(Prefer="wait=1, Respond-Async; x=1")
        place = headers["location"]
        assert status == 202 and headers["preference-applied"] == "respond-async"
        assert place == f"/v1/queue/{told['id']}" and told["status"] == "queued"
        second = Process(tmp_path / "queue.db")
        assert (await second.ask("GET", place))[0] == 202
        await second.queue.adopt(1)
        ends = await second.replay(told["id"], 1)
        assert (await first.ask("GET", place))[2]["status"] == "in_progress"
        assert second.port.sent[0].record.payload.body.count(b"is room 14 free?") == 1
        await second.serve(second.port.sent[0], "yes, ", "two slots")
        await second.queue.finish(told["id"], 1, End.SERVED, ends[0].answer)
        for process in (first, second):  # and it stays for its time
            status, _, answer = await process.ask("GET", place)
            assert status == 200 and answer["choices"][0]["message"]["content"] == "yes, two slots"
        second.queue.stop()

    play(tmp_path, game)


@pytest.mark.parametrize(
    ("prefer", "state"), [("", SiteState.PARTITIONED), ("respond-async", SiteState.AVAILABLE)]
)
def test_everybody_else_is_served_or_refused_as_without_a_queue(
    tmp_path: Path, prefer: str, state: SiteState
) -> None:
    async def game(process: Process) -> None:
        process.state = state
        async with anyio.create_task_group() as tasks:
            answers: list[int] = []

            async def client() -> None:
                answers.append((await process.post(Prefer=prefer or "wait=5"))[0])

            tasks.start_soon(client)
            while not process.port.sent:
                await anyio.sleep(0)
            await process.serve(process.port.sent[0], "yes")
        assert answers == [200] and not await process.queue.waiting()

    play(tmp_path, game)


def test_only_its_tenant_sees_it_and_takes_it_back_while_it_waits(tmp_path: Path) -> None:
    async def game(process: Process) -> None:
        _, headers, told = await process.post(**ASYNC)
        place, other = headers["location"], {"X-Caller": "yard"}
        assert (await process.ask("GET", place, headers=other))[0] == 404
        assert (await process.ask("DELETE", place, headers=other))[0] == 404
        assert (await process.ask("PUT", place))[0] == 405
        assert (await process.ask("GET", "/v1/queue/none"))[0] == 404
        status, _, gone = await process.ask("DELETE", place)
        assert status == 200 and gone["status"] == "withdrawn"
        assert (await process.ask("GET", place))[0] == 410
        assert (await process.ask("DELETE", place))[0] == 409
        _, headers, told = await process.post(**ASYNC)
        await process.queue.adopt(1)
        await process.queue.begin(told["id"], 1)
        assert (await process.ask("DELETE", headers["location"]))[0] == 409

    play(tmp_path, game)


def test_each_end_is_told_apart(tmp_path: Path) -> None:
    async def game(process: Process) -> None:
        await process.queue.adopt(1)
        seen = {}
        for end, status, kind in (
            (End.FAILED, 500, "failed"), (End.UNKNOWN, 409, "may_have_run"), (End.EXPIRED, 410, "expired")
        ):  # fmt: skip
            _, headers, told = await process.post("book", **ASYNC)
            await process.queue.begin(told["id"], 1)
            await process.queue.finish(told["id"], 1, end, b"")
            got, _, body = await process.ask("GET", headers["location"])
            seen[end] = (got, body["error"]["code"])
            assert seen[end] == (status, kind)

    play(tmp_path, game)


@pytest.mark.parametrize(
    ("told", "status", "code"),
    [
        ({"entries": 1, "tenant_share": 1.0}, 503, "queue_full"),
        ({"entries": 2, "tenant_share": 0.5}, 429, "queue_share_used"),
        ({"path": "/dev/null/queue.db"}, 503, "queue_closed"),
    ],
)
def test_what_can_not_be_queued_is_refused_at_once_and_says_why(
    tmp_path: Path, told: dict[str, Any], status: int, code: str
) -> None:
    async def game(process: Process) -> None:
        if "path" not in told:
            assert (await process.post(**ASYNC))[0] == 202
        got, headers, body = await process.post(**ASYNC)
        assert (got, body["error"]["code"]) == (status, code)
        assert "retry-after" in headers and not process.port.sent

    play(tmp_path, game, **told)


def test_a_key_that_is_queued_never_runs_beside_the_queue(tmp_path: Path) -> None:
    async def game(process: Process) -> None:
        _, headers, told = await process.post("book", Idempotency_Key="k", **ASYNC)
        again = await process.post("book", Idempotency_Key="k", **ASYNC)
        assert again[0] == 202 and again[2]["id"] == told["id"]
        process.state = SiteState.AVAILABLE  # the link is back, and its client tries it live
        status, place, body = await process.post("book", Idempotency_Key="k")
        assert (status, body["error"]["code"]) == (409, "queued") and place["location"] == headers["location"]
        assert not process.port.sent
        process.queue.stop()  # the file can't be asked: a booking that may be in it doesn't run
        process.queue = Queue(QueueConfig(path="/dev/null/queue.db"))
        process.queue.start()
        assert process.chat._queued is not None
        process.chat._queued._queue = process.queue
        assert (await process.post("book", Idempotency_Key="k"))[0] == 503

    play(tmp_path, game)


def test_a_booking_that_may_have_run_is_told_so_and_one_that_was_refused_is_not(tmp_path: Path) -> None:
    async def game(process: Process) -> None:
        await process.queue.adopt(1)
        _, _, told = await process.post("book", **ASYNC)
        ends = await process.replay(told["id"], 1)
        process.conductor.outcome(process.port.sent[0], AttemptStatus.PREFILLED)
        process.conductor.outcome(
            process.port.sent[1], AttemptStatus.RESET
        )  # written to the writer, then nothing
        assert [end.may_have_run for end in ends] == [True]
        _, _, told = await process.post("book", **ASYNC)
        ends = await process.replay(told["id"], 1)
        process.conductor.shut_down()  # given up before anything was read
        assert [end.may_have_run for end in ends] == [False]

    play(tmp_path, game)
