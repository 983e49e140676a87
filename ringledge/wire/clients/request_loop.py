"""Reads the requests of a connection and has each of them answered before the next one is read."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
import h11

from ringledge.observe.logging import log
from ringledge.observe.metrics import Metrics
from ringledge.wire.clients.open_connections import CloseReason, OpenConnections
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import ConnectionIdleError, FloodError, HttpError, ShedError
from ringledge.wire.http.headers import header, header_bytes, without_unused_headers
from ringledge.wire.http.messages import MAX_BODY_BYTES, read_body, respond

# Limit for the time from a request's first byte, or the opening of a new connection, to its last byte.
REQUEST_TIMEOUT_S = 2.5
BODY_SKIP_TIMEOUT_S = 1.0  # for receiving the rest of a body whose request was shed
# Wait before the next read from a client whose request was rejected: it may send requests continuously.
REJECTION_PAUSE_S = 0.5
MAX_UNCOUNTED_HEAD_BYTES = 4 * 1024  # a longer head counts as part of its body, which is kept as long

OnRejected = Callable[[h11.Request], None]
Handler = Callable[[Connection, h11.Request], Awaitable[None]]
ErrorBody = Callable[[HttpError], bytes]


@dataclass(frozen=True, slots=True)
class RequestHandling:
    """How the requests of a front are answered.

    `on_rejected` is called with each request that is answered 503 or 429 by the loop itself;
    `exempt_from_limit` returns whether a request is served although its connection exceeds the limit;
    `reject_early` may reject a request before it is parsed, and then returns how many bytes of its body are
    still to be received.
    """

    handler: Handler
    error_body: ErrorBody
    request_timeout_s: float = REQUEST_TIMEOUT_S
    on_rejected: OnRejected | None = None
    exempt_from_limit: Callable[[h11.Request], bool] | None = None
    reject_early: Callable[[Connection], int | None] | None = None


class RequestLoop:
    """Reads the requests of a front's connections and calls the handler for each."""

    def __init__(self, connections: OpenConnections, handling: RequestHandling, metrics: Metrics) -> None:
        self._connections = connections
        self._handling = handling
        self._rejections = metrics.rejections
        self._pipelined = metrics.pipelined.labels(connections.name)

    async def run(self, conn: Connection, over_limit: bool, read_deadline_s: float) -> None:
        """Answer one request after another until the connection is closed or becomes idle.

        `read_deadline_s`: when, on the event loop's clock, the first request has to be complete.
        """
        try:
            conn.read_deadline_s = read_deadline_s
            while await self._exchange(conn, over_limit):
                conn.memory.release_body()
                conn.had_request = True
                self._connections.reading.pop(conn, None)
                self._connections.between_requests.setdefault(conn, anyio.current_time())
                conn.read_deadline_s = math.inf
        except ConnectionIdleError:
            self._connections.make_idle(conn, over_limit)
        except (OSError, anyio.ClosedResourceError, h11.LocalProtocolError) as error:
            log.debug("client_connection_lost", front=self._connections.name, error=str(error))
        except Exception as error:  # a bug in this process affects one connection only
            log.exception("connection_crashed", error, front=self._connections.name)
        finally:
            if conn in self._connections.active:
                self._connections.close_gracefully(conn, CloseReason.ENDED)

    async def _exchange(self, conn: Connection, over_limit: bool) -> bool:
        """Read one request and have it answered; return whether another one is to be read."""
        rejected, head = False, None
        try:
            if conn.has_unparsed_bytes():
                self._pipelined.inc()
            if not await conn.wait_for_message():
                return False
            if conn.on_queue_delay is not None:
                conn.on_queue_delay(conn.unread_ms)
            remaining_bytes = self._reject_early(conn)
            if remaining_bytes is not None:
                return await self._skip_body(conn, remaining_bytes)
            head = await self._read_head(conn)
            if head is None:
                return False
            if over_limit:
                await self._require_capacity(conn, head)
            if self._connections.draining:
                await self._reject_while_draining(conn, head)
            await self._handling.handler(conn, head)
        except ShedError as error:
            assert head is not None
            if self._handling.on_rejected is not None:
                self._handling.on_rejected(head)
            await self._shed(conn, head, error)
        except HttpError as error:
            rejected = True
            if head is not None and self._handling.on_rejected is not None and error.status in (429, 503):
                self._handling.on_rejected(head)
            closing = over_limit or self._connections.closing or isinstance(error, FloodError)
            await self._reject(conn, error, closing)
        except h11.RemoteProtocolError as error:
            await self._reject(conn, HttpError(error.error_status_hint, str(error)), True)
        if conn.closed or not conn.next_cycle():
            return False
        if rejected:
            await self._pause(conn)
        # While closing, a request that has already arrived is answered as well.
        return not conn.closed and (
            not self._connections.closing or conn.has_unparsed_bytes() or conn.readable()
        )

    def _reject_early(self, conn: Connection) -> int | None:
        """Reject a request before it is parsed if the front wants that; return its body's remaining bytes.

        Returns None for a request that was not rejected.
        """
        reject_early = self._handling.reject_early
        if reject_early is None or self._connections.closing:
            return None
        return reject_early(conn)

    async def _reject_while_draining(self, conn: Connection, head: h11.Request) -> None:
        """Raise HttpError for a request that is read in a drain: its stream might outlast the process."""
        await read_body(conn, head)  # only a complete request is answered
        raise HttpError(503, "stopping, nothing has run", "stopping", headers=[(b"Retry-After", b"0")])

    async def _require_capacity(self, conn: Connection, head: h11.Request) -> None:
        """Raise HttpError past the connection limit, unless the request is exempt or another is evicted."""
        connections = self._connections
        is_exempt = self._handling.exempt_from_limit
        if (is_exempt is not None and is_exempt(head)) or not connections.is_over_limit(conn):
            return
        await read_body(conn, head)  # only a complete request is answered; an incomplete one may be evicted
        log.rate_limited("connections_exhausted", front=connections.name, open=connections.open)
        raise HttpError(503, "too many connections", "overloaded", headers=[(b"Retry-After", b"1")])

    async def _read_head(self, conn: Connection) -> h11.Request | None:
        """Read the head of a request, None if there is none; HttpError if the body's end is ambiguous."""
        self._connections.between_requests.pop(conn, None)
        self._connections.reading[conn] = None
        conn.read_deadline_s = min(
            conn.read_deadline_s, anyio.current_time() + self._handling.request_timeout_s
        )
        head = conn.next_event_nowait()
        if head is None:
            with anyio.CancelScope(deadline=conn.read_deadline_s) as slow:
                head = await conn.next_event()
            if slow.cancelled_caught:
                raise HttpError(408, "the request did not come in time", "timeout")
        if not isinstance(head, h11.Request):
            return None
        if header(head, b"transfer-encoding") and (
            header(head, b"content-length") or head.http_version < b"1.1"
        ):  # request smuggling: a peer that uses the other header finds a second request in the body
            raise HttpError(400, "Transfer-Encoding with Content-Length or HTTP/1.0")
        head = without_unused_headers(head)
        if (size := header_bytes(head)) > MAX_UNCOUNTED_HEAD_BYTES:
            conn.memory.reserve_body(size)
        return head

    async def _skip_body(self, conn: Connection, remaining_bytes: int) -> bool:
        """Read and discard the rest of a rejected request's body; return whether it arrived in time."""
        if not remaining_bytes:
            return not conn.closed
        self._connections.between_requests.pop(conn, None)
        self._connections.reading[conn] = None
        with anyio.move_on_after(BODY_SKIP_TIMEOUT_S):
            return await conn.skip(remaining_bytes) and not conn.closed
        return False

    async def _shed(self, conn: Connection, head: h11.Request, error: ShedError) -> None:
        """Answer immediately, then discard the body, which is never buffered nor awaited for long."""
        length = header(head, b"content-length")
        # A body over the size limit or without a length could take arbitrarily long to discard.
        bounded = header(head, b"transfer-encoding") is None and int(length or 0) <= MAX_BODY_BYTES
        if not bounded or self._connections.closing:
            await self._reject(conn, error, True)
            return
        self._rejections.labels(self._connections.name, str(error.status)).inc()
        await respond(conn, error.status, self._handling.error_body(error), error.headers)
        while conn.h11.their_state is h11.SEND_BODY and conn.next_event_nowait() is not None:
            pass
        if conn.h11.their_state is h11.SEND_BODY:
            with anyio.move_on_after(BODY_SKIP_TIMEOUT_S):
                while conn.h11.their_state is h11.SEND_BODY:
                    await conn.next_event()
        if conn.h11.their_state is not h11.DONE:
            conn.close()
        # No pause, since the connection may also carry other callers' requests.

    async def _pause(self, conn: Connection) -> None:
        """Read nothing for a while from a client that was rejected: its next request would cost as much."""
        self._connections.between_requests[conn] = anyio.current_time()
        conn.paused = True
        conn.pause_reading()
        await anyio.sleep(REJECTION_PAUSE_S)
        conn.paused = False

    async def _reject(self, conn: Connection, error: HttpError, closing: bool) -> None:
        """Send an error response; the connection is closed if the request was not read completely."""
        self._rejections.labels(self._connections.name, str(error.status)).inc()
        name, reason = self._connections.name, error.reason[:200]
        log.rate_limited("request_rejected", front=name, status=error.status, reason=reason)
        if conn.closed or conn.h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            conn.close()
            return
        closing = closing or conn.h11.their_state is not h11.DONE
        headers = [*error.headers, (b"Connection", b"close")] if closing else error.headers
        await respond(conn, error.status, self._handling.error_body(error), headers)
        if closing:
            self._connections.close_gracefully(conn, CloseReason.REJECTED)
