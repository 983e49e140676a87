"""One begun stream, passed on event by event to its last chunk."""

from __future__ import annotations

import math
import time
from dataclasses import dataclass, field

import anyio
import h11

from ringledge.core.conductor import Conductor
from ringledge.core.records import Attempt
from ringledge.wire.http.connection import Connection
from ringledge.wire.servers.event_buffer import EventBuffer
from ringledge.wire.servers.responses import MAX_CHUNK

STREAM_SILENCE_S = 3.0  # a begun stream without a further whole chunk for so long is broken off: it vanished
TAIL = 2048  # bytes at a stream's end in which usage and the load report stand


@dataclass(slots=True)
class Live:
    """An attempt under way."""

    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    conn: Connection | None = None
    written_ms: float = math.inf  # when its request was written whole
    silent_at: float = math.inf  # when a begun stream counts as silent, unless a whole chunk comes before
    passing_on: bool = False  # it waits for its client: the server's silence is ours


@dataclass(slots=True)
class StreamRelay:
    """Passes a stream on to the attempt's client."""

    conductor: Conductor
    attempt: Attempt
    live: Live
    conn: Connection
    chunked: bool
    _events: EventBuffer = field(default_factory=EventBuffer)
    _in_chunk: int = 0  # bytes of the chunk that is being read

    async def run(self, opening: bytes) -> bytes:
        """Pass on the opening and all that follows; the stream's last bytes. Errors are h11's."""
        await self._pass_on(opening)
        self._heard()
        try:
            return await self._follow(opening)
        except h11.RemoteProtocolError:
            await self._pass_on(self._events.whole(time.monotonic()))  # what came before the fault is good
            raise

    async def _follow(self, tail: bytes) -> bytes:
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                tail = (tail + self._take(event))[-TAIL:]
            elif isinstance(event, h11.EndOfMessage):
                await self._pass_on(self._events.rest())
                return tail
            else:
                raise h11.RemoteProtocolError("the stream ended early")

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        """The next thing that the server says; before it is awaited, whole events are passed on."""
        while (event := self.conn.event_now()) is None:
            await self._pass_on(self._events.whole(time.monotonic()))
            if not len(self._events):
                return await self.conn.next_event()
            with anyio.move_on_after(max(0.0, self._events.due_s - time.monotonic())):
                return await self.conn.next_event()
        return event

    def _take(self, event: h11.Data) -> bytes:
        """Keep a piece of the stream until its event is whole."""
        piece = bytes(event.data)
        self._in_chunk = len(piece) + (0 if event.chunk_start else self._in_chunk)
        if self._in_chunk > MAX_CHUNK:
            raise h11.RemoteProtocolError("a chunk is too long for events")
        self._events.feed(piece, time.monotonic())
        if event.chunk_end or not self.chunked:
            self._heard()
        return piece

    def _heard(self) -> None:
        """A whole chunk has come: the stream is alive."""
        self.live.silent_at = time.monotonic() + STREAM_SILENCE_S

    async def _pass_on(self, data: bytes) -> None:
        """Hand a part of the stream to the client's side; while it takes none, nobody else is silent."""
        if data:
            self.live.passing_on = True
            await self.conductor.relay_chunk(self.attempt, data)
            self.live.passing_on = False
