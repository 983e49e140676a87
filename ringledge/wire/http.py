"""HTTP/1.1 on one plain socket: h11 parses, the socket is awaited through anyio."""

from __future__ import annotations

import asyncio
import math
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from typing import TYPE_CHECKING

import anyio
import h11

if TYPE_CHECKING:
    from ringledge.decide.doors import Entry

from ringledge.wire.buffer import Buffer

MAX_BODY = 256 * 1024  # bytes: the protocol's limit
MAX_HEAD = 32 * 1024  # bytes of a head that h11 may collect
BODY_S = 10.0  # a peer's body that takes longer is given up
STALL_S = 20.0  # a peer that takes nothing for so long has gone
READ_AHEAD = 16 * 1024  # bytes read while nobody waits for them, of a next request say
SCRATCH = bytearray(256 * 1024)  # names a size to the system; nothing is written to it
LAST_DATA_RECEIVED = 52  # offset in Linux's struct tcp_info: ms since a segment with data came
Headers = list[tuple[bytes, bytes]]


class HttpError(Exception):
    """Input that is answered with a plain status and costs nothing else."""

    def __init__(
        self,
        status: int,
        reason: str,
        code: str = "invalid_request",
        param: str | None = None,
        headers: Headers | None = None,
    ) -> None:
        super().__init__(reason)
        self.status, self.reason, self.code, self.param = status, reason, code, param
        self.headers: Headers = headers or []


class ParkingError(Exception):
    """Nobody spoke on a connection for a while: it is put to rest."""


class ShedError(HttpError):
    """A request that the gate turned away, before its body was read; its connection may go on."""


# What ends an exchange with a peer: its socket, its HTTP, or an answer past all bounds.
PEER_ERRORS = (OSError, h11.RemoteProtocolError, anyio.ClosedResourceError, HttpError)


class Budget:
    """Bytes of requests that all fronts may hold at once."""

    def __init__(self, limit: float) -> None:
        self.limit, self.used = limit, 0


