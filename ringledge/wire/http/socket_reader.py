"""The reading half of a connection: the loop's callback fills a buffer, and hears the peer's end."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections.abc import Callable

import anyio

from ringledge.wire.http.arrival_times import LAIN_S, ArrivalMarks
from ringledge.wire.http.errors import ConnectionIdleError
from ringledge.wire.http.receive_buffer import Buffer

READ_AHEAD = 16 * 1024  # bytes read while nobody waits for them, of a next request say
# The same while somebody waits to hear of the peer's end, which comes behind all that it has sent: some of
# the longest requests. A peer that sends more than this ahead of its answer is a flood.
MOST_AHEAD = 1024 * 1024
SCRATCH = bytearray(256 * 1024)  # names a size to the system; nothing is written to it
LAST_DATA_RECEIVED = 52  # offset in Linux's struct tcp_info: ms since a segment with data came


class SocketReader:
    """One socket and the buffer that it is read into.

    The loop is told of the socket once, not at each wait: what comes is read by its callback as soon as it is
    there, up to READ_AHEAD while nobody waits for it. So the end of a peer is seen with nobody reading.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.buffer = Buffer()
        self.received_bytes = 0  # so far
        self.closed = False
        self.ended = False  # the peer has said its last
        self.on_queue_delay: Callable[[float], None] | None = (
            None  # the front's: told how long a request lay unread
        )
        self.unread_ms = 0.0  # that the bytes read last had lain in the socket
        self.marks: ArrivalMarks | None = None  # the front's: when what its client sent came
        self._deaf_since: float | None = None  # what comes while nobody listens may have come then
        self._resting = False
        self._skipping = 0  # bytes to come that nobody wants
        self._loop = asyncio.get_running_loop()
        self._heard = False  # the loop tells of what comes
        self._waiter: asyncio.Future[None] | None = None  # of who waits for it
        self._error: OSError | None = None
        self._gone: Callable[[], None] | None = None
        self._flooded: Callable[[], None] | None = None

    async def fill(self) -> int:
        """Wait for more of what the peer sends to be in the buffer; 0 at its end."""
        before = len(self.buffer)
        while not self.ended:
            if self._error is not None:
                raise self._error
            if self.closed:
                raise anyio.ClosedResourceError
            if len(self.buffer) > before:
                self._resting = False  # something came in the very turn in which it was to rest
                return len(self.buffer) - before
            if self._resting:
                raise ConnectionIdleError
            await self._more()
        return len(self.buffer) - before

    async def _more(self) -> None:
        """Wait until the loop has read something, or has found that nothing more comes."""
        if not self._heard:
            self._receive()
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    async def skip(self, size: int) -> bool:
        """Let so many bytes that are still to come go by, uncopied; False where the peer ends before."""
        self._skipping = size
        self._skip_some()
        while self._skipping and not (self.closed or self.ended or self._error):
            await self._more()
        whole, self._skipping = not self._skipping, 0
        return whole

    def _skip_some(self) -> None:
        try:
            # Linux drops what TCP has without copying it, up to the size that is named (tcp(7)).
            size = self.sock.recv_into(SCRATCH, min(len(SCRATCH), self._skipping), socket.MSG_TRUNC)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._error, size = error, 0
        self._skipping -= size
        if not size:
            self.ended = self._error is None
            self.deafen()
        if (not size or not self._skipping) and self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _receive(self) -> None:
        self._heard = True
        self._loop.add_reader(self.sock, self._readable)

    def deafen(self) -> None:
        """Read nothing more until somebody waits for it."""
        if self._heard:
            self._heard, self._deaf_since = False, self._loop.time()
            self._loop.remove_reader(self.sock)

    def _readable(self) -> None:
        """Read once: a peer that sends without end keeps no others waiting."""
        if self._waiter is None and len(self.buffer) >= self.most_ahead():
            self.deafen()
            if self._flooded is not None:
                self._flooded()
            return
        if self._skipping:
            self._skip_some()
            return
        age_s = 0.0
        if not len(self.buffer) and (self.marks is not None or self.on_queue_delay is not None):
            self.unread_ms = unread_ms(self.sock)
            age_s = self.unread_ms / 1000
        with self.buffer.room() as room:
            try:
                size = self.sock.recv_into(room)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self._error, size = error, 0
        self.buffer.filled(size)
        self.received_bytes += size
        self._mark(size, age_s)
        if not size:
            self.ended = self._error is None
            self.deafen()
            if self._gone is not None:
                self._gone()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _mark(self, size: int, age_s: float) -> None:
        """Note when a piece came: nobody looked at the socket while it was deaf, or the process was busy."""
        deaf_since, self._deaf_since = self._deaf_since, None
        if self.marks is not None and size:
            now_s = self._loop.time()
            if self.marks.total and age_s <= LAIN_S:  # the loop's usual round, which the kernel's ticks blur
                age_s = 0.0
            self.marks.add(size, now_s, now_s - age_s if deaf_since is None else deaf_since)

    def most_ahead(self) -> int:
        """How many bytes may be read that nobody waits for."""
        return READ_AHEAD if self._gone is None else MOST_AHEAD

    def on_gone(self, call: Callable[[], None] | None, flooded: Callable[[], None] | None = None) -> None:
        """Have it called as soon as the peer closes, which a reset is as well; None: no more.

        `flooded` is called where the peer sends so much that its end would not be heard behind it.
        """
        self._gone, self._flooded = call, flooded
        if call is None:
            return
        if self.ended or self._error is not None or self.closed:
            call()
        elif not self._heard:
            self._receive()

    def peer_gone(self) -> bool:
        """Whether the peer has closed, asked of the system: its end may not have come to the loop yet."""
        return self.ended or self._error is not None or self.closed or has_ended(self.sock)

    def readable(self) -> bool:
        """Whether the peer has closed or said something unasked: such an idle connection is stale."""
        if self.ended or self._error is not None or len(self.buffer):
            return True
        try:
            return len(self.sock.recv(1, socket.MSG_PEEK)) >= 0
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True


def has_ended(sock: socket.socket) -> bool:
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
        told = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED + 4)
        return float(struct.unpack_from("=I", told, LAST_DATA_RECEIVED)[0])
    except (OSError, struct.error):
        return 0.0
