"""Stand-in prefill and decode servers, which implement the server side of the platform's protocol."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import orjson

from ringledge.lab.audit import Audit
from ringledge.lab.http_peer import HttpConnection, encode_chunk, response

LOAD_REPORT = b'{"x0":0.25,"x1":1.5}'


@dataclass(slots=True, frozen=True)
class StandInPlan:
    """The number of stand-in servers, and the duration and size of their responses."""

    prefill_servers: int
    decode_servers: int
    prefill_ms: float
    stream_ms: float
    events: int  # per stream
    event_bytes: int

    def as_json(self) -> dict[str, int | float]:
        """The plan for JSON; the keys are part of the lab's interface."""
        return {
            "readers": self.prefill_servers,
            "writers": self.decode_servers,
            "read_ms": self.prefill_ms,
            "stream_ms": self.stream_ms,
            "events": self.events,
            "event_bytes": self.event_bytes,
        }

    @property
    def event_interval_s(self) -> float:
        """The time between two events of a stream."""
        return self.stream_ms / 1000 / self.events


class ServerConnection(HttpConnection):
    """A connection to a prefill or a decode server."""

    def __init__(self, audit: Audit, plan: StandInPlan, is_prefill: bool) -> None:
        super().__init__()
        self.audit, self.plan, self.is_prefill = audit, plan, is_prefill
        self.request_id = ""
        self.timer: asyncio.TimerHandle | None = None

    def handle(self, method: bytes, target: bytes) -> None:
        """Respond to a release, a health check or load query, or an attempt."""
        if target.startswith(b"/internal/reservations/"):
            self.audit.releases += method == b"DELETE"
            self.transport.write(response(204 if method == b"DELETE" else 404))
            return
        if target in (b"/health", b"/status/load"):
            self.transport.write(response(200, LOAD_REPORT))
            return
        self.request_id = self.headers.get(b"x-call-id", b"").decode()
        if not self.request_id:
            self.transport.write(response(404))
            return
        self._start_request()

    def _start_request(self) -> None:
        audit, loop = self.audit, asyncio.get_running_loop()
        audit.concurrent_attempts += self.request_id in audit.in_flight
        audit.in_flight.add(self.request_id)
        if self.is_prefill:
            self.timer = loop.call_later(self.plan.prefill_ms / 1000, self._complete_prefill)
        else:
            audit.decode_starts[self.request_id] += 1
            audit.repeated_decodes += audit.decode_starts[self.request_id] == 2
            self.timer = loop.call_later(self.plan.event_interval_s, self._send_event, 0)

    def _complete_prefill(self) -> None:
        self._finish()
        self.audit.prefills += 1
        load_report = b"X-Load-Report: " + LOAD_REPORT + b"\r\n"
        self.transport.write(response(202, b'{"cached_tokens":0}', load_report))

    def _send_event(self, number: int) -> None:
        choice = {"index": 0, "delta": {"content": "x" * self.plan.event_bytes}, "finish_reason": None}
        data = encode_chunk(b"data: " + orjson.dumps({"choices": [choice]}) + b"\n\n")
        if not number:
            headers = b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            data = b"HTTP/1.1 200 OK\r\n" + headers + data
        if number + 1 < self.plan.events:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(self.plan.event_interval_s, self._send_event, number + 1)
        else:
            usage = b'{"prompt_tokens":9,"completion_tokens":%d}' % self.plan.events
            data += encode_chunk(b'data: {"choices":[],"usage":%s}\n\n' % usage)
            data += encode_chunk(b"data: [DONE]\n\n: X-Load-Report: " + LOAD_REPORT + b"\n\n") + b"0\r\n\r\n"
            self._finish()
            self.audit.completed_streams += 1
        self.transport.write(data)

    def _finish(self) -> None:
        self.timer = None
        self.audit.in_flight.discard(self.request_id)

    def connection_lost(self, _: Exception | None) -> None:
        """Stop working on a request that was cancelled by closing the connection; called by asyncio."""
        if self.timer is not None:
            self.timer.cancel()
            self._finish()
            self.audit.cancelled_streams += not self.is_prefill
