"""Relays one stream event by event, up to its last chunk."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

import anyio
import h11

from ringledge.core.conductor import Conductor
from ringledge.core.records import Attempt
from ringledge.wire.http.connection import Connection
from ringledge.wire.servers.event_buffer import EventBuffer
from ringledge.wire.servers.event_progress import EventProgress
from ringledge.wire.servers.in_flight import InFlightAttempt
from ringledge.wire.servers.responses import MAX_EVENT_BYTES

# A server that completes no event for this long is down, and its stream is cut off: the client may be left
# waiting for 5 s after the last event, and the timeout is checked at an interval by a process that may stall.
EVENT_TIMEOUT_S = 4.5
TAIL_BYTES = 2048  # kept from the end of a stream, where usage and load report are


@dataclass(slots=True)
class StreamRelay:
    """Relays a stream to the attempt's client."""

    conductor: Conductor
    attempt: Attempt
    state: InFlightAttempt
    conn: Connection
    progress: EventProgress  # up to the end of the opening
    _events: EventBuffer = field(default_factory=EventBuffer)

    async def run(self, opening: bytes) -> bytes:
        """Relay the opening and the rest of the stream, and return its last bytes; raises h11's errors."""
        self._events.feed(opening, time.monotonic())
        self._extend_event_deadline()
        await self._relay(self._events.take_complete(time.monotonic()))
        try:
            return await self._relay_rest(opening)
        except h11.RemoteProtocolError:
            # Events that were completed before the error are relayed all the same.
            await self._relay(self._events.take_complete(time.monotonic()))
            raise

    async def _relay_rest(self, tail: bytes) -> bytes:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                tail = (tail + self._buffer(event))[-TAIL_BYTES:]
            elif isinstance(event, h11.EndOfMessage):
                if not self.progress.is_complete:
                    raise h11.RemoteProtocolError("the stream ended before its final event")
                await self._relay(self._events.take_all())
                return tail
            else:
                raise h11.RemoteProtocolError("the stream ended early")

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        """Wait for the server's next h11 event; complete stream events are relayed meanwhile."""
        while (event := self.conn.next_event_nowait()) is None:
            await self._relay(self._events.take_complete(time.monotonic()))
            if not len(self._events):
                return await self.conn.next_event()
            with anyio.move_on_after(max(0.0, self._events.deadline_s - time.monotonic())):
                return await self.conn.next_event()
        return event

    def _buffer(self, event: h11.Data) -> bytes:
        """Buffer a piece of the stream until its event is complete; returns the piece as bytes."""
        piece = bytes(event.data)
        if self.progress.feed(piece):
            self._extend_event_deadline()
        if self.progress.incomplete_bytes > MAX_EVENT_BYTES:
            raise h11.RemoteProtocolError("an event exceeds the size limit")
        self._events.feed(piece, time.monotonic())
        return piece

    def _extend_event_deadline(self) -> None:
        """Restart the timeout of the next event."""
        self.state.last_event_s = time.monotonic()
        self.state.event_deadline_s = self.state.last_event_s + EVENT_TIMEOUT_S

    async def _relay(self, data: bytes) -> None:
        """Pass data to the client side; a wait for a slow client does not count against the server."""
        if data:
            started_s = time.monotonic()
            self.state.relaying = True
            await self.conductor.relay_chunk(self.attempt, data)
            self.state.relaying = False
            # Nothing was read from the server during the wait.
            self.state.event_deadline_s += time.monotonic() - started_s
