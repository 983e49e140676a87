"""A front: accepts connections, bounded in number, and reads requests from them one after another."""

from __future__ import annotations

import math
import socket
from collections.abc import Awaitable, Callable
from itertools import chain

import anyio
import anyio.abc
import anyio.lowlevel
import h11

from ringledge.observe.logging import log
from ringledge.observe.metrics import Metrics
from ringledge.wire.http import (
    MAX_BODY,
    Budget,
    Connection,
    HttpError,
    ShedError,
    header,
    read_body,
    respond,
)

REQUEST_S = 2.5  # from a request's first byte, on a new connection from its opening, to its last byte
IDLE_S = 2.0  # a client's connection without an open request is closed then
LOOK_S = 0.2  # how often idle connections are looked for
SEND_BYTES = 64 * 1024  # of an answer that the kernel may hold, where memory is watched
DRAIN_S = 1.0  # for the rest of a body whose request was turned away
PAUSE_S = 0.5  # before more is read from a client whose request was turned away: it may ask without end
LINGER_S, LINGER_BYTES = 0.5, 1024 * 1024  # what is still read of a client that was turned away and cut off
ACCEPT_AT_ONCE = 16  # new connections before others get their turn

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
        aged: Callable[[float], None] | None = None,
        keeps: Callable[[h11.Request], bool] | None = None,
    ) -> None:
        self.name, self.limit, self._budget, self._request_s = name, limit, budget, request_s
        self._handler, self._error_body, self._at_once = handler, error_body, at_once
        self._keeps = keeps  # asked whether a request past the limit is served all the same
        self._aged = aged  # told how long each request lay unread
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
        if self._aged is not None:  # what the kernel holds for a client that reads nothing counts, too
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BYTES)
        conn = Connection(sock, h11.SERVER)
        conn.budget, conn.last, conn.aged = self._budget, self.closing, self._aged
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
            if conn.aged is not None:
                conn.aged(conn.unread_ms)
            if crowded and not (self._keeps is not None and self._keeps(head)):
                await read_body(conn, head)  # half a request is none, and may have to make room itself
                log.often("connections_exhausted", front=self.name, open=len(self.open))
                raise HttpError(503, "too many connections", "overloaded", headers=[(b"Retry-After", b"1")])
            await self._handler(conn, head)
        except ShedError as error:
            assert head is not None
            if self._refused is not None:
                self._refused(head)
            await self._turn_away(conn, head, error)
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

    async def _turn_away(self, conn: Connection, head: h11.Request, error: ShedError) -> None:
        """Answer at once, and only then let the body go by: it is never kept, nor awaited for long."""
        length = header(head, b"content-length")
        # A longer body than the protocol's, or one that tells no length: to let it go by might take for ever.
        bounded = header(head, b"transfer-encoding") is None and int(length or 0) <= MAX_BODY
        if not bounded or self.closing:
            return await self._reject(conn, error, True)
        self._rejections.labels(self.name, str(error.status)).inc()
        await respond(conn, error.status, self._error_body(error), error.headers)
        with anyio.move_on_after(DRAIN_S):
            while conn.h11.their_state is h11.SEND_BODY:
                await conn.next_event()
        if conn.h11.their_state is not h11.DONE:
            conn.close()
        # No pause: connections of a front carry others' bookings, too. But what is sent ahead waits its turn.
        await anyio.lowlevel.checkpoint()

    async def _pause(self, conn: Connection) -> None:
        """Let a client that was turned away wait: its next request would be no better, but cost as much."""
        self.resting[conn] = anyio.current_time()
        conn.paused = True
        conn.deafen()
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
                    left -= len(conn.buffer.take())
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


def _quiet(conn: Connection) -> bool:
    """Whether no request may be waiting unread: that one would be owed an answer."""
    return conn.paused or not conn.readable()
