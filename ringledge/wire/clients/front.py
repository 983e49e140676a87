"""A front: accepts connections, bounded in number, and has requests read from them one after another."""

from __future__ import annotations

import errno
import math
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
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
from ringledge.wire.http.body_memory import BodyMemory
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.socket_reader import unread_ms
from ringledge.wire.http.sockets import enable_keepalive

if TYPE_CHECKING:
    from ringledge.decide.connections.admission import AdmittedConnection, ConnectionAdmission

EVICTED_AT_ONCE = 16  # connections at rest that are closed when descriptors run out
SEND_BUFFER_BYTES = 64 * 1024  # of an answer that the kernel may hold, where memory is watched
MAX_BACKLOG_ACCEPTS = 1024  # new connections that are taken at a stop, at most
BACKLOG_TIMEOUT_S = 1.0  # in which they are, while the system has nothing for them
MIN_READ_TIMEOUT_S = 1.0  # that a request may still take to be read, however long it lay in the backlog
ACCEPT_RETRY_S = 0.05  # behind a failure that closing nothing mends
ACCEPTS_PER_TURN = 16  # new connections before others get their turn


@dataclass(frozen=True, slots=True)
class FrontOptions:
    """What bounds a front.

    `name` labels its metrics and log lines; `connection_limit` counts open connections of all states;
    `accepts_per_turn` new connections are accepted before the event loop serves others.
    """

    name: str
    connection_limit: int
    accepts_per_turn: int = ACCEPTS_PER_TURN


class Front:
    """Accepts connections, bounded in number, and has requests read from them one after another.

    Invariant: the listening socket is closed by `serve` alone, and only after what waits in its backlog was
    accepted, unless a successor process accepts at the same socket.
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
        """`on_queue_delay` is called with the ms that each request lay unread in its socket."""
        self.name = options.name
        self._accepts_per_turn = options.accepts_per_turn
        self._request_timeout_s = handling.request_timeout_s
        self._body_memory = body_memory
        self._admission = admission
        self._denied = metrics.doors
        self._on_queue_delay = on_queue_delay
        self.connections = OpenConnections(
            options.name, options.connection_limit, self._on_readable, metrics, admission
        )
        self._requests = RequestLoop(self.connections, handling, metrics)
        self._tasks: anyio.abc.TaskGroup | None = None  # set while it serves
        self.serving = False  # it accepts
        self._stopped = False  # and never will again
        self._sole = True  # no other process accepts here
        self._accepting = anyio.CancelScope()
        self._reopened = anyio.Event()

    @property
    def open(self) -> int:
        """How many connections there are, active, idle and closing."""
        return self.connections.open

    async def serve(self, listener: socket.socket, tasks: anyio.abc.TaskGroup) -> None:
        """Accept in `tasks` until drained, paused while a successor accepts; then close the listener."""
        self._tasks = tasks
        tasks.start_soon(self.connections.close_idle)
        self.serving = True
        while not self._stopped:
            with anyio.CancelScope() as self._accepting:
                await self._accept(listener)
            if not self._stopped:
                await self._reopened.wait()
        if self._sole:
            await self._accept_backlog(listener)
        listener.close()

    async def _accept_backlog(self, listener: socket.socket) -> None:
        """Accept what waits in the backlog: it would be reset with the listening socket."""
        until_s = anyio.current_time() + BACKLOG_TIMEOUT_S
        for _ in range(MAX_BACKLOG_ACCEPTS):
            try:
                self._admit(*listener.accept())
            except BlockingIOError:
                return
            except OSError as error:  # those behind it in the backlog are owed an answer all the same
                if anyio.current_time() >= until_s:
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
                # Out of descriptors: idle connections are evicted, or no new client would ever be served.
                if error.errno in (errno.EMFILE, errno.ENFILE) and self._free_descriptors():
                    log.rate_limited(
                        "idle_connections_evicted", front=self.name, parked=len(self.connections.idle)
                    )
                    continue
                log.error("accept_failed", front=self.name, error=str(error))
                await anyio.sleep(ACCEPT_RETRY_S)

    def _free_descriptors(self) -> int:
        """Close some connections that are owed nothing; how many."""
        connections = self.connections
        lingering = connections.lingering.close(EVICTED_AT_ONCE)
        return lingering or connections.idle.evict_oldest(EVICTED_AT_ONCE)

    def _admit(self, sock: socket.socket, address: tuple[str, int] | str) -> None:
        """Admit a new connection; up to an eighth past the limit, only to be answered 503."""
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
            sock.close()  # at once: in the backlog it would wait for nothing
            return
        self._configure(sock, admission_record)
        over_limit = connections.open >= connections.limit
        new = IdleConnection(sock, anyio.current_time(), False, over_limit, admission_record)
        if has_unread_bytes(sock):
            new.since_s -= min(unread_ms(sock) / 1000, max(0.0, self._request_timeout_s - MIN_READ_TIMEOUT_S))
            self._on_readable(new)
        else:  # a flood that opens connections and sends nothing costs no task and no buffer
            connections.idle.add(new, IDLE_TIMEOUT_S)
        connections.update_gauge()

    def _deny(self, sock: socket.socket, address: str, reason: Enum) -> None:
        """Close a connection that connection admission rejected."""
        self._denied.labels(self.name, reason.value).inc()
        log.rate_limited("connection_denied", front=self.name, address=address, why=reason.value)
        sock.close()

    def _configure(self, sock: socket.socket, admission_record: AdmittedConnection | None) -> None:
        """Set the options of an accepted socket."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._on_queue_delay is not None:  # what the kernel buffers for a slow client is memory, too
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        if admission_record is not None:
            enable_keepalive(sock, admission_record.idle_timeout_s)

    def _on_readable(self, idle: IdleConnection) -> None:
        """Give an idle connection a parser, a buffer and a task, or close it where its peer has."""
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
        """A connection with a parser on an idle connection's socket."""
        conn = Connection(idle.sock, h11.SERVER)
        conn.body_memory = self._body_memory
        conn.closes_after_answer = self.connections.closing
        conn.on_queue_delay = self._on_queue_delay
        conn.had_request = idle.had_request
        conn.admission_record = idle.admission_record
        conn.arrival_times = ArrivalTimes()
        if (
            idle.admission_record is not None
            and self._admission is not None
            and self._admission.advertise_keep_alive
        ):
            conn.keep_alive = b"timeout=%d" % idle.admission_record.idle_timeout_s
        return conn

    def drain(self) -> None:
        """Stop accepting, close idle connections, and end every other one with its answer.

        Later connections are refused by the closed listener: clients that reconnected again and again would
        keep the process from its end.
        """
        self._stopped = True
        self._accepting.cancel()
        self._reopened.set()
        self.connections.drain()

    def yield_to_successor(self) -> None:
        """A successor accepts now; here each connection ends with its next answer, not before it."""
        self._reopened = anyio.Event()
        self._sole = False
        self._accepting.cancel()
        self.connections.end_with_answers(True)

    def reopen(self) -> None:
        """Accept again, after a successor has ended."""
        self._sole = True
        if self._stopped:
            return
        self.connections.end_with_answers(False)
        self._reopened.set()