class Connection:
    """One socket, its buffer and its h11 state.

    The loop is told of the socket once, not at each wait: what comes is read by its callback as soon as it is
    there, up to READ_AHEAD while nobody waits for it. So the end of a peer is seen with nobody reading.
    """

    def __init__(self, sock: socket.socket, our_role: type[h11.CLIENT] | type[h11.SERVER]) -> None:
        self.sock = sock
        self.h11 = h11.Connection(our_role, max_incomplete_event_size=MAX_HEAD)
        self.buffer = Buffer()
        self.closed = False
        self.read_by = math.inf  # when what it is sending now must have come
        self.idle_since = 0.0  # the pool's note
        self.kept = False  # the pool's: it has carried an exchange before
        self.ended = False  # the peer has said its last
        self.aged: Callable[[float], None] | None = None  # the front's: told how long a request lay unread
        self.entry: Entry | None = None  # the front's: what the doors said of it
        self.keep_alive = b""  # the front's: what answers tell of how long it may rest
        self.asked = False  # the front's: it has brought a request
        self._resting = False
        self._skipping = 0  # bytes to come that nobody wants
        self.let_in = False  # the front's: the gate has let in the request that is read now
        self.unread_ms = 0.0  # that the bytes read last had lain in the socket
        self.last = False  # the front's: it ends with its next answer, and the answer says so
        self.paused = False  # the front's: nothing is read from it for a while
        self.budget: Budget | None = None  # the front's: what bodies may take of the memory
        self._held = 0
        self._loop = asyncio.get_running_loop()
        self._heard = False  # the loop tells of what comes
        self._waiter: asyncio.Future[None] | None = None  # of who waits for it
        self._stuck = False  # somebody waits until the peer takes more
        self._error: OSError | None = None
        self._gone: Callable[[], None] | None = None

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
                self.ended = True
                self.h11.receive_data(b"")

    def event_now(self) -> h11.Event | type[h11.PAUSED] | None:
        """The next thing that the peer has said already, if its end has come: no scope, no wait."""
        event = self.h11.next_event()
        if event is h11.NEED_DATA and len(self.buffer):
            self.h11.receive_data(self.buffer.take())
            event = self.h11.next_event()
        return None if event is h11.NEED_DATA else event  # type: ignore[return-value]

    def pending(self) -> bool:
        """Whether bytes have been read that belong to no message yet."""
        return len(self.buffer) > 0 or len(self.h11.trailing_data[0]) > 0

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
                raise ParkingError
            await self._more()
        return len(self.buffer) - before

    async def _more(self) -> None:
        """Wait until the loop has read something, or has found that nothing more comes."""
        if not self._heard:
            self._hear()
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

    def rest(self) -> None:
        """Have whoever waits on a connection without anything begun put it to rest."""
        if self._waiter is not None and not self._waiter.done() and not self.pending():
            self._resting = True
            self._waiter.set_result(None)

    def _hear(self) -> None:
        self._heard = True
        self._loop.add_reader(self.sock, self._readable)

    def deafen(self) -> None:
        """Read nothing more until somebody waits for it."""
        if self._heard:
            self._heard = False
            self._loop.remove_reader(self.sock)

    def _readable(self) -> None:
        """Read once: a peer that sends without end keeps no others waiting."""
        if self._waiter is None and len(self.buffer) >= READ_AHEAD:
            return self.deafen()
        if self._skipping:
            return self._skip_some()
        if self.aged is not None and not len(self.buffer):
            self.unread_ms = unread_ms(self.sock)
        with self.buffer.room() as room:
            try:
                size = self.sock.recv_into(room)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self._error, size = error, 0
        self.buffer.filled(size)
        if not size:
            self.ended = self._error is None
            self.deafen()
            if self._gone is not None:
                self._gone()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def on_gone(self, call: Callable[[], None] | None) -> None:
        """Have it called as soon as the peer closes, which a reset is as well; None: no more."""
        self._gone = call
        if call is not None:
            if self.ended or self._error is not None or self.closed:
                call()
            elif not self._heard and len(self.buffer) < READ_AHEAD:
                self._hear()

    async def send(self, *events: h11.Event) -> None:
        """Say something, to its last byte."""
        await self.write(self.say(*events))

    def say(self, *events: h11.Event) -> bytes:
        """The bytes of what is to be said."""
        if self.last:
            events = tuple(map(_closing, events))
        elif self.keep_alive:
            events = tuple(_keeping(event, self.keep_alive) for event in events)
        return b"".join([self.h11.send(event) or b"" for event in events])

    def write_some(self, data: bytes) -> int:
        """Write what the system takes at once; how much that was."""
        try:
            return self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0

    async def write(self, data: bytes) -> None:
        """Write all of it; returns only when the system has taken the last byte."""
        view = memoryview(data)
        while view:
            try:
                view = view[self.sock.send(view) :]
            except (BlockingIOError, InterruptedError):
                self._stuck = True
                with anyio.fail_after(STALL_S):
                    await anyio.wait_writable(self.sock)
                self._stuck = False

    def hold(self, size: int) -> None:
        """Count more of a body against the budget; HttpError where it is used up."""
        if self.budget is not None:
            self._held += size
            self.budget.used += size
            if self.budget.used > self.budget.limit:
                after: Headers = [(b"Retry-After", b"1")]
                raise HttpError(503, "no memory for one more request", "overloaded", headers=after)

    def release(self) -> None:
        """Its request is over: what it held is free."""
        if self.budget is not None:
            self.budget.used -= self._held
            self._held = 0

    def next_cycle(self) -> bool:
        """Make ready for another exchange, where both sides are through with this one."""
        if self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE:
            self.h11.start_next_cycle()
            return True
        return False

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

    def close(self) -> None:
        """Close the socket now."""
        if not self.closed:
            self.closed = True
            self.deafen()
            if self._waiter is not None and not self._waiter.done():
                self._waiter.set_result(None)
            if self._stuck:
                anyio.notify_closing(self.sock)
            self.sock.close()


