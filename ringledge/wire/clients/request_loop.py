"""Requests of one connection, read and answered one after another."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
import anyio.lowlevel
import h11

from ringledge.observe.logging import log
from ringledge.observe.metrics import Metrics
from ringledge.wire.clients.open_connections import CloseReason, OpenConnections
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import FloodError, HttpError, ParkingError, ShedError
from ringledge.wire.http.headers import header
from ringledge.wire.http.messages import MAX_BODY, read_body, respond

REQUEST_S = 2.5  # from a request's first byte, on a new connection from its opening, to its last byte
DRAIN_S = 1.0  # for the rest of a body whose request was turned away
PAUSE_S = 0.5  # before more is read from a client whose request was turned away: it may ask without end

Refused = Callable[[h11.Request], None]
Handler = Callable[[Connection, h11.Request], Awaitable[None]]
ErrorBody = Callable[[HttpError], bytes]


@dataclass(frozen=True, slots=True)
class Answering:
    """What requests of a front are answered by."""

    handler: Handler
    error_body: ErrorBody
    request_s: float = REQUEST_S
    refused: Refused | None = None  # told of each request that is answered 503 or 429 here
    keeps: Callable[[h11.Request], bool] | None = None  # whether one past the limit is served all the same
    quick: Callable[[Connection], int | None] | None = None  # turns one away, if it has to: bytes to come


class RequestLoop:
    """Reads requests of connections and has them answered."""

    def __init__(self, connections: OpenConnections, answering: Answering, metrics: Metrics) -> None:
        self._connections, self._answering = connections, answering
        self._rejections = metrics.rejections

    async def run(self, conn: Connection, crowded: bool, read_by: float) -> None:
        """Answer one request after another until the connection ends or rests; `crowded`: past the limit."""
        try:
            conn.read_by = read_by
            while await self._exchange(conn, crowded):
                conn.release()
                conn.asked = True
                self._connections.reading.pop(conn, None)
                self._connections.resting.setdefault(conn, anyio.current_time())
                conn.read_by = math.inf
        except ParkingError:
            self._connections.park(conn, crowded)
        except (OSError, anyio.ClosedResourceError, h11.LocalProtocolError) as error:
            log.debug("client_connection_lost", front=self._connections.name, error=str(error))
        except Exception as error:  # a fault of ours costs this connection, not all the others
            log.exception("connection_crashed", error, front=self._connections.name)
        finally:
            if conn in self._connections.active:
                self._connections.close_in_order(conn, CloseReason.ENDED)

    async def _exchange(self, conn: Connection, crowded: bool) -> bool:
        """Read one request and have it answered; False once the connection is through."""
        rejected, head = False, None
        try:
            if not conn.pending() and not await conn.fill():
                return False
            if conn.aged is not None:
                conn.aged(conn.unread_ms)
            if (to_come := self._turn_away_unread(conn)) is not None:
                return await self._let_go_by(conn, to_come)
            head = await self._head(conn)
            if head is None:
                return False
            if crowded:
                await self._need_room(conn, head)
            if self._connections.draining:
                await self._refuse_at_stop(conn, head)
            await self._answering.handler(conn, head)
        except ShedError as error:
            assert head is not None
            if self._answering.refused is not None:
                self._answering.refused(head)
            await self._turn_away(conn, head, error)
        except HttpError as error:
            rejected = True
            if head is not None and self._answering.refused is not None and error.status in (429, 503):
                self._answering.refused(head)
            closing = crowded or self._connections.closing or isinstance(error, FloodError)
            await self._reject(conn, error, closing)
        except h11.RemoteProtocolError as error:
            await self._reject(conn, HttpError(error.error_status_hint, str(error)), True)
        if conn.closed or not conn.next_cycle():
            return False
        if rejected:
            await self._pause(conn)
        # One more that came meanwhile is answered as well.
        return not conn.closed and (not self._connections.closing or conn.pending() or conn.readable())

    def _turn_away_unread(self, conn: Connection) -> int | None:
        """Turn a request away before it is parsed, if it has to be: bytes of its body to come."""
        quick = self._answering.quick
        return None if quick is None or self._connections.closing else quick(conn)

    async def _refuse_at_stop(self, conn: Connection, head: h11.Request) -> None:
        """HttpError for a request that is read in a drain: its stream might outlast the process."""
        await read_body(conn, head)  # half a request is none
        raise HttpError(503, "stopping, nothing has run", "stopping", headers=[(b"Retry-After", b"0")])

    async def _need_room(self, conn: Connection, head: h11.Request) -> None:
        """HttpError for a request past the limit that finds no place."""
        keeps, connections = self._answering.keeps, self._connections
        if (keeps is not None and keeps(head)) or not connections.full(conn):
            return
        await read_body(conn, head)  # half a request is none, and may have to make room itself
        log.rate_limited("connections_exhausted", front=connections.name, open=connections.open)
        raise HttpError(503, "too many connections", "overloaded", headers=[(b"Retry-After", b"1")])

    async def _head(self, conn: Connection) -> h11.Request | None:
        """The head of the request that has begun; HttpError where its body's end would be a guess."""
        self._connections.resting.pop(conn, None)
        self._connections.reading[conn] = None
        conn.read_by = min(conn.read_by, anyio.current_time() + self._answering.request_s)
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
        self._connections.resting.pop(conn, None)
        self._connections.reading[conn] = None
        with anyio.move_on_after(DRAIN_S):
            return await conn.skip(to_come) and not conn.closed
        return False

    async def _turn_away(self, conn: Connection, head: h11.Request, error: ShedError) -> None:
        """Answer at once, and only then let the body go by: it is never kept, nor awaited for long."""
        length = header(head, b"content-length")
        # A longer body than the protocol's, or one that tells no length: to let it go by might take for ever.
        bounded = header(head, b"transfer-encoding") is None and int(length or 0) <= MAX_BODY
        if not bounded or self._connections.closing:
            return await self._reject(conn, error, True)
        self._rejections.labels(self._connections.name, str(error.status)).inc()
        await respond(conn, error.status, self._answering.error_body(error), error.headers)
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
        self._connections.resting[conn] = anyio.current_time()
        conn.paused = True
        conn.deafen()
        await anyio.sleep(PAUSE_S)
        conn.paused = False

    async def _reject(self, conn: Connection, error: HttpError, closing: bool) -> None:
        """Answer bad input, which costs nobody else anything; unread input ends the connection."""
        self._rejections.labels(self._connections.name, str(error.status)).inc()
        name, reason = self._connections.name, error.reason[:200]
        log.rate_limited("request_rejected", front=name, status=error.status, reason=reason)
        if conn.closed or conn.h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return conn.close()
        closing = closing or conn.h11.their_state is not h11.DONE
        headers = [*error.headers, (b"Connection", b"close")] if closing else error.headers
        await respond(conn, error.status, self._answering.error_body(error), headers)
        if closing:
            self._connections.close_in_order(conn, CloseReason.REJECTED)
