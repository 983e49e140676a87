"""The chat front while the site is cut off: who is queued, who is refused, and what is told at the place."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable, Coroutine, Mapping
from pathlib import Path
from typing import Any

import anyio
import h11
import pytest
from prometheus_client import CollectorRegistry

from crowstand import interface as i
from ringledge.core.clock import Clock
from ringledge.core.conductor import Conductor
from ringledge.core.ledger import Attempt
from ringledge.decide.cut_off import State
from ringledge.lifecycle.config import ChatConfig, Names
from ringledge.members.replayer import Result
from ringledge.memory.servers import ServerList
from ringledge.observe.metrics import Metrics
from ringledge.store.entry import End
from ringledge.store.figures import Figures
from ringledge.store.queue import Queue
from ringledge.store.settings import QueueConfig
from ringledge.wire.chat import Chat, error_body
from ringledge.wire.chat.queued import QueuedChat
from ringledge.wire.chat.replaying import ReplaySender
from ringledge.wire.http import Connection, HttpError, respond

SETTINGS = i.Settings(
    classes=(i.RequestClass(1200, 5000, i.Effect.SAFE), i.RequestClass(2500, 5000, i.Effect.UNSAFE)),
    kinds=(i.ServerKind(i.Role.READER), i.ServerKind(i.Role.WRITER)),
    max_attempts=3,
    may_cancel=True,
)
NAMES = Names((), ("prefill", "decode"), ("query", "booking"), ("farm", "yard"), 30.0, 0.25, 1000.0)
CONFIG = ChatConfig("127.0.0.1:0", {"ask": "query", "book": "booking"}, "farm")
ASYNC = {"Prefer": "respond-async"}
UP = i.Availability.UP


class Port:
    """The wires to the servers: what is sent waits for the test."""

    def __init__(self) -> None:
        self.sent: list[Attempt] = []

    def send(self, attempt: Attempt) -> None:
        attempt.written = True
        self.sent.append(attempt)

    def abandon(self, attempt: Attempt) -> None:
        """Nothing to close."""

    def release(self, request: str, known: set[str], unseen: Mapping[str, float], begun: bool) -> None:
        """Nothing is held."""

    def listed(self) -> None:
        """Nothing to do."""

    def silences(self) -> frozenset[str]:
        return frozenset()

    def probe(self, server: str) -> None:
        """None is sent."""

    def ask_members(self) -> None:
        """None are asked."""


class Process:
    """One process of the site: its front and its end of the queue."""

    def __init__(self, path: Path, **told: Any) -> None:
        self.port, metrics, servers = Port(), Metrics(), ServerList(SETTINGS.kinds)
        self.conductor = Conductor(SETTINGS, 1, Clock(), servers, metrics, self.port)
        fleet = (i.ServerEntry("r", 0, 0, 0, UP), i.ServerEntry("w", 0, 1, 0, UP))
        self.conductor.members(i.Members(i.ListForm.KEPT, 1, fleet), {"r": "a:1", "w": "a:2"})
        self.queue = Queue(QueueConfig(path=str(path), **told))
        self.queue.start()
        self.state, self.figures = State.CUT_OFF, Figures(CollectorRegistry())
        queued = QueuedChat(
            self.queue, lambda: self.state, NAMES.classes, SETTINGS, "farm", 600.0, self.figures
        )
        self.chat = Chat(CONFIG, SETTINGS, NAMES, self.conductor, 1e6, queued=queued)
        self.sender = ReplaySender(CONFIG, SETTINGS, NAMES, self.conductor)

    async def ask(
        self, method: str, path: str, body: Any = None, headers: Mapping[str, str] | None = None
    ) -> tuple[int, dict[str, str], Any]:
        """One request at the front; status, headers, JSON."""
        ours, theirs = socket.socketpair()
        theirs.setblocking(False)
        text = b"" if body is None else json.dumps(body).encode()
        told = {"Host": "x", "Content-Length": str(len(text))} | dict(headers or {})
        lines = "".join(f"{name}: {value}\r\n" for name, value in told.items())
        ours.sendall(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + text)
        conn = Connection(theirs, h11.SERVER)
        head = await conn.next_event()
        assert isinstance(head, h11.Request)
        try:
            await self.chat.handle(conn, head)
        except HttpError as error:
            await respond(conn, error.status, error_body(error), error.headers)
        conn.close()
        answer = h11.Connection(h11.CLIENT)
        answer.send(h11.Request(method=method, target=path, headers=[("Host", "x"), ("Content-Length", "0")]))
        answer.send(h11.EndOfMessage())
        ours.settimeout(10)
        answer.receive_data(ours.recv(1_000_000))
        response, data = answer.next_event(), b""
        assert isinstance(response, h11.Response)
        while isinstance(event := answer.next_event(), h11.Data):
            data += event.data
        ours.close()
        named = {name.decode(): value.decode() for name, value in response.headers}
        return response.status_code, named, json.loads(data)

    async def post(self, model: str = "ask", **headers: str) -> tuple[int, dict[str, str], Any]:
        body = {"model": model, "messages": [{"role": "user", "content": "is room 14 free?"}]}
        named = {key.replace("_", "-"): value for key, value in headers.items()}
        return await self.ask("POST", "/v1/chat/completions", body, named)

    async def replay(self, name: str, token: int) -> list[Result]:
        """Send one entry through the conductor, as the holder does; its end goes into the list."""
        entry, ends = await self.queue.begin(name, token), list[Result]()
        self.sender(entry, ends.append)
        return ends

    async def serve(self, attempt: Attempt, *texts: str) -> None:
        """The stand-ins: read at the reader, answered by the writer."""
        if attempt.reads:
            self.conductor.outcome(attempt, i.Status.READ)
            attempt = self.port.sent[-1]
        assert self.conductor.first(attempt)
        for text in texts:
            event = {"choices": [{"index": 0, "delta": {"content": text}}]}
            await self.conductor.piece(attempt, b"data: " + json.dumps(event).encode() + b"\n\n")
        self.conductor.outcome(attempt, i.Status.OK)


Game = Callable[[Process], Coroutine[Any, Any, None]]


def play(tmp_path: Path, game: Game, **told: Any) -> None:
    async def run() -> None:
        process = Process(tmp_path / "queue.db", **told)
        try:
            with anyio.fail_after(20):
                await game(process)
        finally:
            process.queue.stop()

    anyio.run(run)


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


@pytest.mark.parametrize(("prefer", "state"), [("", State.CUT_OFF), ("respond-async", State.OPEN)])
def test_everybody_else_is_served_or_refused_as_without_a_queue(
    tmp_path: Path, prefer: str, state: State
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

    path = Path(told.pop("path")) if "path" in (told := dict(told)) else tmp_path / "queue.db"

    async def run() -> None:
        process = Process(path, **told)
        if path != tmp_path / "queue.db":
            told["path"] = str(path)
        try:
            await game(process)
        finally:
            process.queue.stop()

    anyio.run(run)


def test_a_key_that_is_queued_never_runs_beside_the_queue(tmp_path: Path) -> None:
    async def game(process: Process) -> None:
        _, headers, told = await process.post("book", Idempotency_Key="k", **ASYNC)
        again = await process.post("book", Idempotency_Key="k", **ASYNC)
        assert again[0] == 202 and again[2]["id"] == told["id"]
        process.state = State.OPEN  # the link is back, and its client tries it live
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
        process.conductor.outcome(process.port.sent[0], i.Status.READ)
        process.conductor.outcome(process.port.sent[1], i.Status.RESET)  # written to the writer, then nothing
        assert [end.ran for end in ends] == [True]
        _, _, told = await process.post("book", **ASYNC)
        ends = await process.replay(told["id"], 1)
        process.conductor.last_call()  # given up before anything was read
        assert [end.ran for end in ends] == [False]

    play(tmp_path, game)