def unread_ms(sock: socket.socket) -> float:
    """How long the newest bytes on a socket have been there, in the kernel's ticks; ask before reading them.

    0 where it can't be told, on other than TCP sockets say.
    """
    try:
        told = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED + 4)
        return float(struct.unpack_from("=I", told, LAST_DATA_RECEIVED)[0])
    except (OSError, struct.error):
        return 0.0


async def connect(address: str, timeout_s: float) -> Connection:
    """Open a connection; OSError if it is refused, TimeoutError if it doesn't come up."""
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with suppress(BlockingIOError):
            sock.connect((host, int(port)))
        with anyio.fail_after(timeout_s):
            await anyio.wait_writable(sock)
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, "connect failed")
    except BaseException:
        sock.close()
        raise
    return Connection(sock, h11.CLIENT)


def listen(address: str) -> socket.socket:
    """A listening socket at that address only."""
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)  # a process that hangs there stops no start
    sock.setblocking(False)
    sock.bind((host, int(port)))
    sock.listen(1024)
    return sock


async def read_body(conn: Connection, head: h11.Request | h11.Response, limit: int = MAX_BODY) -> bytes:
    """The whole body of a message; HttpError 413 as soon as it proves too long."""
    length = header(head, b"content-length")
    if length and int(length) > limit:
        raise HttpError(413, f"the body is longer than {limit} bytes")
    parts, size, until = [], 0, min(conn.read_by, anyio.current_time() + BODY_S)
    while True:
        event = conn.event_now()
        if event is None:
            with anyio.CancelScope(deadline=until) as slow:
                event = await conn.next_event()
            if slow.cancelled_caught:
                raise HttpError(408, "the body did not come in time", "timeout")
        if isinstance(event, h11.Data):
            size += len(event.data)
            if size > limit:
                raise HttpError(413, f"the body is longer than {limit} bytes")
            conn.hold(len(event.data))
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return b"".join(parts)
        else:
            raise h11.RemoteProtocolError("the message ended early")


def fields(head: h11.Request | h11.Response) -> dict[bytes, bytes]:
    """All headers by name (in lower case), the first of each; one walk costs less than several look-ups."""
    told: dict[bytes, bytes] = {}
    for key, value in head.headers:
        told.setdefault(key, value)
    return told


def header(head: h11.Request | h11.Response, name: bytes) -> bytes | None:
    """The first header of that name (in lower case)."""
    for key, value in head.headers:
        if key == name:
            return bytes(value)
    return None


def only(head: h11.Request, method: bytes) -> None:
    """Let one method through."""
    if head.method != method:
        allow: Headers = [(b"Allow", method)]
        raise HttpError(405, f"only {method.decode()} here", "method_not_allowed", headers=allow)


def _keeping(event: h11.Event, told: bytes) -> h11.Event:
    """The head of an answer with what it tells of how long the connection may rest."""
    if not isinstance(event, h11.Response) or header(event, b"connection"):
        return event
    headers = [*event.headers, (b"Keep-Alive", told)]
    return h11.Response(status_code=event.status_code, headers=headers, reason=event.reason)


def _closing(event: h11.Event) -> h11.Event:
    """The head of an answer as the connection's last one."""
    if not isinstance(event, h11.Response) or header(event, b"connection"):
        return event
    headers = [*event.headers, (b"Connection", b"close")]
    return h11.Response(status_code=event.status_code, headers=headers, reason=event.reason)


async def respond(
    conn: Connection,
    status: int,
    body: bytes,
    headers: Headers | None = None,
    kind: bytes = b"application/json",
) -> None:
    """One whole answer."""
    told: Headers = [(b"Content-Type", kind), (b"Content-Length", b"%d" % len(body)), *(headers or [])]
    response = h11.Response(status_code=status, headers=told)
    await conn.send(response, h11.Data(data=body), h11.EndOfMessage())
