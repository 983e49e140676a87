"""The reading half of a connection: the loop's callback fills a buffer, and hears the peer's end."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections.abc import Callable

import anyio

from ringledge.wire.http.arrival_times import MAX_PROMPT_READ_DELAY_S, ArrivalTimes
from ringledge.wire.http.errors import ConnectionIdleError
from ringledge.wire.http.receive_buffer import ReceiveBuffer

READ_AHEAD_BYTES = 16 * 1024  # bytes read while nobody waits for them, of a next request say
# The same while somebody waits to hear of the peer's end, which comes behind all that it has sent: some of
# the longest requests. A peer that sends more than this ahead of its answer is a flood.
MAX_READ_AHEAD_BYTES = 1024 * 1024
DISCARD_BUFFER = bytearray(256 * 1024)  # names a size to the system; nothing is written to it
LAST_DATA_RECV_OFFSET = 52  # offset in Linux's struct tcp_info: ms since a segment with data came


class SocketReader:
    """One socket and the buffer that it is read into.

    The loop is told of the socket once, not at each wait: what comes is read by its callback as soon as it is
    there, up to READ_AHEAD_BYTES while nobody waits for it. So the end of a peer is seen with nobody reading.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.buffer = ReceiveBuffer()
        self.received_bytes = 0  # so far
        self.closed = False
        self.eof_received = False  # the peer has said its last
        self.on_queue_delay: Callable[[float], None] | None = (
            None  # the front's: told how long a request lay unread
        )
        self.unread_ms = 0.0  # that the bytes read last had lain in the socket
        self.arrival_times: ArrivalTimes | None = None  # the front's: when what its client sent came
        self._paused_since_s: float | None = None  # what comes while nobody listens may have come then
        self._idle_wait_ended = False
        self._skip_bytes = 0  # bytes to come that nobody wants
        self._loop = asyncio.get_running_loop()
        self._reading = False  # the loop tells of what comes
        self._waiter: asyncio.Future[None] | None = None  # of who waits for it
        self._error: OSError | None = None
        self._on_disconnect: Callable[[], None] | None = None
        self._on_flood: Callable[[], None] | None = None

    async def fill(self) -> int:
        """Wait for more of what the peer sends to be in the buffer; 0 at its end."""
        before = len(self.buffer)
        while not self.eof_received:
            if self._error is not None:
                raise self._error
            if self.closed:
                raise anyio.ClosedResourceError
            if len(self.buffer) > before:
                self._idle_wait_ended = False  # something came in the very turn in which it was to rest
                return len(self.buffer) - before
            if self._idle_wait_ended:
                raise ConnectionIdleError
            await self._wait_for_input()
        return len(self.buffer) - before

    async def _wait_for_input(self) -> None:
        """Wait until the loop has read something, or has found that nothing more comes."""
        if not self._reading:
            self._start_reading()
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    async def skip(self, size: int) -> bool:
        """Let so many bytes that are still to come go by, uncopied; False where the peer ends before."""
        self._skip_bytes = size
        self._skip_available()
        while self._skip_bytes and not (self.closed or self.eof_received or self._error):
            await self._wait_for_input()
        whole, self._skip_bytes = not self._skip_bytes, 0
        return whole

    def _skip_available(self) -> None:
        try:
            # Linux drops what TCP has without copying it, up to the size that is named (tcp(7)).
            size = self.sock.recv_into(
                DISCARD_BUFFER, min(len(DISCARD_BUFFER), self._skip_bytes), socket.MSG_TRUNC
            )
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._error, size = error, 0
        self._skip_bytes -= size
        if not size:
            self.eof_received = self._error is None
            self.pause_reading()
        if (not size or not self._skip_bytes) and self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _start_reading(self) -> None:
        self._reading = True
        self._loop.add_reader(self.sock, self._on_readable)

    def pause_reading(self) -> None:
        """Read nothing more until somebody waits for it."""
        if self._reading:
            self._reading, self._paused_since_s = False, self._loop.time()
            self._loop.remove_reader(self.sock)

    def _on_readable(self) -> None:
        """Read once: a peer that sends without end keeps no others waiting."""
        if self._waiter is None and len(self.buffer) >= self.max_read_ahead():
            self.pause_reading()
            if self._on_flood is not None:
                self._on_flood()
            return
        if self._skip_bytes:
            self._skip_available()
            return
        age_s = 0.0
        if not len(self.buffer) and (self.arrival_times is not None or self.on_queue_delay is not None):
            self.unread_ms = unread_ms(self.sock)
            age_s = self.unread_ms / 1000
        with self.buffer.writable_view() as room:
            try:
                size = self.sock.recv_into(room)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self._error, size = error, 0
        self.buffer.commit(size)
        self.received_bytes += size
        self._record_arrival(size, age_s)
        if not size:
            self.eof_received = self._error is None
            self.pause_reading()
            if self._on_disconnect is not None:
                self._on_disconnect()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _record_arrival(self, size: int, age_s: float) -> None:
        """Note when a piece came: nobody looked at the socket while it was deaf, or the process was busy."""
        paused_since_s, self._paused_since_s = self._paused_since_s, None
        if self.arrival_times is not None and size:
            now_s = self._loop.time()
            if (
                self.arrival_times.received_bytes and age_s <= MAX_PROMPT_READ_DELAY_S
            ):  # the loop's usual round, which the kernel's ticks blur
                age_s = 0.0
            self.arrival_times.add(size, now_s, now_s - age_s if paused_since_s is None else paused_since_s)

    def max_read_ahead(self) -> int:
        """How many bytes may be read that nobody waits for."""
        return READ_AHEAD_BYTES if self._on_disconnect is None else MAX_READ_AHEAD_BYTES

    def set_disconnect_callback(
        self, call: Callable[[], None] | None, flooded: Callable[[], None] | None = None
    ) -> None:
        """Have it called as soon as the peer closes, which a reset is as well; None: no more.

        `flooded` is called where the peer sends so much that its end would not be heard behind it.
        """
        self._on_disconnect, self._on_flood = call, flooded
        if call is None:
            return
        if self.eof_received or self._error is not None or self.closed:
            call()
        elif not self._reading:
            self._start_reading()

    def is_disconnected(self) -> bool:
        """Whether the peer has closed, asked of the system: its end may not have come to the loop yet."""
        return self.eof_received or self._error is not None or self.closed or peer_has_closed(self.sock)

    def readable(self) -> bool:
        """Whether the peer has closed or said something unasked: such an idle connection is stale."""
        if self.eof_received or self._error is not None or len(self.buffer):
            return True
        try:
            return len(self.sock.recv(1, socket.MSG_PEEK)) >= 0
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True


def peer_has_closed(sock: socket.socket) -> bool:
    """Whether the peer of a socket has closed or reset it, also where bytes before its end wait unread."""
    try:
        if not sock.recv(1, socket.MSG_PEEK):
            return True
        unread = select.poll()  # takes no descriptor: there may be none left
        unread.register(sock, select.POLLRDHUP)
        return bool(unread.poll(0))
    except (BlockingIOError, InterruptedError):
        return False
    except OSError:
        return True


def unread_ms(sock: socket.socket) -> float:
    """How long the newest bytes on a socket have been there, in the kernel's ticks; ask before reading them.

    0 where it can't be told, on other than TCP sockets say.
    """
    try:
        told = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECV_OFFSET + 4)
        return float(struct.unpack_from("=I", told, LAST_DATA_RECV_OFFSET)[0])
    except (OSError, struct.error):
        return 0.0
