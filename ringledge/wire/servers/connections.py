"""Pooled and new connections to servers, and small exchanges without a request body over them."""

from __future__ import annotations

import time

import anyio
import h11

from ringledge.decide.servers.connect_timeout import ConnectTimeout
from ringledge.decide.servers.reachability import Reachability
from ringledge.memory.connection_pool import ConnectionPool
from ringledge.observe.logging import log
from ringledge.routing.interface import (
    AttemptStatus,
    LoadReport,
    ProbeResult,
)
from ringledge.structures.transient_errors import NO_LOCAL_PATH
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import PEER_ERRORS
from ringledge.wire.http.headers import Headers, header
from ringledge.wire.http.sockets import LocalConnectError, connect
from ringledge.wire.servers.context import UpstreamContext
from ringledge.wire.servers.responses import (
    is_reusable,
    parse_load_report,
    read_report,
    read_response_head,
)

PROBE_TIMEOUT_S = 1.0  # a later response is no more useful than a time-out
EXPIRY_INTERVAL_S = 1.0


class ServerConnections:
    """Connections to servers, each with one exchange at a time; records which servers are reachable."""

    def __init__(self, context: UpstreamContext, reachability: Reachability) -> None:
        names = context.names
        # Idle connections are closed after half the server's keep-alive timeout: well before the server does.
        self.pool: ConnectionPool[Connection] = ConnectionPool(
            context.max_connections, names.keepalive_s / 2, context.metrics
        )
        self.reachability = reachability
        self._connect_timeout = ConnectTimeout(names.connect_timeout_s)
        self._clock = context.clock

    def connect_timeout_s(self) -> float:
        """How long a new connection may take to be established."""
        return self._connect_timeout.timeout_s()

    async def acquire(
        self, server: str, address: str, timeout_s: float, at_most_once: bool = False
    ) -> Connection:
        """Take an idle connection or open a new one; OSError or TimeoutError if that fails.

        `at_most_once`: the request must not run twice, so that only a trusted idle connection is reused.
        """
        conn = self.pool.acquire(address, at_most_once)
        return conn or await self.open(server, address, timeout_s)

    async def open(self, server: str, address: str, timeout_s: float) -> Connection:
        """Open a new connection; OSError or TimeoutError if that fails."""
        if not self.pool.reserve():
            log.error("server_sockets_exhausted", limit=self.pool.limit)
            raise OSError("connection limit reached")
        started_s = time.monotonic()
        try:
            conn = await connect(address, timeout_s)
        except BaseException as error:
            self.pool.cancel_reservation()
            self._record_connect_error(server, error)
            raise
        self._connect_timeout.record_connection(time.monotonic() - started_s)
        self.reachability.record_connection(server, self._clock.now_ms())
        return conn

    async def call(self, server: str, address: str, method: bytes, path: bytes) -> tuple[h11.Response, bytes]:
        """Make an exchange without a request body; returns the head and the body of the response."""
        conn = await self.acquire(server, address, self.connect_timeout_s())
        reuse = False
        try:
            headers: Headers = [(b"Host", address.encode())]
            await conn.send(h11.Request(method=method, target=path, headers=headers), h11.EndOfMessage())
            head = await read_response_head(conn)
            body = await read_report(conn, head)
            reuse = is_reusable(conn)
            return head, body
        finally:
            self.give_back(address, conn, reuse, carried_request=False)

    def give_back(self, address: str, conn: Connection, reuse: bool, carried_request: bool = True) -> None:
        """Return an acquired connection to the pool, or close it."""
        if reuse:
            self.pool.release(address, conn, carried_request)
        else:
            self.pool.discard(conn)

    async def probe(self, server: str, address: str | None) -> ProbeResult:
        """Request a server's load report, as a health check."""
        started_s = time.monotonic()
        status = AttemptStatus.CONNECT_FAILED
        load: LoadReport | None = None
        if address is not None:
            try:
                with anyio.fail_after(PROBE_TIMEOUT_S):
                    head, body = await self.call(server, address, b"GET", b"/status/load")
                status = AttemptStatus.OK if head.status_code == 200 else AttemptStatus.ERROR
                load = parse_load_report(body) or parse_load_report(header(head, b"x-load-report"))
            except TimeoutError:
                status = AttemptStatus.TIMEOUT
            except PEER_ERRORS as error:
                log.info("health_check_failed", server=server, error=str(error))
        return ProbeResult(server, status, (time.monotonic() - started_s) * 1000, load)

    async def close_expired(self) -> None:
        """Close expired idle connections at an interval; runs until cancelled."""
        while True:
            await anyio.sleep(EXPIRY_INTERVAL_S)
            self.pool.close_idle()

    def _record_connect_error(self, server: str, error: BaseException) -> None:
        if isinstance(error, ConnectionRefusedError):
            self.reachability.record_refusal(server, self._clock.now_ms())
        elif isinstance(error, TimeoutError) or (
            isinstance(error, LocalConnectError) and error.errno in NO_LOCAL_PATH
        ):
            # A server to which there is no route for the whole timeout is unreachable, as after a time-out.
            self.reachability.record_timeout(server, self._clock.now_ms())
