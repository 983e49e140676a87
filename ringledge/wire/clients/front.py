"""A front's listener: accepts a bounded number of connections and starts reading requests from them."""

from __future__ import annotations

import errno
import math
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

import anyio
import anyio.abc
import h11

from ringledge.observe.logging import log
from ringledge.observe.metrics import Metrics
from ringledge.structures.transient_errors import CLIENT_DISCONNECTED
from ringledge.wire.clients.idle_connections import IdleConnection, has_unread_bytes, nothing_readable
from ringledge.wire.clients.open_connections import IDLE_TIMEOUT_S, OpenConnections
from ringledge.wire.clients.request_loop import RequestHandling, RequestLoop
from ringledge.wire.http.arrival_times import ArrivalTimes
from ringledge.wire.http.body_memory import BodyMemory, ConnectionMemory
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.socket_reader import unread_ms
from ringledge.wire.http.sockets import enable_keepalive
from ringledge.wire.http.turn_queue import TurnQueue

if TYPE_CHECKING:
    from ringledge.decide.connections.admission import AdmittedConnection, ConnectionAdmission

EVICTION_BATCH_SIZE = 16  # idle connections that are closed at a time when descriptors run out
SEND_BUFFER_BYTES = 64 * 1024  # response data that the kernel may buffer, where memory is limited
MAX_BACKLOG_ACCEPTS = 1024  # maximum number of connections that are accepted from the backlog at shutdown
BACKLOG_TIMEOUT_S = 1.0  # time limit for the backlog while accepting fails, e.g. for lack of descriptors
MIN_READ_TIMEOUT_S = 1.0  # minimum time for reading a request, however long it waited in the backlog
ACCEPT_RETRY_S = 0.05  # delay after a failure that closing connections could not resolve
ACCEPTS_PER_TURN = 16  # connections accepted before the event loop serves other tasks


@dataclass(frozen=True, slots=True)
class FrontOptions:
    """The name and the limits of a front.

    `name` labels its metrics and log lines; `connection_limit` applies to open connections in any state;
    `accepts_per_turn` are accepted before other tasks run; `turns` order input that clients have sent ahead.
    """

    name: str
    connection_limit: int
    accepts_per_turn: int = ACCEPTS_PER_TURN
    turns: TurnQueue = field(default_factory=TurnQueue)


