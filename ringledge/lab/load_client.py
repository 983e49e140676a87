"""A client connection of the load generator."""

from __future__ import annotations

import asyncio
from time import monotonic
from typing import Protocol

import httptools

from ringledge.lab.load_plan import Arrival


class ClientListener(Protocol):
    """The load generator, which a connection notifies of the events of its requests."""

    def on_finished(self, arrival: Arrival, outcome: str, first_token_s: float) -> None:
        """A request has ended; `first_token_s`: monotonic time of its first token, 0 if there was none."""

    def send(self, arrival: Arrival, on_new_connection: bool = False) -> None:
        """Send a request, on a new connection if `on_new_connection`."""

    def on_idle(self, client: ClientConnection) -> None:
        """The connection is idle and may carry another request."""

    def on_connection_lost(self, client: ClientConnection) -> None:
        """The connection is closed."""


class ClientConnection(asyncio.Protocol):
    """A persistent client connection, which carries one request at a time."""

    def __init__(self, listener: ClientListener) -> None:
        self.listener = listener
        self.parser = httptools.HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.arrival: Arrival | None = None
        self.first_token_s = 0.0
        self.closes_after_response = False  # whether the response has `Connection: close`
        self.is_unused = True  # whether no response has been received yet
        self.deadline: asyncio.TimerHandle | None = None
        self.unsent_data = b""  # the request, until the connection is established

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.unsent_data:
            transport.write(self.unsent_data)
            self.unsent_data = b""

    def send(self, arrival: Arrival, data: bytes, remaining_s: float) -> None:
        """Send a request, which is abandoned if it has no first token after `remaining_s`."""
        self.arrival = arrival
        self.first_token_s = 0.0
        self.closes_after_response = False
        self.deadline = asyncio.get_running_loop().call_later(remaining_s, self.time_out)
        if self.transport is None:
            self.unsent_data = data
        else:
            self.transport.write(data)

    def time_out(self) -> None:
        """Abandon the request at its deadline unless its first token has been received."""
        if not self.first_token_s:
            self.finish("no answer" if self.transport else "not connected")
            if self.transport is not None:
                self.transport.abort()

    def finish(self, outcome: str) -> None:
        """End the current request, if there is one, with an outcome."""
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
            # The server closed the idle connection while the request was on its way, so it is sent again.
            if self.deadline is not None:
                self.deadline.cancel()
            self.arrival = None
            self.listener.send(arrival, on_new_connection=True)
        self.finish("broken" if self.first_token_s else "closed")
        self.listener.on_connection_lost(self)
