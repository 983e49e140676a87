"""Stand-in readers, writers and discovery: the instances' side of the platform's protocol, on loopback.

Each request's runs are counted, so that a booking that ran twice, or two attempts that were out together,
show in the audit whatever the conductor says.
"""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from dataclasses import asdict, dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import httptools
import orjson

HOST = "127.0.0.1"
EMPTY_LINE_S = 2.0  # an open watch says so often that nothing has changed
REPORT = b'{"x0":0.25,"x1":1.5}'

SETTINGS: dict[str, Any] = {
    "azs": ["hall-east"],
    "shapes": ["prefill", "decode", "mixed"],
    "caps": {
        "cancel": True, "max_attempts": 6, "retry_after": True, "max_retry_after_ms": 1000.0,
        "keepalive_ms": 30000.0, "connect_timeout_ms": 250.0, "second_copies": False,
    },
    "classes": [
        {"name": "yard-query", "deadline_ms": 5000.0, "goal_time_ms": 1200.0, "effect": "retryable",
         "worth": 2.0, "late_worth": 0.1, "stream": True},
        {"name": "manifest-booking", "deadline_ms": 12000.0, "goal_time_ms": 2500.0, "effect": "fragile",
         "worth": 6.0, "late_worth": 0.3, "stream": True},
    ],
    "tenants": [
        {"name": "tokachi-farm-coop", "fraction": 0.36, "quota_per_s": 12.0},
        {"name": "kushiro-fish-union", "fraction": 0.27, "quota_per_s": 9.0},
        {"name": "obihiro-dairy-group", "fraction": 0.23, "quota_per_s": 8.0},
        {"name": "memuro-bean-growers", "fraction": 0.14, "quota_per_s": 5.0},
    ],
    "over_share_worth": 0.05,
    "stats": {"how": "piggyback", "fields": ["x0", "x1"]},
    "specifics": {
        "role_by_kind": ["read", "write", "both"], "token_aim_ms": [50.0, 80.0], "resume": True,
        "aim_us_per_1000_prompt_tokens": [60000.0, 120000.0], "let_go_by_ms": 500.0,
    },
    "safety": {"cold_share": 0.28, "warm_after_ms": 13000.0, "fall_multiple": 3.0,
               "overload_for_ms": 3000.0, "answer_slack_ms": 8.0, "drain_grace_ms": 250.0},
    "replicas_of_me": 1, "position": 0, "tick_ms": 2.0, "zone": 0, "membership_mode": "automatic",
}  # fmt: skip


@dataclass(slots=True, frozen=True)
class Plan:
    """How many stand-ins there are and how long each step takes them."""

    readers: int
    writers: int
    read_ms: float
    stream_ms: float
    events: int
    event_bytes: int


@dataclass(slots=True)
class Audit:
    """What all stand-ins saw together."""

    reads: int = 0
    answers: int = 0  # streams that were written to their end
    cut: int = 0  # streams whose taker left
    released: int = 0
    twice: int = 0  # requests that a writer began more than once
    together: int = 0  # attempts that came while another one of their request was out
    began: Counter[str] = field(default_factory=Counter)
    out: set[str] = field(default_factory=set)

    def told(self) -> bytes:
        """The counts as JSON."""
        names = ("reads", "answers", "cut", "released", "twice", "together")
        return orjson.dumps({name: getattr(self, name) for name in names} | {"out": len(self.out)})


def answer(status: int, body: bytes = b"", head: bytes = b"") -> bytes:
    """One whole answer."""
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n%s" % (status, len(body), head, body)


def chunk(data: bytes) -> bytes:
    """A piece of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Peer(asyncio.Protocol):
    """One connection: requests parsed one after another, each handed to `handle`."""

    def __init__(self, audit: Audit) -> None:
        self.audit = audit
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport
        self.headers: dict[bytes, bytes] = {}
        self.target = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Called by asyncio."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.close()

    def on_message_begin(self) -> None:
        """Called by the parser."""
        self.headers, self.target = {}, b""

    def on_url(self, url: bytes) -> None:
        """Called by the parser."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        self.headers[name.lower()] = value

    def on_message_complete(self) -> None:
        """Called by the parser."""
        self.handle(self.parser.get_method(), self.target)

    def handle(self, method: bytes, target: bytes) -> None:
        """Answer one request."""
        raise NotImplementedError


