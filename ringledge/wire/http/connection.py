"""HTTP/1.1 on one plain socket: h11 parses, anyio waits for the socket."""

from __future__ import annotations

import math
import socket
from typing import TYPE_CHECKING

import anyio
import anyio.lowlevel
import h11

from ringledge.wire.http.body_memory import ConnectionMemory
from ringledge.wire.http.chunk_sizes import ChunkSizes
from ringledge.wire.http.headers import with_connection_close, with_keep_alive
from ringledge.wire.http.socket_reader import READ_AHEAD_BYTES, SocketReader
from ringledge.wire.http.turn_queue import TurnQueue
from ringledge.wire.http.write_stall import wait_until_writable

if TYPE_CHECKING:
    from ringledge.decide.connections.admission import AdmittedConnection

MAX_HEAD_BYTES = 32 * 1024  # h11's limit for an incomplete message head
# What a connection may parse before other tasks run; a request in the usual form needs less.
MAX_TURN_BYTES = 16 * 1024
MAX_TURN_HEAD_BYTES = 4 * 1024  # the time for parsing a head grows with the number of its headers
MAX_TURN_EVENTS = 64
MAX_COPIED_BODY_BYTES = 16 * 1024  # a longer body is written after its head, without a copy of both


class Connection(SocketReader):
    """One socket, its receive buffer and its h11 state."""

    def __init__(self, sock: socket.socket, our_role: type[h11.CLIENT] | type[h11.SERVER]) -> None:
        super().__init__(sock)
        self.h11 = h11.Connection(our_role, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.read_deadline_s = math.inf  # when the message that the peer is sending must be complete

        self._turn_events = 0  # h11 events that were parsed in the current turn
        self._turn_bytes = 0  # bytes that were passed to h11 in the current turn
        self._pending_bytes = 0  # bytes that were passed to h11 since its last event
        self._chunk_sizes: ChunkSizes | None = (
            None  # of the body that is being read, if its chunks are limited
        )

        # Set by the connection pool, for connections to servers.
        self.idle_since_s = 0.0  # monotonic seconds
        self.reused = False  # it has carried a request before, or was idle
        self.streamed = False  # its last response was a stream

        # Set by the front, for connections from clients.
        self.turns: TurnQueue | None = None  # None: other tasks run between two turns, but without a queue
        self.admission_record: AdmittedConnection | None = None  # None without connection admission
        self.keep_alive = b""  # value of the Keep-Alive header of each response; empty: no such header
        self.had_request = False  # a request was read on it before
        self.admitted = False  # the admission gate has admitted the request that is being read
        self.closes_after_answer = False  # the next response has `Connection: close`
        self.paused = False  # reading is paused after a rejected request
        self.memory = ConnectionMemory()

        self._write_blocked = False  # a task waits until the socket is writable

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        """Wait for the peer's next h11 event; h11 reports the end of the connection and protocol errors."""
        while True:
            event = self.next_event_nowait()
            if event is not None:
                return event
            if len(self.buffer) or self._turn_events >= MAX_TURN_EVENTS:
                await self._wait_for_turn()
                continue
            if self.h11.they_are_waiting_for_100_continue:
                await self.send(h11.InformationalResponse(status_code=100, headers=[]))
            if not await self.fill():
                self.eof_received = True
                self.h11.receive_data(b"")
            if self._pending_bytes < MAX_TURN_HEAD_BYTES:
                self._begin_turn()
            else:
                await self._wait_for_turn()

    def next_event_nowait(self) -> h11.Event | type[h11.PAUSED] | None:
        """The peer's next h11 event if it is complete already and the turn has not used up its limits."""
        if self._turn_events >= MAX_TURN_EVENTS:
            return None
        event = self.h11.next_event()
        while event is h11.NEED_DATA and self._pass_input():
            event = self.h11.next_event()
        if event is h11.NEED_DATA:
            return None
        self._turn_events += 1
        self._pending_bytes = 0
        return event  # type: ignore[return-value]

    def _pass_input(self) -> bool:
        """Pass buffered bytes to h11; return whether there were any and the turn's limits allow it."""
        if self._chunk_sizes is not None:
            self._chunk_sizes.check()
        is_in_body = self.h11.their_state is h11.SEND_BODY
        limit = MAX_TURN_BYTES if is_in_body else MAX_TURN_HEAD_BYTES
        data = self.buffer.take(max(0, limit - self._turn_bytes))
        if not data:
            return False
        self.on_buffer_changed()
        self._turn_bytes += len(data)
        self._pending_bytes += len(data)
        if self._chunk_sizes is not None:
            data = data[: self._chunk_sizes.feed(data)]
        if data:  # h11 takes empty data for the end of the input
            self.h11.receive_data(data)
        return True

    def limit_chunks(self, max_chunk_bytes: int) -> None:
        """Reject longer chunks of the body whose head was read last, by the size that they state.

        `next_event` raises h11.RemoteProtocolError behind the events before such a chunk.
        """
        self._chunk_sizes = ChunkSizes(max_chunk_bytes)
        self._chunk_sizes.feed(self.h11.trailing_data[0])

    async def wait_for_message(self) -> bool:
        """Wait until bytes of the peer's next message can be parsed; False at the end of the input.

        A pipelined message waits for a turn, since its peer could occupy the event loop with further ones.
        """
        if self.has_unparsed_bytes():
            await self._wait_for_turn()
            return True
        has_input = await self.fill() > 0
        self._begin_turn()
        return has_input

    async def _wait_for_turn(self) -> None:
        """Let other tasks run before more of the input that has already been received is parsed.

        Raises ClosedResourceError if the connection is closed meanwhile.
        """
        if self.turns is None:
            await anyio.lowlevel.checkpoint()
        else:
            await self.turns.wait()
        if self.closed:
            raise anyio.ClosedResourceError
        self._begin_turn()

    def _begin_turn(self) -> None:
        self._turn_events = 0
        self._turn_bytes = 0

    def has_unparsed_bytes(self) -> bool:
        """Whether bytes have been read that are not part of a parsed message yet."""
        return len(self.buffer) > 0 or len(self.h11.trailing_data[0]) > 0

    def waited_ms(self) -> float:
        """Time since the last byte of the message read last arrived; 0 if unknown."""
        unparsed_bytes = len(self.buffer) + len(self.h11.trailing_data[0])
        arrival_s = None if self.arrival_times is None else self.arrival_times.last_byte_s(unparsed_bytes)
        return 0.0 if arrival_s is None else max(0.0, (self._loop.time() - arrival_s) * 1000)

    def end_idle_wait(self) -> None:
        """Wake the task that waits for a message, with ConnectionIdleError, unless one has begun."""
        if self._waiter is not None and not self._waiter.done() and not self.has_unparsed_bytes():
            self._idle_wait_ended = True
            self._waiter.set_result(None)

    async def send(self, *events: h11.Event) -> None:
        """Send h11 events; returns when the last byte is written."""
        await self.write(self.encode(*events))

    def encode(self, *events: h11.Event) -> bytes:
        """Encode h11 events, with the headers that describe the connection."""
        if self.closes_after_answer:
            events = tuple(map(with_connection_close, events))
        elif self.keep_alive:
            events = tuple(with_keep_alive(event, self.keep_alive) for event in events)
        parts = [part for event in events if (part := self.h11.send(event))]
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def write_nowait(self, data: bytes) -> int:
        """Write as much as the socket accepts now; returns the number of bytes."""
        try:
            return self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0

    async def send_request(self, head: h11.Request, body: bytes) -> None:
        """Send a request; OSError if the peer sends anything before the last byte is written.

        Such data belongs to another request, but would be taken for the response to this one.
        """
        encoded = [self.encode(head), self.encode(h11.Data(data=body), h11.EndOfMessage())]
        if len(body) <= MAX_COPIED_BODY_BYTES:
            encoded = [b"".join(encoded)]
        for data in encoded:
            await self.write(data, fail_if_readable=True)

    async def write(self, data: bytes, fail_if_readable: bool = False) -> None:
        """Write all data; returns when the kernel has accepted the last byte."""
        view = memoryview(data)
        while view:
            if fail_if_readable and self.readable():
                raise ConnectionResetError("the peer sent data before the request was complete")
            try:
                view = view[self.sock.send(view) :]
            except (BlockingIOError, InterruptedError):
                self._write_blocked = True
                await wait_until_writable(self.sock)
                self._write_blocked = False

    def max_read_ahead(self) -> int:
        """How many bytes may be buffered while no task waits: at most a part of the free memory."""
        return int(max(READ_AHEAD_BYTES, min(super().max_read_ahead(), self.memory.max_read_ahead())))

    def on_buffer_changed(self) -> None:
        """Count the memory of the receive buffer beyond its initial size."""
        self.memory.set_read_ahead(self.buffer.grown_bytes)

    def next_cycle(self) -> bool:
        """Start another exchange if both sides have completed this one; returns whether they have."""
        if self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE:
            self.h11.start_next_cycle()
            self._chunk_sizes = None
            return True
        return False

    def close(self) -> None:
        """Close the socket at once."""
        if not self.closed:
            self.detach().close()

    def detach(self) -> socket.socket:
        """Return the socket, still open; tasks that wait here find the connection closed."""
        self.closed = True
        self.buffer.release()
        self.pause_reading()
        self.on_buffer_changed()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        if self._write_blocked:
            anyio.notify_closing(self.sock)
        return self.sock