class Front:
    """Accepts a bounded number of connections and starts reading requests from them.

    Invariant: only `serve` closes the listening socket, and only after accepting the connections in its
    backlog, unless a successor process accepts from the same socket.
    """

    def __init__(
        self,
        options: FrontOptions,
        handling: RequestHandling,
        body_memory: BodyMemory,
        metrics: Metrics,
        admission: ConnectionAdmission | None = None,
        on_queue_delay: Callable[[float], None] | None = None,
    ) -> None:
        """`on_queue_delay` is called for each request with the ms for which it was unread in its socket."""
        self.name = options.name
        self._accepts_per_turn = options.accepts_per_turn
        self._turns = options.turns
        self._request_timeout_s = handling.request_timeout_s
        self._body_memory = body_memory
        self._admission = admission
        self._denied_counter = metrics.doors
        self._on_queue_delay = on_queue_delay
        limit = options.connection_limit
        self.connections = OpenConnections(options.name, limit, self._on_readable, metrics, admission)
        self._requests = RequestLoop(self.connections, handling, metrics)
        self._tasks: anyio.abc.TaskGroup | None = None  # set by `serve`
        self.serving = False  # `serve` has begun to accept
        self._stopped = False  # drained: no connection is accepted any more
        self._is_sole_acceptor = True  # no other process accepts from the listening socket
        self._accept_scope = anyio.CancelScope()
        self._reopened = anyio.Event()

    @property
    def open(self) -> int:
        """The number of open connections: active, idle and closing."""
        return self.connections.open

    async def serve(self, listener: socket.socket, tasks: anyio.abc.TaskGroup) -> None:
        """Accept connections until drained, except while a successor does; then close the listener."""
        self._tasks = tasks
        tasks.start_soon(self.connections.close_idle)
        self.serving = True
        while not self._stopped:
            with anyio.CancelScope() as self._accept_scope:
                await self._accept(listener)
            if not self._stopped:
                await self._reopened.wait()
        if self._is_sole_acceptor:
            await self._accept_backlog(listener)
        listener.close()

    async def _accept_backlog(self, listener: socket.socket) -> None:
        """Accept the connections in the backlog, which closing the listening socket would reset."""
        deadline_s = anyio.current_time() + BACKLOG_TIMEOUT_S
        for _ in range(MAX_BACKLOG_ACCEPTS):
            try:
                self._admit(*listener.accept())
            except BlockingIOError:
                return
            except OSError as error:  # the other connections in the backlog still have to be answered
                if anyio.current_time() >= deadline_s:
                    log.error("accept_failed", front=self.name, error=str(error))
                    return
                if error.errno not in CLIENT_DISCONNECTED:
                    self._free_descriptors()
                    await anyio.sleep(ACCEPT_RETRY_S)

    async def _accept(self, listener: socket.socket) -> None:
        while True:
            await anyio.wait_readable(listener)
            try:
                for _ in range(self._accepts_per_turn):
                    self._admit(*listener.accept())
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                continue
            except OSError as error:
                # Out of descriptors: without evicting idle connections, no new client would be served.
                if error.errno in (errno.EMFILE, errno.ENFILE) and self._free_descriptors():
                    log.rate_limited(
                        "idle_connections_evicted", front=self.name, parked=len(self.connections.idle)
                    )
                    continue
                log.error("accept_failed", front=self.name, error=str(error))
                await anyio.sleep(ACCEPT_RETRY_S)

    def _free_descriptors(self) -> int:
        """Close some connections that are owed no response; return how many."""
        connections = self.connections
        lingering = connections.lingering.close(EVICTION_BATCH_SIZE)
        return lingering or connections.idle.evict_oldest(EVICTION_BATCH_SIZE)

    def _admit(self, sock: socket.socket, address: tuple[str, int] | str) -> None:
        """Admit a new connection; up to an eighth more than the limit are admitted to be answered 503."""
        admission_record: AdmittedConnection | None = None
        if self._admission is not None and not isinstance(address, str):
            decision = self._admission.admit(time.monotonic() * 1000, address[0])
            if isinstance(decision, Enum):
                self._deny(sock, address[0], decision)
                return
            admission_record = decision
        connections = self.connections
        if connections.open >= connections.limit:
            connections.evict_one()
        if connections.open >= connections.limit + max(1, connections.limit // 8):
            log.rate_limited("connection_rejected", front=self.name, open=self.open)
            connections.record_disconnect(admission_record, False)
            sock.close()  # immediately, rather than leaving it in the backlog to no purpose
            return
        self._configure(sock, admission_record)
        over_limit = connections.open >= connections.limit
        new = IdleConnection(sock, anyio.current_time(), False, over_limit, admission_record)
        if has_unread_bytes(sock):
            new.since_s -= min(unread_ms(sock) / 1000, max(0.0, self._request_timeout_s - MIN_READ_TIMEOUT_S))
            self._on_readable(new)
        else:  # a connection on which nothing was sent needs no task and no buffer, e.g. in a flood
            connections.idle.add(new, IDLE_TIMEOUT_S)
        connections.update_gauge()

    def _deny(self, sock: socket.socket, address: str, reason: Enum) -> None:
        """Close a connection that connection admission rejected."""
        self._denied_counter.labels(self.name, reason.value).inc()
        log.rate_limited("connection_denied", front=self.name, address=address, why=reason.value)
        sock.close()

    def _configure(self, sock: socket.socket, admission_record: AdmittedConnection | None) -> None:
        """Set the options of an accepted socket."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._on_queue_delay is not None:  # the kernel's buffer for a slow client takes memory, too
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        if admission_record is not None:
            enable_keepalive(sock, admission_record.idle_timeout_s)

    def _on_readable(self, idle: IdleConnection) -> None:
        """Activate an idle connection with a parser, a buffer and a task; close it if its peer has closed."""
        connections, sock = self.connections, idle.sock
        if nothing_readable(sock):  # a spurious wake-up
            connections.idle.add(idle, IDLE_TIMEOUT_S)
            return
        if not has_unread_bytes(sock):
            sock.close()
            connections.record_disconnect(idle.admission_record, idle.had_request)
            connections.update_gauge()
            return
        conn = self._activate(idle)
        connections.active.add(conn)
        connections.between_requests[conn] = anyio.current_time()
        read_deadline_s = math.inf if idle.had_request else idle.since_s + self._request_timeout_s
        assert self._tasks is not None
        self._tasks.start_soon(self._requests.run, conn, idle.over_limit, read_deadline_s)

    def _activate(self, idle: IdleConnection) -> Connection:
        """Create a connection with a parser on an idle connection's socket."""
        conn = Connection(idle.sock, h11.SERVER)
        conn.memory = ConnectionMemory(self._body_memory)
        conn.turns = self._turns
        conn.closes_after_answer = self.connections.closing
        conn.on_queue_delay = self._on_queue_delay
        conn.had_request = idle.had_request
        conn.admission_record = idle.admission_record
        conn.arrival_times = ArrivalTimes()
        record, admission = idle.admission_record, self._admission
        if record is not None and admission is not None and admission.advertise_keep_alive:
            conn.keep_alive = b"timeout=%d" % record.idle_timeout_s
        return conn

    def drain(self) -> None:
        """Stop accepting, close idle connections, and close every other one after its response.

        The closed listener refuses later connections: clients that keep reconnecting would otherwise keep the
        process from exiting.
        """
        self._stopped = True
        self._accept_scope.cancel()
        self._reopened.set()
        self.connections.drain()

    def yield_to_successor(self) -> None:
        """Stop accepting in favour of a successor; each connection is closed after its next response."""
        self._reopened = anyio.Event()
        self._is_sole_acceptor = False
        self._accept_scope.cancel()
        self.connections.end_with_answers(True)

    def reopen(self) -> None:
        """Accept again, after a successor has ended."""
        self._is_sole_acceptor = True
        if self._stopped:
            return
        self.connections.end_with_answers(False)
        self._reopened.set()
