"""A front: accepts connections, bounded in number, and has requests read from them one after another."""

from __future__ import annotations

import errno
import math
import socket
import time
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING

import anyio
import anyio.abc
import h11

from ringledge.observe.logging import log
from ringledge.observe.metrics import Metrics
from ringledge.structures.transient_errors import CLIENT_DISCONNECTED
from ringledge.wire.clients.idle_connections import Parked, silent, speaks
from ringledge.wire.clients.open_connections import IDLE_S, OpenConnections
from ringledge.wire.clients.request_loop import REQUEST_S, Answering, ErrorBody, Handler, Refused, RequestLoop
from ringledge.wire.http.arrival_times import ArrivalMarks
from ringledge.wire.http.body_memory import Budget
from ringledge.wire.http.connection import Connection
from ringledge.wire.http.socket_reader import unread_ms
from ringledge.wire.http.sockets import find_half_open

if TYPE_CHECKING:
    from ringledge.decide.connections.admission import Doors, Entry

GIVE_WAY = 16  # connections at rest that are closed when descriptors run out
SEND_BYTES = 64 * 1024  # of an answer that the kernel may hold, where memory is watched
BACKLOG = 1024  # new connections that are taken at a stop, at most
WAITING_S = 1.0  # in which they are, while the system has nothing for them
LEAST_READ_S = 1.0  # that a request may still take to be read, however long it lay in the backlog
ACCEPT_AGAIN_S = 0.05  # behind a failure that closing nothing mends
ACCEPT_AT_ONCE = 16  # new connections before others get their turn


class Front:
    """Accepts connections, bounded in number, and has requests read from them one after another."""

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
        """`aged` is told how long each request lay unread; for the rest see `Answering`."""
        self.name, self._budget, self._request_s, self._at_once = name, budget, request_s, at_once
        self._doors, self._doors_metric, self._aged = doors, metrics.doors, aged
        self.connections = OpenConnections(name, limit, self._wake, metrics, doors)
        answering = Answering(handler, error_body, request_s, refused, keeps, quick)
        self._requests = RequestLoop(self.connections, answering, metrics)
        self.serving = False  # it accepts
        self._stopped = False  # and never will again
        self._sole = True  # no other process accepts here
        self._accepting, self._reopened = anyio.CancelScope(), anyio.Event()

    @property
    def open(self) -> int:
        """How many connections there are, at rest or not."""
        return self.connections.open

    async def serve(self, listener: socket.socket, tasks: anyio.abc.TaskGroup) -> None:
        """Accept until stopped, save while another process does; then the listening socket is closed."""
        self._tasks = tasks
        tasks.start_soon(self.connections.close_idle)
        self.serving = True
        while not self._stopped:
            with anyio.CancelScope() as self._accepting:
                await self._accept(listener)
            if not self._stopped:
                await self._reopened.wait()
        if self._sole:
            await self._admit_waiting(listener)
        listener.close()

    async def _admit_waiting(self, listener: socket.socket) -> None:
        """Take what waits in the backlog: it would be reset with the listening socket."""
        until_s = anyio.current_time() + WAITING_S
        for _ in range(BACKLOG):
            try:
                self._admit(*listener.accept())
            except BlockingIOError:
                return
            except OSError as error:  # whoever waits behind is owed an answer all the same
                if anyio.current_time() >= until_s:
                    return log.error("accept_failed", front=self.name, error=str(error))
                if error.errno not in CLIENT_DISCONNECTED:
                    self._give_way()
                    await anyio.sleep(ACCEPT_AGAIN_S)
        return None

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
                if error.errno in (errno.EMFILE, errno.ENFILE) and self._give_way():
                    log.rate_limited("parked_gave_way", front=self.name, parked=len(self.connections.parked))
                    continue
                log.error("accept_failed", front=self.name, error=str(error))
                await anyio.sleep(ACCEPT_AGAIN_S)

    def _give_way(self) -> int:
        """Free some descriptors; how many."""
        connections = self.connections
        return connections.lingering.close(GIVE_WAY) or connections.parked.close(GIVE_WAY)

    def _admit(self, sock: socket.socket, address: tuple[str, int] | str) -> None:
        """Let a new connection in; past the limit a few more, only to be told so."""
        entry: Entry | None = None
        if self._doors is not None and not isinstance(address, str):
            told = self._doors.come(time.monotonic() * 1000, address[0])
            if isinstance(told, Enum):
                self._doors_metric.labels(self.name, told.value).inc()
                log.rate_limited("connection_not_let_in", front=self.name, address=address[0], why=told.value)
                return sock.close()
            entry = told
        connections = self.connections
        if connections.open >= connections.limit:
            connections.make_room()
        if connections.open >= connections.limit + max(1, connections.limit // 8):
            log.rate_limited("connection_turned_away", front=self.name, open=self.open)
            connections.left(entry, False)
            return sock.close()  # at once: in the backlog it would wait for nothing
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._aged is not None:  # what the kernel holds for a client that reads nothing counts, too
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BYTES)
        if entry is not None:
            find_half_open(sock, entry.keep_s)
        new = Parked(sock, anyio.current_time(), False, connections.open >= connections.limit, entry)
        if speaks(sock):
            new.since -= min(unread_ms(sock) / 1000, max(0.0, self._request_s - LEAST_READ_S))
            self._wake(new)
        else:  # a flood that opens and never speaks costs no task and no buffer
            connections.parked.park(new, IDLE_S)
        connections.counted()

    def _wake(self, parked: Parked) -> None:
        """Something has come on a connection at rest, or its end: give it a parser, a buffer and a task."""
        sock = parked.sock
        if silent(sock):  # woken without a cause: what it says comes later
            return self.connections.parked.park(parked, IDLE_S)
        if not speaks(sock):
            sock.close()
            self.connections.left(parked.entry, parked.asked)
            return self.connections.counted()
        conn = Connection(sock, h11.SERVER)
        conn.budget, conn.last, conn.aged = self._budget, self.connections.closing, self._aged
        conn.asked, conn.entry, conn.marks = parked.asked, parked.entry, ArrivalMarks()
        if parked.entry is not None and self._doors is not None and self._doors.advertises:
            conn.keep_alive = b"timeout=%d" % parked.entry.keep_s
        self.connections.active.add(conn)
        self.connections.resting[conn] = anyio.current_time()
        read_by = math.inf if parked.asked else parked.since + self._request_s
        self._tasks.start_soon(self._requests.run, conn, parked.crowded, read_by)

    def drain(self) -> None:
        """Accept no more, close what rests, and let every other connection end with its answer.

        Who comes later is refused at once and goes elsewhere: clients that came again and again would keep
        the process from its end.
        """
        self._stopped = True
        self._accepting.cancel()
        self._reopened.set()
        self.connections.drain()

    def leave(self) -> None:
        """Another process accepts now; here each connection ends with its next answer, not before it."""
        self._reopened = anyio.Event()
        self._sole = False
        self._accepting.cancel()
        self.connections.end_with_answers(True)

    def reopen(self) -> None:
        """Accept again."""
        self._sole = True
        if self._stopped:
            return
        self.connections.end_with_answers(False)
        self._reopened.set()
