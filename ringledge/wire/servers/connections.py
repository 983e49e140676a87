"""Lines to servers: kept connections and new ones, and small exchanges without a body over them."""

from __future__ import annotations

import time

import anyio
import h11

from ringledge.core.clock import Clock
from ringledge.decide.servers.connect_timeout import ConnectTimeout
from ringledge.decide.servers.reachability import Reachability
from ringledge.memory.connection_pool import ConnectionPool
from ringledge.memory.names import Names
from ringledge.observe.logging import log
from ringledge.observe.metrics import Metrics
from ringledge.routing.interface import (
    AttemptStatus,
    ProbeResult,
)
from ringledge.structures.transient_errors import NO_LOCAL_PATH
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.errors import PEER_ERRORS
from ringledge.wire.http.headers import Headers, header
from ringledge.wire.http.messages import read_body
from ringledge.wire.http.sockets import LocalError, connect
from ringledge.wire.servers.responses import answer_head, load_report, reusable

PROBE_S = 1.0  # a probe that takes longer tells no more than that


class Lines:
    """Connections to servers, one exchange at a time on each; what comes up tells who can be reached."""

    def __init__(
        self, names: Names, sockets: int, clock: Clock, reach: Reachability, metrics: Metrics
    ) -> None:
        # Idle connections go well before the server would close them (half its time).
        self.pool: ConnectionPool[Connection] = ConnectionPool(sockets, names.keepalive_s / 2, metrics)
        self._connect_timeout = ConnectTimeout(names.connect_timeout_s)
        self._clock, self.reach = clock, reach

    def connect_s(self) -> float:
        """How long a connection may take to come up."""
        return self._connect_timeout.timeout_s()

    async def take(self, server: str, address: str, connect_s: float, once: bool = False) -> Connection:
        """An idle connection or a new one; OSError or TimeoutError where none comes up."""
        conn = self.pool.acquire(address, once)
        return conn or await self.open(server, address, connect_s)

    async def open(self, server: str, address: str, connect_s: float) -> Connection:
        """A new connection; OSError or TimeoutError where none comes up."""
        if not self.pool.reserve():
            log.error("server_sockets_exhausted", limit=self.pool.limit)
            raise OSError("no socket left")
        began = time.monotonic()
        try:
            conn = await connect(address, connect_s)
        except BaseException as error:
            self.pool.cancel_reservation()
            if isinstance(error, ConnectionRefusedError):
                self.reach.record_refusal(server, self._clock.now_ms())
            elif isinstance(error, TimeoutError) or (
                isinstance(error, LocalError) and error.errno in NO_LOCAL_PATH
            ):  # no route to it for so long is as good as silence
                self.reach.record_timeout(server, self._clock.now_ms())
            raise
        self._connect_timeout.record_connection(time.monotonic() - began)
        self.reach.record_connection(server, self._clock.now_ms())
        return conn

    async def call(self, server: str, address: str, method: bytes, path: bytes) -> tuple[h11.Response, bytes]:
        """One small exchange without a body."""
        conn = await self.take(server, address, self.connect_s())
        again = False
        try:
            told: Headers = [(b"Host", address.encode())]
            await conn.send(h11.Request(method=method, target=path, headers=told), h11.EndOfMessage())
            head = await answer_head(conn)
            body = await read_body(conn, head)
            again = reusable(conn)
            return head, body
        finally:
            if again:
                self.pool.release(address, conn)
            else:
                self.pool.discard(conn)

    async def probe(self, server: str, address: str | None) -> ProbeResult:
        """Ask for the load report."""
        sent = time.monotonic()
        status, load = AttemptStatus.CONNECT_FAILED, None
        if address is not None:
            try:
                with anyio.fail_after(PROBE_S):
                    head, body = await self.call(server, address, b"GET", b"/status/load")
                status = AttemptStatus.OK if head.status_code == 200 else AttemptStatus.ERROR
                load = load_report(body) or load_report(header(head, b"x-load-report"))
            except TimeoutError:
                status = AttemptStatus.TIMEOUT
            except PEER_ERRORS as error:
                log.info("probe_failed", server=server, error=str(error))
        return ProbeResult(server, status, (time.monotonic() - sent) * 1000, load)

    async def retire_idle(self) -> None:
        """Close idle connections in time."""
        while True:
            await anyio.sleep(1.0)
            self.pool.close_idle()
