"""HTTP/1.1 on one plain socket: h11 parses, the socket is awaited through anyio."""

from __future__ import annotations

import math
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from itertools import chain

import anyio
import anyio.abc
import anyio.lowlevel
import h11

from ringledge.observe.logging import log
from ringledge.observe.metrics import Metrics
from ringledge.wire.buffer import Buffer

MAX_BODY = 256 * 1024  # bytes: the protocol's limit
MAX_HEAD = 32 * 1024  # bytes of a head that h11 may collect
BODY_S = 10.0  # a peer's body that takes longer is given up
REQUEST_S = 2.5  # from a request's first byte, on a new connection from its opening, to its last byte
IDLE_S = 2.0  # a client's connection without an open request is closed then
LOOK_S = 0.2  # how often idle connections are looked for
PAUSE_S = 0.5  # before more is read from a client whose request was turned away: it may ask without end
LINGER_S, LINGER_BYTES = 0.5, 1024 * 1024  # what is still read of a client that was turned away and cut off
ACCEPT_AT_ONCE = 16  # new connections before others get their turn
READ_AT_ONCE = 4  # reads of one connection before others get their turn
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


class Budget:
    """Bytes of requests that all fronts may hold at once."""

    def __init__(self, limit: float) -> None:
        self.limit, self.used = limit, 0


class Connection:
    """One socket, its buffer and its h11 state."""

    def __init__(self, sock: socket.socket, our_role: type[h11.CLIENT] | type[h11.SERVER]) -> None:
        self.sock = sock
        self.h11 = h11.Connection(our_role, max_incomplete_event_size=MAX_HEAD)
        self.buffer = Buffer()
        self.closed = False
        self.read_by = math.inf  # when what it is sending now must have come
        self.idle_since = 0.0  # the pool's note
        self.kept = False  # the pool's: it has carried an exchange before
        self.ended = False  # the peer has said its last
        self.last = False  # the front's: it ends with its next answer, and the answer says so
        self.paused = False  # the front's: nothing is read from it for a while
        self.budget: Budget | None = None  # the front's: what bodies may take of the memory
        self._held = 0
        self._reads = 0  # since others had their turn

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

    def pending(self) -> bool:
        """Whether bytes have been read that belong to no message yet."""
        return len(self.buffer) > 0 or len(self.h11.trailing_data[0]) > 0

    async def fill(self) -> int:
        """Read once from the socket into the buffer; 0 at the end of what the peer sends."""
        if self._reads >= READ_AT_ONCE:  # a peer that sends without end must not keep all others waiting
            self._reads = 0
            await anyio.lowlevel.checkpoint()
        self._reads += 1
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
            self._reads = 0

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
        if self.last:
            events = tuple(map(_closing, events))
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


Refused = Callable[[h11.Request], None]
Handler = Callable[[Connection, h11.Request], Awaitable[None]]
ErrorBody = Callable[[HttpError], bytes]


