"""A connection of the load's clients."""

from __future__ import annotations

import asyncio
from time import monotonic
from typing import Protocol

import httptools

from ringledge.lab.load_plan import Arrival


class Load(Protocol):
    """The run that a connection belongs to."""

    def end(self, arrival: Arrival, how: str, first_s: float) -> None:
        """A request has ended; `first_s`: when its first token came, 0 for never."""

    def send(self, arrival: Arrival, new: bool = False) -> None:
        """Send a request, on a new connection if `new`."""

    def keep(self, client: Client) -> None:
        """The connection is idle and may carry another request."""

    def forget(self, client: Client) -> None:
        """The connection is lost."""


class Client(asyncio.Protocol):
    """One connection of the load's clients; it carries one request at a time and is kept between them."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.arrival: Arrival | None = None
        self.first_s = 0.0
        self.last = False  # the answer said that its connection ends
        self.fresh = True
        self.deadline: asyncio.TimerHandle | None = None
        self.waiting = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.waiting:
            transport.write(self.waiting)
            self.waiting = b""

    def send(self, arrival: Arrival, data: bytes, remaining_s: float) -> None:
        """Begin a request; it is given up after `remaining_s` without a first token."""
        self.arrival, self.first_s, self.last = arrival, 0.0, False
        self.deadline = asyncio.get_running_loop().call_later(remaining_s, self.give_up)
        if self.transport is None:
            self.waiting = data
        else:
            self.transport.write(data)

    def give_up(self) -> None:
        """No first token in time."""
        if not self.first_s:
            self.end("no answer" if self.transport else "not connected")
            if self.transport is not None:
                self.transport.abort()

    def end(self, how: str) -> None:
        """Record how the request ended."""
        if self.arrival is not None:
            arrival, self.arrival = self.arrival, None
            if self.deadline is not None:
                self.deadline.cancel()
            self.load.end(arrival, how, self.first_s)

    def data_received(self, data: bytes) -> None:
        """Called by asyncio."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.end("garbled")
            if self.transport is not None:
                self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        self.last = self.last or (name.lower() == b"connection" and value.lower() == b"close")

    def on_body(self, _: bytes) -> None:
        """Called by the parser."""
        self.first_s = self.first_s or monotonic()

    def on_message_complete(self) -> None:
        """Called by the parser."""
        status = self.parser.get_status_code()
        self.end("served" if status == 200 else str(status))
        self.fresh = False
        if not self.last and self.transport is not None:
            self.load.keep(self)

    def connection_lost(self, _: Exception | None) -> None:
        """Called by asyncio."""
        arrival, self.transport = self.arrival, None
        if arrival is not None and not self.first_s and not self.fresh:
            # Closed between requests: the closing crossed this one, which may go out once more.
            if self.deadline is not None:
                self.deadline.cancel()
            self.arrival = None
            self.load.send(arrival, new=True)
        self.end("broken" if self.first_s else "closed")
        self.load.forget(self)
