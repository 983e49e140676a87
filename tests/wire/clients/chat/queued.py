"""A process of a partitioned site: its chat front, its queue, and servers whose answers the test controls."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass
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
from ringledge.memory.names import WireNames
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
from ringledge.store.idempotency_keys import IdempotencyKeys
from ringledge.store.metrics import IdempotencyKeyMetrics, QueueMetrics
from ringledge.store.queue import Queue
from ringledge.store.settings import QueueConfig
from ringledge.wire.clients.chat import ChatHandler, ChatOptions, error_body
from ringledge.wire.clients.chat.keyed_runs import KeyedRuns
from ringledge.wire.clients.chat.queued import QueuedChat, QueuedChatOptions
from ringledge.wire.clients.chat.replaying import ReplaySender
from ringledge.wire.clients.chat_settings import ChatConfig
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import HttpError
from ringledge.wire.http.messages import respond

SETTINGS = RouterSettings(
    classes=(
        RequestClass(1200, 5000, Idempotency.IDEMPOTENT),
        RequestClass(2500, 5000, Idempotency.NON_IDEMPOTENT),
        RequestClass(2500, 5000, Idempotency.KEYED, dedup_window_ms=3000),
    ),
    kinds=(ServerKind(Role.PREFILL), ServerKind(Role.DECODE)),
    max_attempts=3,
    may_cancel=True,
)
NAMES = WireNames(
    (), ("prefill", "decode"), ("query", "booking", "keyed"), ("farm", "yard"), 30.0, 0.25, 1000.0
)
CONFIG = ChatConfig("127.0.0.1:0", {"ask": "query", "book": "booking", "keyed": "keyed"}, "farm")
ASYNC = {"Prefer": "respond-async"}
UP = Availability.UP


@dataclass(frozen=True)
class Response:
    """A response of the chat front."""

    status: int
    headers: dict[str, str]
    body: Any  # decoded JSON


class FakeServerPort:
    """Records the attempts that are sent to servers, for the test to answer them."""

    def __init__(self) -> None:
        self.sent: list[Attempt] = []

    def send(self, attempt: Attempt) -> None:
        attempt.written = True
        self.sent.append(attempt)

    def abandon(self, attempt: Attempt) -> None:
        """Do nothing: there is no connection to close."""

    def release(self, request: str, known: set[str], unseen: Mapping[str, float], begun: bool) -> None:
        """Do nothing: there is no entry to release."""

    def endpoints_changed(self, *_: object) -> None:
        """Do nothing: no connection depends on the endpoints."""

    def answered_since(self, server: str, at_ms: float) -> bool:
        return True

    def unreachable_servers(self) -> frozenset[str]:
        return frozenset()

    def probe(self, server: str) -> None:
        """Do nothing: there is no server to probe."""

    def poll_endpoints(self) -> None:
        """Do nothing: there is no discovery service to poll."""


class SiteProcess:
    """One process of the site with its chat front and its connection to the queue's file."""

    def __init__(self, file: Path, **queue_options: Any) -> None:
        self.port = FakeServerPort()
        servers = ServerList(SETTINGS.kinds)
        self.conductor = Conductor(SETTINGS, 1, Clock(), servers, Metrics(), self.port)
        endpoints = (ServerEntry("r", 0, 0, 0, UP), ServerEntry("w", 0, 1, 0, UP))
        update = EndpointUpdate(EndpointUpdateKind.PERSISTED, 1, endpoints)
        self.conductor.update_endpoints(update, {"r": "a:1", "w": "a:2"})
        self.queue = Queue(QueueConfig(**{"path": str(file)} | queue_options))
        self.queue.start()
        self.site_state = SiteState.PARTITIONED
        self.metrics = QueueMetrics(CollectorRegistry())
        queued_options = QueuedChatOptions(NAMES.classes, SETTINGS, "farm", 600.0)
        queued = QueuedChat(self.queue, lambda: self.site_state, self.metrics, queued_options)
        self.keys = IdempotencyKeys(file.with_name("keys.db"), max_keys=1000)
        self.keys.start()
        self.keyed_runs = KeyedRuns(
            self.keys,
            self.conductor.registry,
            self.conductor.context.invariants,
            IdempotencyKeyMetrics(CollectorRegistry()),
        )
        options = ChatOptions(CONFIG, SETTINGS, NAMES, 1e6)
        self.chat = ChatHandler(options, self.conductor, self.keyed_runs, queued=queued)
        self.sender = ReplaySender(CONFIG, SETTINGS, NAMES, self.conductor, self.keyed_runs)

    async def request(
        self, method: str, path: str, body: Any = None, headers: Mapping[str, str] | None = None
    ) -> Response:
        """Send one request to the front and return its response."""
        client, server = socket.socketpair()
        server.setblocking(False)
        content = b"" if body is None else json.dumps(body).encode()
        fields = {"Host": "x", "Content-Length": str(len(content))} | dict(headers or {})
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        client.sendall(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + content)
        conn = Connection(server, h11.SERVER)
        head = await conn.next_event()
        assert isinstance(head, h11.Request)
        try:
            await self.chat.handle(conn, head)
        except HttpError as error:
            await respond(conn, error.status, error_body(error), error.headers)
        conn.close()
        client.settimeout(10)
        received = client.recv(1_000_000)
        client.close()
        return parse_response(method, path, received)

    async def post(self, model: str = "ask", **headers: str) -> Response:
        """Post a chat request; underscores in the names of headers stand for hyphens."""
        body = {"model": model, "messages": [{"role": "user", "content": "is room 14 free?"}]}
        named = {key.replace("_", "-"): value for key, value in headers.items()}
        return await self.request("POST", "/v1/chat/completions", body, named)

    async def replay(self, name: str, token: int) -> list[SendResult]:
        """Send an entry through the conductor, as the lease holder does; the list receives its result."""
        entry = await self.queue.begin_attempt(name, token)
        results = list[SendResult]()
        self.sender(entry, results.append)
        return results

    async def serve(self, attempt: Attempt, *texts: str) -> None:
        """Answer an attempt as a prefill server and a decode server do."""
        if attempt.is_prefill:
            self.conductor.on_attempt_outcome(attempt, AttemptStatus.PREFILLED)
            attempt = self.port.sent[-1]
        assert self.conductor.on_first_token(attempt)
        for text in texts:
            event = {"choices": [{"index": 0, "delta": {"content": text}}]}
            await self.conductor.relay_chunk(attempt, b"data: " + json.dumps(event).encode() + b"\n\n")
        self.conductor.on_attempt_outcome(attempt, AttemptStatus.OK)


def parse_response(method: str, path: str, received: bytes) -> Response:
    """Parse the response to a request."""
    client = h11.Connection(h11.CLIENT)
    client.send(h11.Request(method=method, target=path, headers=[("Host", "x"), ("Content-Length", "0")]))
    client.send(h11.EndOfMessage())
    client.receive_data(received)
    head = client.next_event()
    assert isinstance(head, h11.Response)
    data = b""
    while isinstance(event := client.next_event(), h11.Data):
        data += event.data
    headers = {name.decode(): value.decode() for name, value in head.headers}
    return Response(head.status_code, headers, json.loads(data))


Scenario = Callable[[SiteProcess], Coroutine[Any, Any, None]]


def run_scenario(tmp_path: Path, scenario: Scenario, **queue_options: Any) -> None:
    """Run a scenario with one process and a new queue file."""

    async def run() -> None:
        process = SiteProcess(tmp_path / "queue.db", **queue_options)
        try:
            with anyio.fail_after(20):
                await scenario(process)
        finally:
            process.queue.stop()

    anyio.run(run)
