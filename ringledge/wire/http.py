"""HTTP/1.1 on one plain socket: h11 parses, the socket is awaited through anyio."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress

import anyio
import anyio.abc
import h11
from prometheus_client import Gauge

from ringledge.lifecycle.logging import log
from ringledge.wire.buffer import Buffer

MAX_BODY = 256 * 1024  # bytes: the protocol's limit
MAX_HEAD = 32 * 1024  # bytes of a head that h11 may collect
BODY_S = 10.0  # a request whose body takes longer is given up
STALL_S = 20.0  # a peer that takes nothing for so long has gone
MAX_AHEAD = 64 * 1024  # bytes of a next request taken while this one is answered
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


# What ends an exchange with a peer: its socket, its HTTP, or an answer past all bounds.
PEER_ERRORS = (OSError, h11.RemoteProtocolError, anyio.ClosedResourceError, HttpError)


class Connection:
    """One socket, its buffer and its h11 state."""

    def __init__(self, sock: socket.socket, our_role: type[h11.CLIENT] | type[h11.SERVER]) -> None:
        self.sock = sock
        self.h11 = h11.Connection(our_role, max_incomplete_event_size=MAX_HEAD)
        self.buffer = Buffer()
        self.closed = False
        self.idle_since = 0.0  # the pool's note

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
                self.h11.receive_data(b"")

    async def fill(self) -> int:
        """Read once from the socket into the buffer; 0 at the end of what the peer sends."""
        while True:
            with self.buffer.room() as room:
                try:
                    size = self.sock.recv_into(room)
                except (BlockingIOError, InterruptedError):
                    size = -1
            if size >= 0:
                self.buffer.filled(size)
                return size
            await anyio.wait_readable(self.sock)

    async def wait_closed(self) -> None:
        """Return once the peer has closed; bytes of a next request are kept for later."""
        try:
            while len(self.buffer) < MAX_AHEAD:
                if not await self.fill():
                    return
            await anyio.sleep_forever()
        except (OSError, anyio.ClosedResourceError):
            return  # a reset is a close as well, and so is our own

    async def send(self, *events: h11.Event) -> None:
        """Say something, to its last byte."""
        await self.write(b"".join(self.h11.send(event) or b"" for event in events))

    async def write(self, data: bytes) -> None:
        """Write all of it; returns only when the system has taken the last byte."""
        view = memoryview(data)
        while view:
            try:
                view = view[self.sock.send(view) :]
            except (BlockingIOError, InterruptedError):
                with anyio.fail_after(STALL_S):
                    await anyio.wait_writable(self.sock)

    def next_cycle(self) -> bool:
        """Make ready for another exchange, where both sides are through with this one."""
        if self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE:
            self.h11.start_next_cycle()
            return True
        return False

    def readable(self) -> bool:
        """Whether the peer has closed or said something unasked: such an idle connection is stale."""
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
            anyio.notify_closing(self.sock)
            self.sock.close()


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
    sock.setblocking(False)
    sock.bind((host, int(port)))
    sock.listen(1024)
    return sock


async def read_body(conn: Connection, head: h11.Request | h11.Response, limit: int = MAX_BODY) -> bytes:
    """The whole body of a message; HttpError 413 as soon as it proves too long."""
    length = header(head, b"content-length")
    if length and int(length) > limit:
        raise HttpError(413, f"the body is longer than {limit} bytes")
    parts, size, until = [], 0, anyio.current_time() + BODY_S
    while True:
        with anyio.CancelScope(deadline=until) as slow:
            event = await conn.next_event()
        if slow.cancelled_caught:
            raise HttpError(408, "the body did not come in time", "timeout")
        if isinstance(event, h11.Data):
            size += len(event.data)
            if size > limit:
                raise HttpError(413, f"the body is longer than {limit} bytes")
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return b"".join(parts)
        else:
            raise h11.RemoteProtocolError("the message ended early")


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


Handler = Callable[[Connection, h11.Request], Awaitable[None]]
ErrorBody = Callable[[HttpError], bytes]


class Front:
    """Accepts connections, bounded in number, and reads requests from them one after another."""

    def __init__(self, name: str, limit: int, handler: Handler, error_body: ErrorBody, gauge: Gauge) -> None:
        self.name, self.limit, self._handler, self._error_body = name, limit, handler, error_body
        self._gauge = gauge.labels(name)
        self.open: set[Connection] = set()
        self.resting: dict[Connection, None] = {}  # open, between requests; longest first
        self.closing = False  # each connection ends with its next answer
        self._room = anyio.Event()

    async def serve(self, listener: socket.socket, tasks: anyio.abc.TaskGroup) -> None:
        """Accept until cancelled."""
        while True:
            if len(self.open) >= self.limit:
                self.close_resting(most=1)
            # Past the limit a few more are let in, only to be told so; the rest waits in the backlog.
            if len(self.open) >= self.limit + max(1, self.limit // 8):
                self._room = anyio.Event()
                await self._room.wait()
                continue
            try:
                sock, _ = listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                await anyio.wait_readable(listener)
                continue
            except OSError as error:
                log.error("accept_failed", front=self.name, error=str(error))
                await anyio.sleep(0.05)
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            conn = Connection(sock, h11.SERVER)
            self.open.add(conn)
            self._gauge.set(len(self.open))
            tasks.start_soon(self._converse, conn, len(self.open) > self.limit)

    async def _converse(self, conn: Connection, crowded: bool) -> None:
        try:
            while await self._exchange(conn, crowded):
                pass
        except (OSError, anyio.ClosedResourceError, h11.LocalProtocolError) as error:
            log.debug("client_connection_lost", front=self.name, error=str(error))
        except Exception as error:  # a fault of ours costs this connection, not all the others
            log.fault("connection_crashed", error, front=self.name)
        finally:
            self.open.discard(conn)
            conn.close()
            self._gauge.set(len(self.open))
            self._room.set()

    async def _exchange(self, conn: Connection, crowded: bool) -> bool:
        """Read one request and have it answered; False once the connection is through."""
        try:
            self.resting[conn] = None
            try:
                head = await conn.next_event()
            finally:
                self.resting.pop(conn, None)
            if not isinstance(head, h11.Request):
                return False
            if crowded:
                log.warning("connections_exhausted", front=self.name, open=len(self.open))
                raise HttpError(503, "too many connections", "overloaded", headers=[(b"Retry-After", b"1")])
            await self._handler(conn, head)
        except HttpError as error:
            await self._reject(conn, error, crowded)
        except h11.RemoteProtocolError as error:
            await self._reject(conn, HttpError(error.error_status_hint, str(error)), True)
        if conn.closed or not conn.next_cycle():
            return False
        return not self.closing or len(conn.buffer) > 0 or conn.readable()

    async def _reject(self, conn: Connection, error: HttpError, closing: bool) -> None:
        """Answer bad input, which costs nobody else anything; unread input ends the connection."""
        log.info("request_rejected", front=self.name, status=error.status, reason=error.reason)
        if conn.closed or conn.h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return conn.close()
        closing = closing or conn.h11.their_state is not h11.DONE
        headers = [*error.headers, (b"Connection", b"close")] if closing else error.headers
        await respond(conn, error.status, self._error_body(error), headers)
        if closing:
            # What the client still sends is read for a moment: a reset would destroy the answer on its way.
            conn.sock.shutdown(socket.SHUT_WR)
            with anyio.move_on_after(0.5):
                while await conn.fill():
                    conn.buffer.take()
            conn.close()

    def drain(self) -> None:
        """Close what rests, and let every other connection end with its answer."""
        self.closing = True
        self.close_resting()

    def close_resting(self, most: int | None = None) -> None:
        """Close connections between requests, those that rest longest first."""
        # A request may have come that is not read yet: it is owed an answer, so it stays.
        idle = [
            conn
            for conn in self.resting
            if conn.h11.our_state is h11.IDLE and not len(conn.buffer) and not conn.readable()
        ]
        for conn in idle[:most]:
            conn.close()
            self.open.discard(conn)
            self.resting.pop(conn, None)


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
