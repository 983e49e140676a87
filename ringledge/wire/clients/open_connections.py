"""The open connections of a front, active and idle, with their eviction, idle timeouts and closing."""

from __future__ import annotations

from enum import StrEnum
from itertools import islice
from typing import TYPE_CHECKING

import anyio
import anyio.lowlevel
import h11

from ringledge.core.invariants import Invariant
from ringledge.decide.connections.eviction import EvictionCandidate, select_victim
from ringledge.observe.logging import log
from ringledge.observe.metrics import Metrics
from ringledge.wire.clients.closing import LingeringCloses
from ringledge.wire.clients.idle_connections import IdleConnection, IdleConnections, OnReadable
from ringledge.wire.http.connection import Connection

if TYPE_CHECKING:
    from ringledge.decide.connections.admission import AdmittedConnection, ConnectionAdmission

IDLE_TIMEOUT_S = 2.0  # a connection without an open request is closed after this time
# Time without a request after which a connection gives up its task and parser; a busy one keeps them.
IDLE_AFTER_S = 0.5
MAX_DRAINED_PER_TURN = 1000  # idle connections closed in one step of a drain, which takes about 7 ms
SWEEP_INTERVAL_S = 0.2  # between two scans for connections that are idle or have expired


class CloseReason(StrEnum):
    """Why this process closed a client's connection."""

    IDLE = "idle"  # its keep-alive timeout expired
    EVICTED = "room"  # its descriptor was needed
    DRAIN = "drain"  # the process shuts down
    REJECTED = "rejected"  # its request was rejected
    ENDED = "ended"  # closed after its last response or by its client, or broken


