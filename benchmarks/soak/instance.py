"""Stand-in servers of a soak, one or a host of many: python -m benchmarks.soak.instance NAME LOG FAULTS."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

import orjson

from benchmarks.soak.events import EventLog
from benchmarks.soak.hosted import SERVER_KINDS, host_of
from benchmarks.soak.streams import Stream, draw_stream
from ringledge.lab.http_peer import HttpConnection, response

REJECTED = b"X-Rejected: 1\r\n"
# Shares of the attempts that get 503, 410 (the KV cache entry is lost) and 500.
BUSY_FRACTION, LOST_FRACTION, ERROR_FRACTION = 0.02, 0.02, 0.01
ENTRY_WAIT_RANGE_S = (0.3, 1.8)  # range of the time that a decode waits for its KV cache entry
# Shares of the decodes that get 503 and 500 after they have waited.
WAIT_REJECTED_FRACTION, WAIT_ERROR_FRACTION = 0.3, 0.1
UNSEEN_PREFILL_FRACTION = 0.5  # share of prefills that complete after the router closed the connection


@dataclass(slots=True)
class ServedServer:
    """One server of this process."""

    name: str
    kind: str
    port: int
    rng: random.Random
    entry_wait_windows: list[tuple[float, float]]  # periods in which decodes wait for their KV cache entry


class StandInServer(HttpConnection):
    """One connection to the stand-in."""

    def __init__(self, server: ServedServer, log: EventLog) -> None:
        super().__init__()
        self.server, self.log, self.kind, self.rng = server, log, server.kind, server.rng
        self.request_id, self.prefilling = "", False
        self.timer: asyncio.TimerHandle | None = None
        self.stream: Stream = iter(())  # the pieces that have not been written yet

    def handle(self, method: bytes, target: bytes) -> None:
        """Handle a request or the release of a KV cache entry."""
        if target.startswith(b"/internal/reservations/"):
            self._log("released", id=target.rpartition(b"/")[2].decode())
            self.transport.write(response(204))
        elif b"x-call-id" in self.headers:
            self._accept(self.headers[b"x-call-id"].decode())
        else:
            self.transport.write(response(404))

    def _accept(self, request_id: str) -> None:
        """Handle a complete request: reject it, prefill it, let it wait for its entry, or run it."""
        self.request_id, chance = request_id, self.rng.random()
        told_ms = int(self.headers.get(b"x-budget-ms", b"0"))
        port = self.transport.get_extra_info("peername")[1]
        self._log("arrived", id=request_id, kind=self.kind, told_ms=told_ms, port=port)
        if chance < BUSY_FRACTION:
            self.transport.write(response(503, b"", REJECTED))
        elif self.kind == "prefill":
            self.prefilling = True
            self._after_work(self._finish_prefill)
        elif chance < BUSY_FRACTION + LOST_FRACTION:
            self._log("state_gone", id=request_id)
            self.transport.write(response(410, b"", REJECTED))
        elif any(from_s <= time.monotonic() < until_s for from_s, until_s in self.server.entry_wait_windows):
            wait_s = self.rng.uniform(*ENTRY_WAIT_RANGE_S)
            self.timer = asyncio.get_running_loop().call_later(
                wait_s, self._finish_entry_wait, self.rng.random()
            )
        else:
            self._run(chance < BUSY_FRACTION + LOST_FRACTION + ERROR_FRACTION)

    def _finish_entry_wait(self, chance: float) -> None:
        """Reject or run a decode that has waited; its entry has not been fetched yet."""
        self.timer = None
        if chance < WAIT_REJECTED_FRACTION:
            self.transport.write(response(503, b"", REJECTED))
        else:
            self._run(chance < WAIT_REJECTED_FRACTION + WAIT_ERROR_FRACTION)

    def _run(self, fails: bool) -> None:
        """Run the request: from here on it has taken effect."""
        self._log("ran", id=self.request_id)
        if fails:
            self.transport.write(response(500))
        else:
            self.stream = draw_stream(self.rng)
            self._after_work(self._write_stream)

    def _after_work(self, call: Callable[[], None]) -> None:
        """Call it after a random time of work."""
        self.timer = asyncio.get_running_loop().call_later(self.rng.uniform(0.01, 0.08), call)

    def _finish_prefill(self) -> None:
        self.timer, self.prefilling = None, False
        self._log("prefilled", id=self.request_id)
        self.transport.write(response(202, b'{"cached_tokens":0}'))

    def _write_stream(self) -> None:
        """Write the next piece of the stream, and those behind it when they are due."""
        self.timer = None
        piece = next(self.stream)
        if piece.event:
            self._log(piece.event, id=self.request_id)
        self.transport.write(piece.data)
        if not piece.is_last:
            self.timer = asyncio.get_running_loop().call_later(piece.pause_s, self._write_stream)

    def connection_lost(self, _: Exception | None) -> None:
        """Called by asyncio: work stops, except that a prefill may complete without an answer."""
        if self.timer is not None:
            self.timer.cancel()
            if self.prefilling and self.rng.random() < UNSEEN_PREFILL_FRACTION:
                self._log("prefilled", id=self.request_id, unseen=True)

    def _log(self, event: str, **fields: Any) -> None:
        self.log.write(event, source=self.server.name, **fields)


def read_servers(scenario: dict[str, Any], process: str) -> list[ServedServer]:
    """The servers of this process, from the scenario: the one that it is named after, or those of a host."""
    ports: dict[str, int] = scenario["server_ports"]
    names = [name for name in ports if process in (name, host_of(name))]
    start_s = scenario["start_s"]
    windows = [
        (start_s + each["at_s"], start_s + each["until_s"])
        for each in scenario["plan"]["troubles"]
        if each["kind"] == "server_queue" and each["target"] == process
    ]
    rngs = {name: random.Random(int(f"{scenario['plan']['seed']}{name[1:]}")) for name in names}
    return [ServedServer(name, SERVER_KINDS[name[0]], ports[name], rngs[name], windows) for name in names]


async def serve(servers: list[ServedServer], host: str, log: EventLog) -> None:
    """Serve until killed."""
    loop = asyncio.get_running_loop()
    for server in servers:
        connection = partial(StandInServer, server, log)
        await loop.create_server(connection, host, server.port, reuse_address=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    process_, log_, faults_ = sys.argv[1:]
    scenario_ = orjson.loads(Path(faults_).read_bytes())
    servers_ = read_servers(scenario_, process_)
    asyncio.run(serve(servers_, scenario_["host"], EventLog(Path(log_), process_)))
