"""The network paths to all servers of a soak, in one process: python -m benchmarks.soak.proxy FILE LOG.

The proxy passes bytes on, except for its faults: silence (connections stay open and carry nothing), resets
and small pieces. It also records when routers sent requests and cancelled attempts, and what came back.
"""

from __future__ import annotations

import asyncio
import random
import socket
import struct
import sys
import time
from collections import deque
from contextlib import suppress
from itertools import count
from pathlib import Path
from typing import Any

import httptools
import orjson

from benchmarks.soak.events import EventLog
from benchmarks.soak.paths import ServerPath, make_paths

LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER with a time of 0: closing resets the connection
LINK_NUMBERS = count()  # numbers of links, unique in a run
SLOW_READ_BUFFER_BYTES = 4096  # of the kernel, for a connection that is read slowly
SLOW_READ_PAUSE_S = 0.015  # between two reads of such a connection; delays the notice of its close
PIECE_BYTES = 40  # largest piece while data is split
RESET_FRACTION = 0.6  # share of the responses that are replaced by a reset during path_breaks
HEAL_RESET_FRACTION = 0.5  # share of the connections with pending data that are reset after a silence


class Link:
    """One connection of a router to the proxy, with the proxy's connection to the server."""

    def __init__(self, path: ServerPath, log: EventLog, rng: random.Random) -> None:
        self.path, self.log, self.rng = path, log, rng
        self.sides = (Side(self, 0), Side(self, 1))  # the router's side and the server's side
        self.request, self.answer = httptools.HttpRequestParser(self), httptools.HttpResponseParser(self)
        self.id, self.first_s, self.awaiting_answer, self.held = "", 0.0, False, False
        self.opened_s, self.number = time.monotonic(), next(LINK_NUMBERS)
        path.links.add(self)

    # Both parsers call these methods; `parsing_answer` tells which of them does.

    parsing_answer = False

    def on_message_begin(self) -> None:
        """Called by either parser."""
        if not self.parsing_answer:
            self.id, self.first_s = "", time.monotonic()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by either parser."""
        if not self.parsing_answer and name.lower() == b"x-call-id":
            self.id = value.decode()

    def on_message_complete(self) -> None:
        """Called by either parser."""
        if self.parsing_answer:
            if self.answer.get_status_code() >= 200 and self.awaiting_answer:
                self.awaiting_answer = False
                self._log_event("answered", status=self.answer.get_status_code())
        elif self.id:
            self.awaiting_answer = True
            self._log_event("sent", first_s=self.first_s)

    def _log_event(self, event: str, **fields: Any) -> None:
        self.log.write(event, id=self.id, server=self.path.server, link=self.number, **fields)

    def parse(self, side: Side, data: bytes) -> None:
        """Parse data that passes through; data that is not HTTP is ignored here and still passed on."""
        self.parsing_answer = side is self.sides[1]
        with suppress(httptools.HttpParserError):
            (self.answer if self.parsing_answer else self.request).feed_data(data)

    def side_closed(self, side: Side) -> None:
        """Record the end of an attempt whose connection was closed on one side."""
        if self.awaiting_answer:
            self.awaiting_answer = False
            self._log_event("closed" if side is self.sides[0] else "broke")
        self.path.links.discard(self)

    def forgotten(self) -> bool:
        """Whether the network has forgotten the connection, so that it carries nothing more."""
        now_s = time.monotonic()
        return any(self.opened_s < at_s <= now_s for at_s in self.path.forgotten_at)

    def reset(self) -> None:
        """Reset the connections of both sides."""
        for side in self.sides:
            side.reset()


class Side(asyncio.Protocol):
    """One side of a link: 0 is the router's, 1 the server's."""

    def __init__(self, link: Link, number: int) -> None:
        self.link, self.number = link, number
        self.transport: asyncio.Transport | None = None
        self.pending: deque[bytes] = deque()  # data to be written to the other side
        self.lost = False
        self.pump_task: asyncio.Task[None] | None = None

    @property
    def other(self) -> Side:
        """The opposite side of the link."""
        return self.link.sides[1 - self.number]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if not self.number:
            asyncio.get_running_loop().create_task(self._connect())
            return
        port = transport.get_extra_info("sockname")[1]
        link = self.link
        link.log.write("linked", server=link.path.server, port=port, link=link.number)
        if self.other.pending:
            self.other.pump()

    async def _connect(self) -> None:
        path, loop = self.link.path, asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: self.other, *path.address)
        except OSError:
            self.link.reset()

    def data_received(self, data: bytes) -> None:
        """Called by asyncio."""
        if not self.number:
            self.link.parse(self, data)
            if self.link.path.reads_slowly():
                self._pause_reading()
        self.pending.append(data)
        self.pump()

    def _pause_reading(self) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READ_BUFFER_BYTES)
        transport.pause_reading()
        asyncio.get_running_loop().call_later(SLOW_READ_PAUSE_S, self._resume_reading, transport)

    @staticmethod
    def _resume_reading(transport: asyncio.Transport) -> None:
        if not transport.is_closing():
            transport.resume_reading()

    # A connection that the network has forgotten accepts data and passes nothing on, not even its close.

    def pump(self) -> None:
        """Start to pass on pending data, unless that is in progress."""
        if self.pump_task is None and self.other.transport is not None and not self.link.forgotten():
            self.pump_task = asyncio.get_running_loop().create_task(self._pump())

    async def _pump(self) -> None:
        path = self.link.path
        while self.pending:
            while (until_s := path.silent_until()) > 0.0:
                await asyncio.sleep(max(0.0, until_s - time.monotonic()) + 0.001)
                if self.link.rng.random() < HEAL_RESET_FRACTION:
                    self.link.reset()
                    return
            data = self.pending.popleft()
            if path.splits_writes():
                self.pending.extendleft([data[PIECE_BYTES:]] if len(data) > PIECE_BYTES else [])
                data = data[:PIECE_BYTES]
                await asyncio.sleep(0.002)
            if self.number:
                if (
                    path.resets_responses()
                    and self.link.awaiting_answer
                    and self.link.rng.random() < RESET_FRACTION
                ):
                    self.link.reset()
                    return
                self.link.parse(self, data)
            transport = self.other.transport
            if transport is None or transport.is_closing():
                break
            transport.write(data)
        self.pump_task = None
        if self.lost and self.other.transport is not None:
            self.other.transport.close()

    def connection_lost(self, _: Exception | None) -> None:
        """Called by asyncio."""
        self.lost = True
        self.link.side_closed(self)
        if self.pump_task is not None or self.other.transport is None or self.link.forgotten():
            return
        if self.link.path.silent_until():
            self.pending.append(b"")  # passes on the close when the silence is over
            self.pump()
        else:
            self.other.transport.close()

    def reset(self) -> None:
        """Close this side's connection with a reset."""
        if self.transport is not None and not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            self.transport.abort()


async def _reset_at(path: ServerPath, at_s: float) -> None:
    await asyncio.sleep(max(0.0, at_s - time.monotonic()))
    for link in list(path.links):
        link.reset()


async def run(scenario: dict[str, Any], log: EventLog) -> None:
    """Serve all paths until killed."""
    rng = random.Random(scenario["plan"]["seed"])
    paths, loop = make_paths(scenario), asyncio.get_running_loop()
    tasks = [loop.create_task(_reset_at(path, at_s)) for path in paths.values() for at_s in path.reset_at]
    for server, path in paths.items():

        def make_side(path: ServerPath = path) -> Side:
            return Link(path, log, rng).sides[0]

        await loop.create_server(make_side, scenario["host"], scenario["ports"][server], backlog=256)
    await asyncio.gather(*tasks)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(run(orjson.loads(Path(sys.argv[1]).read_bytes()), EventLog(Path(sys.argv[2]), "proxy")))