class OpenConnections:
    """All connections of one front."""

    def __init__(
        self,
        name: str,
        limit: int,
        on_readable: OnReadable,
        metrics: Metrics,
        admission: ConnectionAdmission | None,
    ) -> None:
        """`on_readable` is called with each idle connection that has received data or the peer's close."""
        self.name = name
        self.limit = limit
        self._admission = admission
        self.idle: IdleConnections = IdleConnections(on_readable, self._close_expired)
        self.lingering = LingeringCloses()
        self._closed = {reason: metrics.closed.labels(name, reason.value) for reason in CloseReason}
        self._violations = metrics.violations.labels(Invariant.CLOSED_UNANSWERED.value)
        self._gauge = metrics.client_sockets.labels(name)
        self.active: set[Connection] = set()
        self.between_requests: dict[Connection, float] = {}  # start of the wait for a request; longest first
        # Connections with a request, complete or not, longest first.
        self.reading: dict[Connection, None] = {}
        self.closing = False  # each connection is closed after its next response
        self.draining = False  # idle connections are closed, and later requests are rejected
        for state, count in (("active", lambda: len(self.active)), ("parked", lambda: len(self.idle))):
            metrics.connections.labels(name, state).set_function(count)
        metrics.woken.labels(name).set_function(lambda: self.idle.woken)
        metrics.wheel_lag_seconds.labels(name).set_function(lambda: self.idle.lag_s)

    @property
    def open(self) -> int:
        """The number of open connections: active, idle and in a lingering close."""
        return len(self.active) + len(self.idle) + len(self.lingering)

    def update_gauge(self) -> None:
        """Export the number of open connections."""
        self._gauge.set(self.open)

    def is_over_limit(self, newcomer: Connection) -> bool:
        """Whether a connection accepted past the limit is still past it after its request has arrived.

        Evicts others first. Connections with incomplete requests that arrived in the same iteration of the
        loop could not be evicted when this connection was accepted, because their bytes were still unread.
        """
        while self.open > self.limit and self.evict_one(newcomer):
            pass
        return self.open > self.limit

    def evict_one(self, newcomer: Connection | None = None) -> bool:
        """Close one connection that is owed no response; return whether there was one.

        The oldest connection in each state is a candidate, except `newcomer`, whose head has been read but
        possibly not its body.
        """
        if self.lingering.close(1):
            return True
        idle = self.idle.oldest()
        active = self._oldest_active(newcomer)
        candidates = [EvictionCandidate(each.since_s, each.had_request, False) for each in idle]
        for conn in active:
            since_s = self.between_requests.get(conn, 0.0)
            candidates.append(EvictionCandidate(since_s, conn.had_request, conn in self.reading))
        index = select_victim(candidates)
        if index is None:
            return False
        if index < len(idle):
            self.idle.evict(idle[index])
        else:
            self.close(active[index - len(idle)], CloseReason.EVICTED)
        return True

    def _oldest_active(self, newcomer: Connection | None) -> list[Connection]:
        """The oldest active connection between requests and the oldest one with an incomplete request."""
        incomplete = (
            conn for conn in self.reading if conn is not newcomer and conn.h11.their_state is not h11.DONE
        )
        between = islice(filter(awaits_request, self.between_requests), 1)
        return [*between, *islice(filter(nothing_unread, incomplete), 1)]

    def make_idle(self, conn: Connection, over_limit: bool) -> None:
        """Keep only the socket of a connection; its parser and buffer are freed, and its task ends."""
        conn.pause_reading()
        self._forget(conn)
        keep_s = IDLE_TIMEOUT_S if conn.admission_record is None else conn.admission_record.idle_timeout_s
        idle = IdleConnection(
            conn.sock, anyio.current_time(), conn.had_request, over_limit, conn.admission_record
        )
        self.idle.add(idle, max(0.0, keep_s - IDLE_AFTER_S))

    def drain(self) -> None:
        """Close idle connections, and every other one after its response."""
        self.draining = True
        self.end_with_answers(True)
        self.close_between_requests()

    def end_with_answers(self, closing: bool) -> None:
        """Set whether each connection is closed after its next response."""
        self.closing = closing
        for conn in self.active:
            conn.closes_after_answer = closing

    def lower_limit(self, limit: int) -> None:
        """Lower the connection limit, and close the longest idle connections that exceed it."""
        self.limit = limit
        self.idle.evict_oldest(max(0, self.open - limit))
        waiting = [conn for conn in self.between_requests if awaits_request(conn)]
        for conn in waiting[: max(0, self.open - limit)]:
            self.close(conn, CloseReason.EVICTED)
        self.update_gauge()

    def close_between_requests(self) -> None:
        """Close all active connections between requests, and a bounded number of idle ones."""
        for conn in list(self.between_requests):
            if awaits_request(conn):
                self.close_gracefully(conn, CloseReason.DRAIN)
        self.idle.evict_oldest(MAX_DRAINED_PER_TURN, now=False)
        self.update_gauge()

    async def close_idle(self) -> None:
        """Until cancelled, make connections idle that had no request for a while, and close expired ones."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            until = anyio.current_time() - IDLE_AFTER_S
            for conn, since in list(self.between_requests.items()):
                if since > until:
                    break
                if not conn.paused:
                    conn.end_idle_wait()
            while self.idle.sweep():
                self.update_gauge()
                await anyio.lowlevel.checkpoint()
            self.update_gauge()

    def _forget(self, conn: Connection) -> None:
        conn.memory.release()
        self.active.discard(conn)
        self.between_requests.pop(conn, None)
        self.reading.pop(conn, None)

    def close_gracefully(self, conn: Connection, reason: CloseReason) -> None:
        """Close a connection by a lingering close, since its response may still be in flight."""
        self._check_answered(conn, reason)
        if not (conn.closed or conn.eof_received):
            self.lingering.begin(conn.detach())
        self._close_checked(conn, reason)

    def _check_answered(self, conn: Connection, reason: CloseReason) -> None:
        """Record an invariant violation if a connected client is still owed a response."""
        if owes_answer(conn) and not conn.peer_disconnected():
            self._violations.inc()
            log.error(
                "invariant_violated",
                invariant=Invariant.CLOSED_UNANSWERED.value,
                request="",
                why=reason.value,
            )

    def close(self, conn: Connection, reason: CloseReason) -> None:
        """Close a connection immediately."""
        self._check_answered(conn, reason)
        self._close_checked(conn, reason)

    def _close_checked(self, conn: Connection, reason: CloseReason) -> None:
        """Close a connection after `_check_answered`."""
        conn.close()
        self._forget(conn)
        self.record_disconnect(conn.admission_record, conn.had_request)
        self._closed[reason].inc()
        log.debug("connection_closed", front=self.name, why=reason.value, asked=conn.had_request)
        self.update_gauge()

    def _close_expired(self, idle: IdleConnection, now: bool) -> None:
        """Close an idle connection that was evicted or has expired; `now`: without a lingering close."""
        if now or not idle.had_request:  # without a request there is no response that could be lost
            idle.sock.close()
        else:
            self.lingering.begin(idle.sock)
        self.record_disconnect(idle.admission_record, idle.had_request)
        self._closed[CloseReason.IDLE].inc()

    def record_disconnect(self, admission_record: AdmittedConnection | None, had_request: bool) -> None:
        """Notify connection admission that a client's connection has ended."""
        if admission_record is not None and self._admission is not None:
            self._admission.disconnected(admission_record, had_request)


def owes_answer(conn: Connection) -> bool:
    """Whether a request was read completely and none of its response has been written."""
    return conn.h11.their_state in (h11.DONE, h11.MUST_CLOSE) and conn.h11.our_state is h11.SEND_RESPONSE


def awaits_request(conn: Connection) -> bool:
    """Whether a connection between requests has received nothing that would be owed a response."""
    return conn.paused or not (conn.has_unparsed_bytes() or conn.readable())


def nothing_unread(conn: Connection) -> bool:
    """Whether no unread request can be waiting in the socket, which would be owed a response."""
    return conn.paused or not conn.readable()