class Front:
    """Accepts connections, bounded in number, and reads requests from them one after another."""

    def __init__(
        self,
        name: str,
        limit: int,
        budget: Budget,
        handler: Handler,
        error_body: ErrorBody,
        metrics: Metrics,
        request_s: float = REQUEST_S,
        at_once: int = ACCEPT_AT_ONCE,
        refused: Refused | None = None,
    ) -> None:
        self.name, self.limit, self._budget, self._request_s = name, limit, budget, request_s
        self._handler, self._error_body, self._at_once = handler, error_body, at_once
        self._refused = refused  # told of each request that is answered 503 or 429 here
        self._gauge, self._rejections = metrics.client_sockets.labels(name), metrics.rejections
        self.open: set[Connection] = set()
        self.resting: dict[Connection, float] = {}  # between requests and since when, longest first
        self.reading: dict[Connection, None] = {}  # in an exchange, longest first; some lack half a request
        self.serving = False  # it accepts
        self.closing = False  # each connection ends with its next answer
        self.draining = False  # what rests is closed, and no further request read behind an answer
        self._accepting, self._reopened = anyio.CancelScope(), anyio.Event()

    async def serve(self, listener: socket.socket, tasks: anyio.abc.TaskGroup) -> None:
        """Accept until cancelled, save while another process does."""
        tasks.start_soon(self._close_idle)
        self.serving = True
        while True:
            with anyio.CancelScope() as self._accepting:
                await self._accept(listener, tasks)
            await self._reopened.wait()

    async def _accept(self, listener: socket.socket, tasks: anyio.abc.TaskGroup) -> None:
        while True:
            await anyio.wait_readable(listener)
            try:
                for _ in range(self._at_once):
                    self._admit(listener.accept()[0], tasks)
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                continue
            except OSError as error:
                log.error("accept_failed", front=self.name, error=str(error))
                await anyio.sleep(0.05)

    def _admit(self, sock: socket.socket, tasks: anyio.abc.TaskGroup) -> None:
        """Serve a new connection; past the limit a few more are let in, only to be told so."""
        if len(self.open) >= self.limit:
            # Whoever waits longest without a whole request makes room; one that has asked never does.
            waiting = chain(self.resting, (c for c in self.reading if c.h11.their_state is not h11.DONE))
            oldest = next(filter(_quiet, waiting), None)
            if oldest is not None:
                self._close(oldest)
        if len(self.open) >= self.limit + max(1, self.limit // 8):
            log.often("connection_turned_away", front=self.name, open=len(self.open))
            return sock.close()  # at once: in the backlog it would wait for nothing
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn = Connection(sock, h11.SERVER)
        conn.budget, conn.last = self._budget, self.closing
        self.open.add(conn)
        self.resting[conn] = anyio.current_time()
        self._gauge.set(len(self.open))
        tasks.start_soon(self._converse, conn, len(self.open) > self.limit)

    async def _converse(self, conn: Connection, crowded: bool) -> None:
        try:
            conn.read_by = anyio.current_time() + self._request_s
            while await self._exchange(conn, crowded):
                conn.release()
                self.reading.pop(conn, None)
                self.resting.setdefault(conn, anyio.current_time())
                conn.read_by = math.inf
        except (OSError, anyio.ClosedResourceError, h11.LocalProtocolError) as error:
            log.debug("client_connection_lost", front=self.name, error=str(error))
        except Exception as error:  # a fault of ours costs this connection, not all the others
            log.fault("connection_crashed", error, front=self.name)
        finally:
            self._close(conn)

    async def _exchange(self, conn: Connection, crowded: bool) -> bool:
        """Read one request and have it answered; False once the connection is through."""
        rejected, head = False, None
        try:
            if not conn.pending() and not await conn.fill():
                return False
            head = await self._head(conn)
            if head is None:
                return False
            if crowded:
                await read_body(conn, head)  # half a request is none, and may have to make room itself
                log.often("connections_exhausted", front=self.name, open=len(self.open))
                raise HttpError(503, "too many connections", "overloaded", headers=[(b"Retry-After", b"1")])
            await self._handler(conn, head)
        except HttpError as error:
            rejected = True
            if head is not None and self._refused is not None and error.status in (429, 503):
                self._refused(head)
            await self._reject(conn, error, crowded or self.closing)
        except h11.RemoteProtocolError as error:
            await self._reject(conn, HttpError(error.error_status_hint, str(error)), True)
        if conn.closed or not conn.next_cycle():
            return False
        if rejected:
            await self._pause(conn)
        # One more that came meanwhile is answered as well, but not in a drain: it may end before the answer.
        more = not self.closing or (not self.draining and (conn.pending() or conn.readable()))
        return not conn.closed and more

    async def _head(self, conn: Connection) -> h11.Request | None:
        """The head of the request that has begun; HttpError where its body's end would be a guess."""
        self.resting.pop(conn, None)
        self.reading[conn] = None
        conn.read_by = min(conn.read_by, anyio.current_time() + self._request_s)
        with anyio.CancelScope(deadline=conn.read_by):
            head = await conn.next_event()
            if not isinstance(head, h11.Request):
                return None
            if header(head, b"transfer-encoding") and (
                header(head, b"content-length") or head.http_version < b"1.1"
            ):  # whoever reads it by the other one finds another request in its body
                raise HttpError(400, "Transfer-Encoding with Content-Length or HTTP/1.0")
            return head
        raise HttpError(408, "the request did not come in time", "timeout")

    async def _pause(self, conn: Connection) -> None:
        """Let a client that was turned away wait: its next request would be no better, but cost as much."""
        self.resting[conn] = anyio.current_time()
        conn.paused = True
        await anyio.sleep(PAUSE_S)
        conn.paused = False

    async def _reject(self, conn: Connection, error: HttpError, closing: bool) -> None:
        """Answer bad input, which costs nobody else anything; unread input ends the connection."""
        self._rejections.labels(self.name, str(error.status)).inc()
        log.often("request_rejected", front=self.name, status=error.status, reason=error.reason[:200])
        if conn.closed or conn.h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return conn.close()
        closing = closing or conn.h11.their_state is not h11.DONE
        headers = [*error.headers, (b"Connection", b"close")] if closing else error.headers
        await respond(conn, error.status, self._error_body(error), headers)
        if closing:
            # What the client still sends is read for a moment: a reset would destroy the answer on its way.
            conn.sock.shutdown(socket.SHUT_WR)
            left = LINGER_BYTES
            with anyio.move_on_after(LINGER_S):
                while left > 0 and await conn.fill():
                    left -= len(conn.buffer)
                    conn.buffer.take()
            conn.close()

    def drain(self) -> None:
        """Close what rests, and let every other connection end with its answer."""
        self.draining = True
        self.end_with_answers(True)
        self.close_resting()

    def end_with_answers(self, closing: bool) -> None:
        """Whether each connection ends with its next answer."""
        self.closing = closing
        for conn in self.open:
            conn.last = closing

    def leave(self) -> None:
        """Another process accepts now; here each connection ends with its next answer, not before it."""
        self._reopened = anyio.Event()
        self._accepting.cancel()
        self.end_with_answers(True)

    def reopen(self) -> None:
        """Accept again."""
        self.end_with_answers(False)
        self._reopened.set()

    def shrink(self, limit: int) -> None:
        """Let fewer connections in; of those that rest, the longest resting go."""
        self.limit = limit
        for conn in [conn for conn in self.resting if _quiet(conn)][: max(0, len(self.open) - limit)]:
            self._close(conn)

    def close_resting(self, older_s: float = 0.0) -> None:
        """Close connections between requests that rest for so long."""
        until = anyio.current_time() - older_s
        for conn, since in list(self.resting.items()):
            if since > until:
                break
            if _quiet(conn):
                self._close(conn)

    async def _close_idle(self) -> None:
        while True:
            await anyio.sleep(LOOK_S)
            self.close_resting(IDLE_S)

    def _close(self, conn: Connection) -> None:
        conn.close()
        conn.release()
        self.open.discard(conn)
        self.resting.pop(conn, None)
        self.reading.pop(conn, None)
        self._gauge.set(len(self.open))


def _closing(event: h11.Event) -> h11.Event:
    """The head of an answer as the connection's last one."""
    if not isinstance(event, h11.Response) or header(event, b"connection"):
        return event
    headers = [*event.headers, (b"Connection", b"close")]
    return h11.Response(status_code=event.status_code, headers=headers, reason=event.reason)


def _quiet(conn: Connection) -> bool:
    """Whether no request may be waiting unread: that one would be owed an answer."""
    return conn.paused or not conn.readable()


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
