"""A front: accepts connections, bounded in number, and reads requests from them one after another."""

from __future__ import annotations

import errno
import math
import socket
import time
from collections.abc import Awaitable, Callable
from enum import Enum
from itertools import islice
from typing import TYPE_CHECKING

import anyio
import anyio.abc
import anyio.lowlevel
import h11

from ringledge.decide.room import Guest, gives_way
from ringledge.observe.logging import log
from ringledge.observe.metrics import Metrics
from ringledge.wire.http import (
    MAX_BODY,
    Budget,
    Connection,
    HttpError,
    ParkingError,
    ShedError,
    header,
    read_body,
    respond,
)
from ringledge.wire.parking import Parked, Parking, speaks

if TYPE_CHECKING:
    from ringledge.decide.doors import Doors, Entry

REQUEST_S = 2.5  # from a request's first byte, on a new connection from its opening, to its last byte
IDLE_S = 2.0  # a client's connection without an open request is closed then
PROBE_S, PROBE_AGAIN_S = 60, 10  # of rest until the kernel asks a peer, and between its further questions
UNHEARD_MS = 30_000  # that what was sent to a peer, questions too, may stay unacknowledged
PARK_S = 0.5  # between requests until a connection is parked: a busy one keeps its task and parser
GIVE_WAY = 16  # connections at rest that are closed when descriptors run out
DRAIN_AT_ONCE = 1000  # connections at rest closed at a time in a drain: some 7 ms
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
        doors: Doors | None = None,
        quick: Callable[[Connection], int | None] | None = None,
    ) -> None:
        self.name, self.limit, self._budget, self._request_s = name, limit, budget, request_s
        self._handler, self._error_body, self._at_once = handler, error_body, at_once
        self.parked: Parking = Parking(self._wake, self._rest_ended)
        self._doors, self._doors_metric = doors, metrics.doors
        self._closed = {how: metrics.closed.labels(name, how) for how in ("idle", "other")}
        for state, count in (("active", lambda: len(self.active)), ("parked", lambda: len(self.parked))):
            metrics.connections.labels(name, state).set_function(count)
        metrics.woken.labels(name).set_function(lambda: self.parked.woken)
        metrics.wheel_lag.labels(name).set_function(lambda: self.parked.lag_s)
        self._quick = quick  # turns a request away, if it has to: bytes of its body to come
        self._keeps = keeps  # asked whether a request past the limit is served all the same
        self._aged = aged  # told how long each request lay unread
        self._refused = refused  # told of each request that is answered 503 or 429 here
        self._gauge, self._rejections = metrics.client_sockets.labels(name), metrics.rejections
        self.active: set[Connection] = set()
        self.resting: dict[Connection, float] = {}  # between requests and since when, longest first
        self.reading: dict[Connection, None] = {}  # in an exchange, longest first; some lack half a request
        self.serving = False  # it accepts
        self.closing = False  # each connection ends with its next answer
        self.draining = False  # what rests is closed, and no further request read behind an answer
        self._accepting, self._reopened = anyio.CancelScope(), anyio.Event()

    @property
    def open(self) -> int:
        """How many connections there are, at rest or not."""
        return len(self.active) + len(self.parked)

    async def serve(self, listener: socket.socket, tasks: anyio.abc.TaskGroup) -> None:
        """Accept until cancelled, save while another process does."""
        self._tasks = tasks
        tasks.start_soon(self._close_idle)
        self.serving = True
        while True:
            with anyio.CancelScope() as self._accepting:
                await self._accept(listener)
            await self._reopened.wait()

    async def _accept(self, listener: socket.socket) -> None:
        while True:
            await anyio.wait_readable(listener)
            try:
                for _ in range(self._at_once):
                    self._admit(*listener.accept())
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                continue
            except OSError as error:
                # Out of descriptors: whoever rests gives way, or nobody new would ever be heard.
                if error.errno in (errno.EMFILE, errno.ENFILE) and self.parked.close(GIVE_WAY):
                    log.often("parked_gave_way", front=self.name, parked=len(self.parked))
                    continue
                log.error("accept_failed", front=self.name, error=str(error))
                await anyio.sleep(0.05)

    def _admit(self, sock: socket.socket, address: tuple[str, int] | str) -> None:
        """Let a new connection in; past the limit a few more, only to be told so."""
        entry: Entry | None = None
        if self._doors is not None and not isinstance(address, str):
            told = self._doors.come(time.monotonic() * 1000, address[0])
            if isinstance(told, Enum):
                self._doors_metric.labels(self.name, told.value).inc()
                log.often("connection_not_let_in", front=self.name, address=address[0], why=told.value)
                return sock.close()
            entry = told
        if self.open >= self.limit:
            self._make_room()
        if self.open >= self.limit + max(1, self.limit // 8):
            log.often("connection_turned_away", front=self.name, open=self.open)
            self._left(entry, False)
            return sock.close()  # at once: in the backlog it would wait for nothing
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._aged is not None:  # what the kernel holds for a client that reads nothing counts, too
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BYTES)
        if entry is not None:
            _find_half_open(sock, entry.keep_s)
        new = Parked(sock, anyio.current_time(), False, self.open >= self.limit, entry)
        if speaks(sock):
            self._wake(new)
        else:  # a flood that opens and never speaks costs no task and no buffer
            self.parked.park(new, IDLE_S)
        self._gauge.set(self.open)

    def _full(self, come: Connection) -> bool:
        """Whether a connection that came past the limit has no place yet, now that its request is here.

        Half requests that came in the same turn had unread bytes then, so none of them could give way.
        """
        if self.open > self.limit:
            self._make_room(come)
        return self.open > self.limit

    def _make_room(self, come: Connection | None = None) -> None:
        """Have one connection that is owed no answer give way; of each sort the longest so is asked about.

        Not `come`, whose head has been read, though its body may not have.
        """
        half = (each for each in self.reading if each is not come and each.h11.their_state is not h11.DONE)
        live = [*islice(filter(_quiet, self.resting), 1), *islice(filter(_quiet, half), 1)]
        parked = self.parked.firsts()
        guests = [Guest(each.since, each.asked, False) for each in parked]
        guests += [Guest(self.resting.get(conn, 0.0), conn.asked, conn in self.reading) for conn in live]
        place = gives_way(guests)
        if place is None:
            return
        if place < len(parked):
            self.parked.end(parked[place])
        else:
            self._close(live[place - len(parked)])

    def _wake(self, parked: Parked) -> None:
        """Something has come on a connection at rest, or its end: give it a parser, a buffer and a task."""
        sock = parked.sock
        if not speaks(sock):
            sock.close()
            self._left(parked.entry, parked.asked)
            return self._gauge.set(self.open)
        conn = Connection(sock, h11.SERVER)
        conn.budget, conn.last, conn.aged = self._budget, self.closing, self._aged
        conn.asked, conn.entry = parked.asked, parked.entry
        if parked.entry is not None and self._doors is not None and self._doors.advertises:
            conn.keep_alive = b"timeout=%d" % parked.entry.keep_s
        self.active.add(conn)
        self.resting[conn] = anyio.current_time()
        read_by = math.inf if parked.asked else parked.since + self._request_s
        self._tasks.start_soon(self._converse, conn, parked.crowded, read_by)

    def _park(self, conn: Connection, crowded: bool) -> None:
        """Its task ends, its parser and buffer go; the socket stays."""
        conn.deafen()
        self._forget(conn)
        keep_s = IDLE_S if conn.entry is None else conn.entry.keep_s
        parked = Parked(conn.sock, anyio.current_time(), conn.asked, crowded, conn.entry)
        self.parked.park(parked, max(0.0, keep_s - PARK_S))

    async def _converse(self, conn: Connection, crowded: bool, read_by: float) -> None:
        try:
            conn.read_by = read_by
            while await self._exchange(conn, crowded):
                conn.release()
                conn.asked = True
                self.reading.pop(conn, None)
                self.resting.setdefault(conn, anyio.current_time())
                conn.read_by = math.inf
        except ParkingError:
            self._park(conn, crowded)
        except (OSError, anyio.ClosedResourceError, h11.LocalProtocolError) as error:
            log.debug("client_connection_lost", front=self.name, error=str(error))
        except Exception as error:  # a fault of ours costs this connection, not all the others
            log.fault("connection_crashed", error, front=self.name)
        finally:
            if conn in self.active:
                self._close(conn)

    async def _exchange(self, conn: Connection, crowded: bool) -> bool:
        """Read one request and have it answered; False once the connection is through."""
        rejected, head = False, None
        try:
            if not conn.pending() and not await conn.fill():
                return False
            if conn.aged is not None:
                conn.aged(conn.unread_ms)
            if self._quick is not None and not self.closing and (to_come := self._quick(conn)) is not None:
                return await self._let_go_by(conn, to_come)
            head = await self._head(conn)
            if head is None:
                return False
            if crowded and not (self._keeps is not None and self._keeps(head)) and self._full(conn):
                await read_body(conn, head)  # half a request is none, and may have to make room itself
                log.often("connections_exhausted", front=self.name, open=self.open)
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
        head = conn.event_now()
        if head is None:
            with anyio.CancelScope(deadline=conn.read_by) as slow:
                head = await conn.next_event()
            if slow.cancelled_caught:
                raise HttpError(408, "the request did not come in time", "timeout")
        if not isinstance(head, h11.Request):
            return None
        if header(head, b"transfer-encoding") and (
            header(head, b"content-length") or head.http_version < b"1.1"
        ):  # whoever reads it by the other one finds another request in its body
            raise HttpError(400, "Transfer-Encoding with Content-Length or HTTP/1.0")
        return head

    async def _let_go_by(self, conn: Connection, to_come: int) -> bool:
        """The rest of a body whose request was turned away; False where it doesn't come."""
        if not to_come:
            await anyio.lowlevel.checkpoint()  # what is sent ahead waits its turn
            return not conn.closed
        self.resting.pop(conn, None)
        self.reading[conn] = None
        with anyio.move_on_after(DRAIN_S):
            return await conn.skip(to_come) and not conn.closed
        return False

    async def _turn_away(self, conn: Connection, head: h11.Request, error: ShedError) -> None:
        """Answer at once, and only then let the body go by: it is never kept, nor awaited for long."""
        length = header(head, b"content-length")
        # A longer body than the protocol's, or one that tells no length: to let it go by might take for ever.
        bounded = header(head, b"transfer-encoding") is None and int(length or 0) <= MAX_BODY
        if not bounded or self.closing:
            return await self._reject(conn, error, True)
        self._rejections.labels(self.name, str(error.status)).inc()
        await respond(conn, error.status, self._error_body(error), error.headers)
        while conn.h11.their_state is h11.SEND_BODY and conn.event_now() is not None:
            pass
        if conn.h11.their_state is h11.SEND_BODY:
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
        for conn in self.active:
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
        self.parked.close(max(0, self.open - limit))
        for conn in [conn for conn in self.resting if _quiet(conn)][: max(0, self.open - limit)]:
            self._close(conn)
        self._gauge.set(self.open)

    def close_resting(self) -> None:
        """Close connections between requests, of those at rest so many at a time."""
        for conn in list(self.resting):
            if _quiet(conn):
                self._close(conn)
        self.parked.close(DRAIN_AT_ONCE)
        self._gauge.set(self.open)

    async def _close_idle(self) -> None:
        while True:
            await anyio.sleep(LOOK_S)
            until = anyio.current_time() - PARK_S
            for conn, since in list(self.resting.items()):
                if since > until:
                    break
                if not conn.paused:
                    conn.rest()
            while self.parked.sweep():
                self._gauge.set(self.open)
                await anyio.lowlevel.checkpoint()
            self._gauge.set(self.open)

    def _forget(self, conn: Connection) -> None:
        conn.release()
        self.active.discard(conn)
        self.resting.pop(conn, None)
        self.reading.pop(conn, None)

    def _close(self, conn: Connection) -> None:
        conn.close()
        self._forget(conn)
        self._left(conn.entry, conn.asked)
        self._closed["other"].inc()
        self._gauge.set(self.open)

    def _rest_ended(self, parked: Parked) -> None:
        self._left(parked.entry, parked.asked)
        self._closed["idle"].inc()

    def _left(self, entry: Entry | None, asked: bool) -> None:
        if entry is not None and self._doors is not None:
            self._doors.gone(entry, asked)


def _find_half_open(sock: socket.socket, keep_s: float) -> None:
    """Have the kernel look for peers that vanished: nobody speaks on a connection at rest for long."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, max(1, min(PROBE_S, int(keep_s / 2))))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_AGAIN_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNHEARD_MS)


def _quiet(conn: Connection) -> bool:
    """Whether no request may be waiting unread: that one would be owed an answer."""
    return conn.paused or not conn.readable()
