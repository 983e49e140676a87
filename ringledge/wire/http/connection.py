"""HTTP/1.1 on one plain socket: h11 parses, the socket is awaited through anyio."""

from __future__ import annotations

import math
import socket
from typing import TYPE_CHECKING

import anyio
import h11

from ringledge.wire.http.body_memory import BodyMemory
from ringledge.wire.http.errors import HttpError
from ringledge.wire.http.headers import Headers, with_connection_close, with_keep_alive
from ringledge.wire.http.socket_reader import READ_AHEAD_BYTES, SocketReader

if TYPE_CHECKING:
    from ringledge.decide.connections.admission import AdmittedConnection

MAX_HEAD_BYTES = 32 * 1024  # bytes of a head that h11 may collect
READ_AHEAD_DIVISOR = 8  # of the memory for bodies that is free: what one peer may send ahead, at most
WRITE_STALL_TIMEOUT_S = 20.0  # a peer that takes nothing for so long has gone


class Connection(SocketReader):
    """One socket, its buffer and its h11 state."""

    def __init__(self, sock: socket.socket, our_role: type[h11.CLIENT] | type[h11.SERVER]) -> None:
        super().__init__(sock)
        self.h11 = h11.Connection(our_role, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.read_deadline_s = math.inf  # when what it is sending now must have come
        self.idle_since = 0.0  # the pool's note
        self.reused = False  # the pool's: it has carried a request before, or was idle
        self.streamed = False  # the pool's: its last answer was a stream
        self.admission_record: AdmittedConnection | None = None  # the front's: what the doors said of it
        self.keep_alive = b""  # the front's: what answers tell of how long it may rest
        self.had_request = False  # the front's: it has brought a request
        self.admitted = False  # the front's: the gate has let in the request that is read now
        self.closes_after_answer = False  # the front's: it ends with its next answer, and the answer says so
        self.paused = False  # the front's: nothing is read from it for a while
        self.body_memory: BodyMemory | None = None  # the front's: what bodies may take of the memory
        self._reserved_bytes = 0
        self._write_blocked = False  # somebody waits until the peer takes more

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        """The next thing that the peer says; ConnectionClosed and protocol errors are h11's."""
        while True:
            event = self.h11.next_event()
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            if self.h11.they_are_waiting_for_100_continue:
                await self.send(h11.InformationalResponse(status_code=100, headers=[]))
            if len(self.buffer) or await self.fill():
                self.h11.receive_data(self.buffer.take())
            else:
                self.eof_received = True
                self.h11.receive_data(b"")

    def next_event_nowait(self) -> h11.Event | type[h11.PAUSED] | None:
        """The next thing that the peer has said already, if its end has come: no scope, no wait."""
        event = self.h11.next_event()
        if event is h11.NEED_DATA and len(self.buffer):
            self.h11.receive_data(self.buffer.take())
            event = self.h11.next_event()
        return None if event is h11.NEED_DATA else event  # type: ignore[return-value]

    def has_unparsed_bytes(self) -> bool:
        """Whether bytes have been read that belong to no message yet."""
        return len(self.buffer) > 0 or len(self.h11.trailing_data[0]) > 0

    def waited_ms(self) -> float:
        """How long ago the last byte of the message that was read last came."""
        pending = len(self.buffer) + len(self.h11.trailing_data[0])
        came_s = None if self.arrival_times is None else self.arrival_times.last_byte_s(pending)
        return 0.0 if came_s is None else max(0.0, (self._loop.time() - came_s) * 1000)

    def end_idle_wait(self) -> None:
        """Have whoever waits on a connection without anything begun put it to rest."""
        if self._waiter is not None and not self._waiter.done() and not self.has_unparsed_bytes():
            self._idle_wait_ended = True
            self._waiter.set_result(None)

    async def send(self, *events: h11.Event) -> None:
        """Say something, to its last byte."""
        await self.write(self.encode(*events))

    def encode(self, *events: h11.Event) -> bytes:
        """The bytes of what is to be said."""
        if self.closes_after_answer:
            events = tuple(map(with_connection_close, events))
        elif self.keep_alive:
            events = tuple(with_keep_alive(event, self.keep_alive) for event in events)
        return b"".join([self.h11.send(event) or b"" for event in events])

    def write_nowait(self, data: bytes) -> int:
        """Write what the system takes at once; how much that was."""
        try:
            return self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0

    async def send_request(self, *events: h11.Event) -> None:
        """Say something to a peer that has no reason to speak; OSError where it does before the last byte.

        What comes then answers something else, and would be taken for the answer to this.
        """
        await self.write(self.encode(*events), unanswered=True)

    async def write(self, data: bytes, unanswered: bool = False) -> None:
        """Write all of it; returns only when the system has taken the last byte."""
        view = memoryview(data)
        while view:
            if unanswered and self.readable():
                raise ConnectionResetError("the peer spoke before the request was whole")
            try:
                view = view[self.sock.send(view) :]
            except (BlockingIOError, InterruptedError):
                self._write_blocked = True
                with anyio.fail_after(WRITE_STALL_TIMEOUT_S):
                    await anyio.wait_writable(self.sock)
                self._write_blocked = False

    def max_read_ahead(self) -> int:
        """How many bytes may be read that nobody waits for: not more than a part of what is free."""
        most = super().max_read_ahead()
        if self.body_memory is None:
            return most
        return max(
            READ_AHEAD_BYTES,
            min(most, int((self.body_memory.limit_bytes - self.body_memory.used_bytes) / READ_AHEAD_DIVISOR)),
        )

    def reserve_body_memory(self, size: int) -> None:
        """Count more of a body against the budget; HttpError where it is used up."""
        if self.body_memory is not None:
            self._reserved_bytes += size
            self.body_memory.used_bytes += size
            if self.body_memory.used_bytes > self.body_memory.limit_bytes:
                after: Headers = [(b"Retry-After", b"1")]
                raise HttpError(503, "no memory for one more request", "overloaded", headers=after)

    def release_body_memory(self) -> None:
        """Its request is over: what it held is free."""
        if self.body_memory is not None:
            self.body_memory.used_bytes -= self._reserved_bytes
            self._reserved_bytes = 0

    def next_cycle(self) -> bool:
        """Make ready for another exchange, where both sides are through with this one."""
        if self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE:
            self.h11.start_next_cycle()
            return True
        return False

    def close(self) -> None:
        """Close the socket now."""
        if not self.closed:
            self.detach().close()

    def detach(self) -> socket.socket:
        """Give the socket out, still open; to whoever waits here it is closed."""
        self.closed = True
        self.pause_reading()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        if self._write_blocked:
            anyio.notify_closing(self.sock)
        return self.sock
