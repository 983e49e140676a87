"""Stand-in prefill and decode servers: their side of the platform's protocol."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import orjson

from ringledge.lab.audit import Audit
from ringledge.lab.http_peer import Peer, answer, chunk

LOAD_REPORT = b'{"x0":0.25,"x1":1.5}'


@dataclass(slots=True, frozen=True)
class ServersPlan:
    """How many stand-ins there are and how long each step takes them."""

    readers: int
    writers: int
    read_ms: float
    stream_ms: float
    events: int
    event_bytes: int


class Instance(Peer):
    """A connection to a prefill or a decode server."""

    def __init__(self, audit: Audit, plan: ServersPlan, prefills: bool) -> None:
        super().__init__()
        self.audit, self.plan, self.prefills = audit, plan, prefills
        self.name = ""
        self.timer: asyncio.TimerHandle | None = None

    def handle(self, method: bytes, target: bytes) -> None:
        """Answer as a server does."""
        if target.startswith(b"/internal/reservations/"):
            self.audit.released += method == b"DELETE"
            return self.transport.write(answer(204 if method == b"DELETE" else 404))
        if target == b"/health" or target == b"/status/load":
            return self.transport.write(answer(200, LOAD_REPORT))
        self.name = self.headers.get(b"x-call-id", b"").decode()
        if not self.name:
            return self.transport.write(answer(404))
        self.audit.together += self.name in self.audit.out
        self.audit.out.add(self.name)
        loop = asyncio.get_running_loop()
        if self.prefills:
            self.timer = loop.call_later(self.plan.read_ms / 1000, self._prefilled)
        else:
            self.audit.began[self.name] += 1
            self.audit.twice += self.audit.began[self.name] == 2
            self.timer = loop.call_later(self.plan.stream_ms / 1000 / self.plan.events, self._send_event, 0)

    def _prefilled(self) -> None:
        self._done()
        self.audit.reads += 1
        report = b"X-Load-Report: " + LOAD_REPORT + b"\r\n"
        self.transport.write(answer(202, b'{"cached_tokens":0}', report))

    def _send_event(self, number: int) -> None:
        choice = {"index": 0, "delta": {"content": "x" * self.plan.event_bytes}, "finish_reason": None}
        data = chunk(b"data: " + orjson.dumps({"choices": [choice]}) + b"\n\n")
        if not number:
            head = b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            data = b"HTTP/1.1 200 OK\r\n" + head + data
        if number + 1 < self.plan.events:
            step_s = self.plan.stream_ms / 1000 / self.plan.events
            self.timer = asyncio.get_running_loop().call_later(step_s, self._send_event, number + 1)
        else:
            usage = b'{"prompt_tokens":9,"completion_tokens":%d}' % self.plan.events
            data += chunk(b'data: {"choices":[],"usage":%s}\n\n' % usage)
            data += chunk(b"data: [DONE]\n\n: X-Load-Report: " + LOAD_REPORT + b"\n\n") + b"0\r\n\r\n"
            self._done()
            self.audit.answers += 1
        self.transport.write(data)

    def _done(self) -> None:
        self.timer = None
        self.audit.out.discard(self.name)

    def connection_lost(self, _: Exception | None) -> None:
        """Called by asyncio: work stops when its request is cancelled."""
        if self.timer is not None:
            self.timer.cancel()
            self._done()
            self.audit.cut += not self.prefills