class Instance(Peer):
    """A connection to a reader or a writer."""

    def __init__(self, audit: Audit, plan: Plan, reads: bool) -> None:
        super().__init__(audit)
        self.plan, self.reads = plan, reads
        self.name = ""
        self.timer: asyncio.TimerHandle | None = None

    def handle(self, method: bytes, target: bytes) -> None:
        """Play the instance."""
        if target.startswith(b"/internal/reservations/"):
            self.audit.released += method == b"DELETE"
            return self.transport.write(answer(204 if method == b"DELETE" else 404))
        if target == b"/health" or target == b"/status/load":
            return self.transport.write(answer(200, REPORT))
        self.name = self.headers.get(b"x-call-id", b"").decode()
        if not self.name:
            return self.transport.write(answer(404))
        self.audit.together += self.name in self.audit.out
        self.audit.out.add(self.name)
        loop = asyncio.get_running_loop()
        if self.reads:
            self.timer = loop.call_later(self.plan.read_ms / 1000, self._read)
        else:
            self.audit.began[self.name] += 1
            self.audit.twice += self.audit.began[self.name] == 2
            self.timer = loop.call_later(self.plan.stream_ms / 1000 / self.plan.events, self._event, 0)

    def _read(self) -> None:
        self._through()
        self.audit.reads += 1
        report = b"X-Load-Report: " + REPORT + b"\r\n"
        self.transport.write(answer(202, b'{"cached_tokens":0}', report))

    def _event(self, number: int) -> None:
        choice = {"index": 0, "delta": {"content": "x" * self.plan.event_bytes}, "finish_reason": None}
        data = chunk(b"data: " + orjson.dumps({"choices": [choice]}) + b"\n\n")
        if not number:
            head = b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            data = b"HTTP/1.1 200 OK\r\n" + head + data
        if number + 1 < self.plan.events:
            step_s = self.plan.stream_ms / 1000 / self.plan.events
            self.timer = asyncio.get_running_loop().call_later(step_s, self._event, number + 1)
        else:
            usage = b'{"prompt_tokens":9,"completion_tokens":%d}' % self.plan.events
            data += chunk(b'data: {"choices":[],"usage":%s}\n\n' % usage)
            data += chunk(b"data: [DONE]\n\n: X-Load-Report: " + REPORT + b"\n\n") + b"0\r\n\r\n"
            self._through()
            self.audit.answers += 1
        self.transport.write(data)

    def _through(self) -> None:
        self.timer = None
        self.audit.out.discard(self.name)

    def connection_lost(self, _: Exception | None) -> None:
        """Called by asyncio: work stops when its request is cancelled."""
        if self.timer is not None:
            self.timer.cancel()
            self._through()
            self.audit.cut += not self.reads


class Discovery(Peer):
    """A connection to discovery: the list, a watch that stays quiet, and the audit."""

    def __init__(self, audit: Audit, listing: bytes) -> None:
        super().__init__(audit)
        self.listing = listing
        self.timer: asyncio.TimerHandle | None = None

    def handle(self, method: bytes, target: bytes) -> None:
        """Play discovery's agent."""
        if target == b"/audit":
            self.transport.write(answer(200, self.audit.told()))
        elif b"watch=1" in target:
            self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.transport.write(chunk(self.listing + b"\n"))
            self._quiet()
        else:
            self.transport.write(answer(200, self.listing))

    def _quiet(self) -> None:
        self.transport.write(chunk(b"\n"))
        self.timer = asyncio.get_running_loop().call_later(EMPTY_LINE_S, self._quiet)

    def connection_lost(self, _: Exception | None) -> None:
        """Called by asyncio."""
        if self.timer is not None:
            self.timer.cancel()


async def _serve(plan: Plan, folder: Path, limits: dict[str, float], operator: str) -> None:
    loop, audit = asyncio.get_running_loop(), Audit()
    entries = []
    for number in range(plan.readers + plan.writers):
        reads = number < plan.readers
        server = await loop.create_server(partial(Instance, audit, plan, reads), HOST, 0, backlog=1024)
        entries.append({
            "name": f"{'r' if reads else 'w'}{number}", "zone": "hall-east", "group": 1, "weight": 1.0,
            "address": f"{HOST}:{server.sockets[0].getsockname()[1]}", "status": "active", "since_ms": 0,
            "type": "prefill" if reads else "decode",
        })  # fmt: skip
    listing = {"index": 1, "snapshot": True, "endpoints": entries}
    discovery = await loop.create_server(lambda: Discovery(audit, orjson.dumps(listing)), HOST, 0)
    address = f"{HOST}:{discovery.sockets[0].getsockname()[1]}"
    told = {
        "name": "lab", "listen": f"{HOST}:0", "operator": operator, "discovery": address, "seed": "1",
        "limits": limits, "known": listing, "settings": SETTINGS,
    }  # fmt: skip
    (folder / "config.json").write_bytes(orjson.dumps(told))
    print(orjson.dumps({"event": "ready", "discovery": address, "plan": asdict(plan)}).decode(), flush=True)
    ended = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    await ended.wait()
    print(audit.told().decode(), flush=True)


def run(plan: Plan, folder: Path, limits: dict[str, float], operator: str) -> None:
    """Serve until a signal."""
    folder.mkdir(parents=True, exist_ok=True)
    asyncio.run(_serve(plan, folder, limits, operator))
