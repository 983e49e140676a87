"""A connection of the load's clients."""

from __future__ import annotations

import asyncio
from time import monotonic
from typing import Protocol

import httptools

from ringledge.lab.load_plan import Arrival


class ClientListener(Protocol):
    """What a connection notifies of its requests: the load generator that it belongs to."""

    def on_finished(self, arrival: Arrival, outcome: str, first_token_s: float) -> None:
        """A request has ended; `first_token_s`: when its first token came, 0 for never."""

    def send(self, arrival: Arrival, on_new_connection: bool = False) -> None:
        """Send a request, on a new connection if `on_new_connection`."""

    def on_idle(self, client: ClientConnection) -> None:
        """The connection is idle and may carry another request."""

    def on_connection_lost(self, client: ClientConnection) -> None:
        """The connection is closed."""


class ClientConnection(asyncio.Protocol):
    """One persistent connection of the load's clients; it carries one request at a time."""

    def __init__(self, listener: ClientListener) -> None:
        self.listener = listener
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.arrival: Arrival | None = None
        self.first_token_s = 0.0
        self.closes_after_response = False  # the response has `Connection: close`
        self.is_unused = True  # no response has been received yet
        self.deadline: asyncio.TimerHandle | None = None
        self.unsent = b""  # the request, until the connection is established

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.unsent:
            transport.write(self.unsent)
            self.unsent = b""

    def send(self, arrival: Arrival, data: bytes, remaining_s: float) -> None:
        """Send a request; it is abandoned after `remaining_s` without a first token."""
        self.arrival = arrival
        self.first_token_s = 0.0
        self.closes_after_response = False
        self.deadline = asyncio.get_running_loop().call_later(remaining_s, self.time_out)
        if self.transport is None:
            self.unsent = data
        else:
            self.transport.write(data)

    def time_out(self) -> None:
        """The deadline has passed: abandon the request unless its first token came."""
        if not self.first_token_s:
            self.finish("no answer" if self.transport else "not connected")
            if self.transport is not None:
                self.transport.abort()

    def finish(self, outcome: str) -> None:
        """The request, if there is one, has ended."""
        if self.arrival is not None:
            arrival = self.arrival
            self.arrival = None
            if self.deadline is not None:
                self.deadline.cancel()
            self.listener.on_finished(arrival, outcome, self.first_token_s)

    def data_received(self, data: bytes) -> None:
        """Called by asyncio."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.finish("garbled")
            if self.transport is not None:
                self.transport.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        is_close = name.lower() == b"connection" and value.lower() == b"close"
        self.closes_after_response = self.closes_after_response or is_close

    def on_body(self, _: bytes) -> None:
        """Called by the parser."""
        self.first_token_s = self.first_token_s or monotonic()

    def on_message_complete(self) -> None:
        """Called by the parser."""
        status = self.parser.get_status_code()
        self.finish("served" if status == 200 else str(status))
        self.is_unused = False
        if not self.closes_after_response and self.transport is not None:
            self.listener.on_idle(self)

    def connection_lost(self, _: Exception | None) -> None:
        """Called by asyncio."""
        arrival = self.arrival
        self.transport = None
        if arrival is not None and not self.first_token_s and not self.is_unused:
            # The server closed the idle connection while this request was on its way: it may be retried.
            if self.deadline is not None:
                self.deadline.cancel()
            self.arrival = None
            self.listener.send(arrival, on_new_connection=True)
        self.finish("broken" if self.first_token_s else "closed")
        self.listener.on_connection_lost(self)
