"""The receiving half of a connection: an event loop callback fills a buffer and detects disconnects."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections.abc import Callable

import anyio

from ringledge.wire.http.arrival_times import MAX_NORMAL_READ_DELAY_S, ArrivalTimes
from ringledge.wire.http.errors import ConnectionIdleError
from ringledge.wire.http.receive_buffer import ReceiveBuffer

READ_AHEAD_BYTES = 16 * 1024  # buffered while no task waits for input, e.g. of a pipelined request
# The limit while a disconnect callback is set: the peer's FIN arrives only after all data before it. Fits
# several of the longest requests; a peer that sends more than this before its response is flooding.
MAX_READ_AHEAD_BYTES = 1024 * 1024
DISCARD_BUFFER = bytearray(256 * 1024)  # only its size matters: with MSG_TRUNC nothing is written to it
LAST_DATA_RECV_OFFSET = 52  # of tcpi_last_data_recv in Linux's struct tcp_info: ms since data arrived


class SocketReader:
    """A socket and the buffer that it is read into.

    The socket is registered with the event loop once, not at each wait: the callback reads data as soon as it
    arrives, up to READ_AHEAD_BYTES while no task waits. So a disconnect is detected while no task reads.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.buffer = ReceiveBuffer()
        self.received_bytes = 0  # in total
        self.closed = False
        self.eof_received = False
        # Set by the front: called with the ms that a request lay unread in its socket.
        self.on_queue_delay: Callable[[float], None] | None = None
        self.unread_ms = 0.0  # how long the bytes read last had lain in the socket
        self.arrival_times: ArrivalTimes | None = None  # set by the front
        self._paused_since_s: float | None = None  # data read after a pause may have arrived at its start
        self._idle_wait_ended = False  # `fill` is to raise ConnectionIdleError
        self._skip_bytes = 0  # how many of the next bytes are to be discarded
        self._loop = asyncio.get_running_loop()
        self._reading = False  # the socket is registered with the event loop
        self._waiter: asyncio.Future[None] | None = None  # of the task that waits for input
        self._error: OSError | None = None
        self._on_disconnect: Callable[[], None] | None = None
        self._on_flood: Callable[[], None] | None = None

    async def fill(self) -> int:
        """Wait until more input is in the buffer; returns its size, 0 at the end of the input."""
        before = len(self.buffer)
        while not self.eof_received:
            if self._error is not None:
                raise self._error
            if self.closed:
                raise anyio.ClosedResourceError
            if len(self.buffer) > before:
                self._idle_wait_ended = False  # data arrived in the same loop turn
                return len(self.buffer) - before
            if self._idle_wait_ended:
                raise ConnectionIdleError
            await self._wait_for_input()
        return len(self.buffer) - before

    async def _wait_for_input(self) -> None:
        """Wait until the callback has read data, the end of the input or an error."""
        if not self._reading:
            self._start_reading()
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    async def skip(self, size: int) -> bool:
        """Discard the next `size` bytes without copying them; False if the input ends before."""
        self._skip_bytes = size
        self._skip_available()
        while self._skip_bytes and not (self.closed or self.eof_received or self._error):
            await self._wait_for_input()
        complete, self._skip_bytes = not self._skip_bytes, 0
        return complete

    def _skip_available(self) -> None:
        try:
            # With MSG_TRUNC, Linux discards up to that many received bytes without copying them (tcp(7)).
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
        """Read nothing until a task waits for input."""
        if self._reading:
            self._reading, self._paused_since_s = False, self._loop.time()
            self._loop.remove_reader(self.sock)

    def _on_readable(self) -> None:
        """Read once, so that a peer that sends without end does not delay others."""
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
        with self.buffer.free_space() as free_space:
            try:
                size = self.sock.recv_into(free_space)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self._error, size = error, 0
        self.buffer.commit(size)
        self.on_buffer_changed()
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
        """Record when a piece arrived: it may have waited while reading was paused or the process busy."""
        paused_since_s, self._paused_since_s = self._paused_since_s, None
        if self.arrival_times is not None and size:
            now_s = self._loop.time()
            # A usual delay of the event loop, measured in the kernel's coarse ticks: it counts as none.
            if self.arrival_times.received_bytes and age_s <= MAX_NORMAL_READ_DELAY_S:
                age_s = 0.0
            self.arrival_times.add(size, now_s, now_s - age_s if paused_since_s is None else paused_since_s)

    def on_buffer_changed(self) -> None:
        """Called after bytes were added to the buffer or removed from it."""

    def max_read_ahead(self) -> int:
        """How many bytes may be buffered while no task waits for input."""
        return READ_AHEAD_BYTES if self._on_disconnect is None else MAX_READ_AHEAD_BYTES

    def set_disconnect_callback(
        self, callback: Callable[[], None] | None, on_flood: Callable[[], None] | None = None
    ) -> None:
        """Set the callback for when the peer closes or resets the connection; None removes it.

        `on_flood` is called if the peer sends so much that its disconnect could not be detected any more.
        """
        self._on_disconnect, self._on_flood = callback, on_flood
        if callback is None:
            return
        if self.eof_received or self._error is not None or self.closed:
            callback()
        elif not self._reading:
            self._start_reading()

    def peer_disconnected(self) -> bool:
        """Whether the peer has disconnected; checks the kernel too, which may know before the event loop."""
        return self.eof_received or self._error is not None or self.closed or peer_has_closed(self.sock)

    def readable(self) -> bool:
        """Whether the peer has closed it or sent unsolicited data: such an idle connection is stale."""
        if self.eof_received or self._error is not None or len(self.buffer):
            return True
        try:
            return len(self.sock.recv(1, socket.MSG_PEEK)) >= 0
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True


def peer_has_closed(sock: socket.socket) -> bool:
    """Whether the peer has closed or reset a socket, even if bytes before that are unread."""
    try:
        if not sock.recv(1, socket.MSG_PEEK):
            return True
        poller = select.poll()  # unlike epoll it needs no descriptor, of which none may be left
        poller.register(sock, select.POLLRDHUP)
        return bool(poller.poll(0))
    except (BlockingIOError, InterruptedError):
        return False
    except OSError:
        return True


def unread_ms(sock: socket.socket) -> float:
    """How long the newest unread bytes have been in a socket, in kernel ticks; call it before reading them.

    0 if that is unknown, e.g. for a socket that is not TCP.
    """
    try:
        tcp_info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECV_OFFSET + 4)
        return float(struct.unpack_from("=I", tcp_info, LAST_DATA_RECV_OFFSET)[0])
    except (OSError, struct.error):
        return 0.0
