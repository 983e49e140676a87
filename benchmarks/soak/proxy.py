"""The paths to all servers of a soak, one process: python -m benchmarks.soak.proxy FILE LOG.

It passes bytes on, but for its faults: silence (connections stay open and carry nothing), resets, pieces. It
is also the witness of what conductors sent when, of when they gave an attempt up, and of what came back.
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

LINGER_NONE = struct.pack("ii", 1, 0)  # closing with it is a reset
NUMBERS = count()  # of links
PIECE = 40  # bytes of a piece
BREAKS = 0.6  # of the responses in whose place a reset comes, while they break
HEAL_RESETS = 0.5  # of the connections that a silence ends with a reset


class Link:
    """One connection of a conductor, and ours to the server behind it."""

    def __init__(self, path: ServerPath, log: EventLog, rng: random.Random) -> None:
        self.path, self.log, self.rng = path, log, rng
        self.sides = (Side(self, 0), Side(self, 1))  # the conductor's, the server's
        self.request, self.answer = httptools.HttpRequestParser(self), httptools.HttpResponseParser(self)
        self.id, self.first_s, self.open, self.held = "", 0.0, False, False
        self.began_s, self.number = time.monotonic(), next(NUMBERS)
        path.links.add(self)

    # The request's parser calls these; the answer's only `on_message_complete`, told apart by `answering`.

    answering = False

    def on_message_begin(self) -> None:
        """Called by either parser."""
        if not self.answering:
            self.id, self.first_s = "", time.monotonic()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by either parser."""
        if not self.answering and name.lower() == b"x-call-id":
            self.id = value.decode()

    def on_message_complete(self) -> None:
        """Called by either parser."""
        if self.answering:
            if self.answer.get_status_code() >= 200 and self.open:
                self.open = False
                self._tell("answered", status=self.answer.get_status_code())
        elif self.id:
            self.open = True
            self._tell("sent", first_s=self.first_s)

    def _tell(self, event: str, **fields: Any) -> None:
        self.log.write(event, id=self.id, server=self.path.server, link=self.number, **fields)

    def parse(self, side: Side, data: bytes) -> None:
        """Parse what passes; bytes that are no HTTP are passed on unseen."""
        self.answering = side is self.sides[1]
        with suppress(httptools.HttpParserError):
            (self.answer if self.answering else self.request).feed_data(data)

    def ended(self, side: Side) -> None:
        """One side has closed."""
        if self.open:
            self.open = False
            self._tell("closed" if side is self.sides[0] else "broke")
        self.path.links.discard(self)

    def forgotten(self) -> bool:
        """Whether it carries nothing more."""
        now_s = time.monotonic()
        return any(self.began_s < at_s <= now_s for at_s in self.path.forgets)

    def reset(self) -> None:
        """Reset both sides."""
        for side in self.sides:
            side.reset()


class Side(asyncio.Protocol):
    """One side of a link."""

    def __init__(self, link: Link, number: int) -> None:
        self.link, self.number = link, number
        self.transport: asyncio.Transport | None = None
        self.waiting: deque[bytes] = deque()  # what is to be written to the other side
        self.gone = False
        self.pumping: asyncio.Task[None] | None = None

    @property
    def other(self) -> Side:
        """The other side."""
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
        if self.other.waiting:
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
        self.waiting.append(data)
        self.pump()

    # A connection that the network has forgotten takes what is written, and passes nothing on, not its end.

    def pump(self) -> None:
        """Pass on what waits, unless that is under way."""
        if self.pumping is None and self.other.transport is not None and not self.link.forgotten():
            self.pumping = asyncio.get_running_loop().create_task(self._pump())

    async def _pump(self) -> None:
        path = self.link.path
        while self.waiting:
            while (until_s := path.quiet_until()) > 0.0:
                await asyncio.sleep(max(0.0, until_s - time.monotonic()) + 0.001)
                if self.link.rng.random() < HEAL_RESETS:
                    self.link.reset()
                    return
            data = self.waiting.popleft()
            if path.in_pieces():
                self.waiting.extendleft([data[PIECE:]] if len(data) > PIECE else [])
                data = data[:PIECE]
                await asyncio.sleep(0.002)
            if self.number:
                if path.breaks() and self.link.open and self.link.rng.random() < BREAKS:
                    self.link.reset()
                    return
                self.link.parse(self, data)
            transport = self.other.transport
            if transport is None or transport.is_closing():
                break
            transport.write(data)
        self.pumping = None
        if self.gone and self.other.transport is not None:
            self.other.transport.close()

    def connection_lost(self, _: Exception | None) -> None:
        """Called by asyncio."""
        self.gone = True
        self.link.ended(self)
        if self.pumping is not None or self.other.transport is None or self.link.forgotten():
            return
        if self.link.path.quiet_until():
            self.waiting.append(b"")  # the end comes through when the silence is over
            self.pump()
        else:
            self.other.transport.close()

    def reset(self) -> None:
        """End it at once, by a reset."""
        if self.transport is not None and not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
            self.transport.abort()


async def _reset_at(path: ServerPath, at_s: float) -> None:
    await asyncio.sleep(max(0.0, at_s - time.monotonic()))
    for link in list(path.links):
        link.reset()


async def run(told: dict[str, Any], log: EventLog) -> None:
    """Serve all paths until killed."""
    rng = random.Random(told["plan"]["seed"])
    paths, loop = make_paths(told), asyncio.get_running_loop()
    tasks = [loop.create_task(_reset_at(path, at_s)) for path in paths.values() for at_s in path.resets]
    for server, path in paths.items():

        def made(path: ServerPath = path) -> Side:
            return Link(path, log, rng).sides[0]

        await loop.create_server(made, told["host"], told["ports"][server], backlog=256)
    await asyncio.gather(*tasks)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(run(orjson.loads(Path(sys.argv[1]).read_bytes()), EventLog(Path(sys.argv[2]), "proxy")))
