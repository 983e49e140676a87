"""One process of a cut-off site with its chat front, servers that a test plays, and its end of the queue."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable, Coroutine, Mapping
from pathlib import Path
from typing import Any

import anyio
import h11
from prometheus_client import CollectorRegistry

from ringledge.core.clock import Clock
from ringledge.core.conductor import Conductor
from ringledge.core.records import Attempt
from ringledge.decide.replay.partition_detection import SiteState
from ringledge.members.replay_sender import SendResult
from ringledge.memory.names import Names
from ringledge.memory.server_list import ServerList
from ringledge.observe.metrics import Metrics
from ringledge.routing.interface import (
    AttemptStatus,
    Availability,
    EndpointUpdate,
    EndpointUpdateKind,
    Idempotency,
    RequestClass,
    Role,
    RouterSettings,
    ServerEntry,
    ServerKind,
)
from ringledge.store.metrics import Figures
from ringledge.store.queue import Queue
from ringledge.store.settings import QueueConfig
from ringledge.wire.clients.chat import Chat, error_body
from ringledge.wire.clients.chat.queued import QueuedChat
from ringledge.wire.clients.chat.replaying import ReplaySender
from ringledge.wire.clients.chat_settings import ChatConfig
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import HttpError
from ringledge.wire.http.messages import respond

SETTINGS = RouterSettings(
    classes=(
        RequestClass(1200, 5000, Idempotency.IDEMPOTENT),
        RequestClass(2500, 5000, Idempotency.NON_IDEMPOTENT),
    ),
    kinds=(ServerKind(Role.PREFILL), ServerKind(Role.DECODE)),
    max_attempts=3,
    may_cancel=True,
)
NAMES = Names((), ("prefill", "decode"), ("query", "booking"), ("farm", "yard"), 30.0, 0.25, 1000.0)
CONFIG = ChatConfig("127.0.0.1:0", {"ask": "query", "book": "booking"}, "farm")
ASYNC = {"Prefer": "respond-async"}
UP = Availability.UP


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

    def endpoints_changed(self) -> None:
        """Nothing to do."""

    def answered_since(self, server: str, at_ms: float) -> bool:
        return True

    def unreachable_servers(self) -> frozenset[str]:
        return frozenset()

    def probe(self, server: str) -> None:
        """None is sent."""

    def poll_endpoints(self) -> None:
        """None are asked."""


class Process:
    """One process of the site: its front and its end of the queue."""

    def __init__(self, file: Path, **told: Any) -> None:
        self.port, metrics, servers = Port(), Metrics(), ServerList(SETTINGS.kinds)
        self.conductor = Conductor(SETTINGS, 1, Clock(), servers, metrics, self.port)
        fleet = (ServerEntry("r", 0, 0, 0, UP), ServerEntry("w", 0, 1, 0, UP))
        self.conductor.update_endpoints(
            EndpointUpdate(EndpointUpdateKind.PERSISTED, 1, fleet), {"r": "a:1", "w": "a:2"}
        )
        self.queue = Queue(QueueConfig(**{"path": str(file)} | told))
        self.queue.start()
        self.state, self.figures = SiteState.PARTITIONED, Figures(CollectorRegistry())
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

    async def replay(self, name: str, token: int) -> list[SendResult]:
        """Send one entry through the conductor, as the holder does; its end goes into the list."""
        entry, ends = await self.queue.begin(name, token), list[SendResult]()
        self.sender(entry, ends.append)
        return ends

    async def serve(self, attempt: Attempt, *texts: str) -> None:
        """The stand-ins: read at the reader, answered by the writer."""
        if attempt.is_prefill:
            self.conductor.outcome(attempt, AttemptStatus.PREFILLED)
            attempt = self.port.sent[-1]
        assert self.conductor.begin_stream(attempt)
        for text in texts:
            event = {"choices": [{"index": 0, "delta": {"content": text}}]}
            await self.conductor.relay_chunk(attempt, b"data: " + json.dumps(event).encode() + b"\n\n")
        self.conductor.outcome(attempt, AttemptStatus.OK)


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
