"""The open connections of a front: at work or at rest, which of them gives way, and how they are closed."""

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
from ringledge.wire.clients.closing import Lingering
from ringledge.wire.clients.idle_connections import Parked, Parking, Wake
from ringledge.wire.http.connection import Connection

if TYPE_CHECKING:
    from ringledge.decide.connections.admission import AdmittedConnection, ConnectionAdmission

IDLE_S = 2.0  # a client's connection without an open request is closed then
PARK_S = 0.5  # between requests until a connection is parked: a busy one keeps its task and parser
DRAIN_AT_ONCE = 1000  # connections at rest closed at a time in a drain: some 7 ms
LOOK_S = 0.2  # how often idle connections are looked for


class CloseReason(StrEnum):
    """Why a client's connection was closed here."""

    IDLE = "idle"  # it rested for its time
    ROOM = "room"  # its descriptor was wanted
    DRAIN = "drain"  # the process ends
    REJECTED = "rejected"  # what it brought was turned away
    ENDED = "ended"  # with its last answer, by its client's end, or because it broke


class OpenConnections:
    """All connections of one front."""

    def __init__(
        self, name: str, limit: int, wake: Wake, metrics: Metrics, doors: ConnectionAdmission | None
    ) -> None:
        """`wake`: called with each connection at rest on which something has come."""
        self.name, self.limit, self._doors = name, limit, doors
        self.parked: Parking = Parking(wake, self._rest_ended)
        self.lingering = Lingering()  # they are being closed
        self._closed = {why: metrics.closed.labels(name, why.value) for why in CloseReason}
        self._violations = metrics.violations.labels(Invariant.CLOSED_UNANSWERED.value)
        self._gauge = metrics.client_sockets.labels(name)
        self.active: set[Connection] = set()
        self.resting: dict[Connection, float] = {}  # between requests and since when, longest first
        self.reading: dict[Connection, None] = {}  # in an exchange, longest first; some lack half a request
        self.closing = False  # each connection ends with its next answer
        self.draining = False  # what rests is closed, and no further request read behind an answer
        for state, count in (("active", lambda: len(self.active)), ("parked", lambda: len(self.parked))):
            metrics.connections.labels(name, state).set_function(count)
        metrics.woken.labels(name).set_function(lambda: self.parked.woken)
        metrics.wheel_lag.labels(name).set_function(lambda: self.parked.lag_s)

    @property
    def open(self) -> int:
        """How many connections there are, at rest or not, or being closed."""
        return len(self.active) + len(self.parked) + len(self.lingering)

    def counted(self) -> None:
        """Their number has changed."""
        self._gauge.set(self.open)

    def full(self, come: Connection) -> bool:
        """Whether a connection that came past the limit has no place yet, now that its request is here.

        Half requests that came in the same turn had unread bytes then, so none of them could give way.
        """
        while self.open > self.limit and self.make_room(come):
            pass
        return self.open > self.limit

    def make_room(self, come: Connection | None = None) -> bool:
        """Have one connection that is owed no answer give way, if there is one.

        Of each sort the longest so is asked about; not `come`, whose head has been read, though its body may
        not have.
        """
        if self.lingering.close(1):
            return True
        half = (each for each in self.reading if each is not come and each.h11.their_state is not h11.DONE)
        live = [*islice(filter(quiet, self.resting), 1), *islice(filter(quiet, half), 1)]
        parked = self.parked.firsts()
        guests = [EvictionCandidate(each.since, each.asked, False) for each in parked]
        guests += [
            EvictionCandidate(self.resting.get(conn, 0.0), conn.asked, conn in self.reading) for conn in live
        ]
        place = select_victim(guests)
        if place is None:
            return False
        if place < len(parked):
            self.parked.end(parked[place])
        else:
            self.close(live[place - len(parked)], CloseReason.ROOM)
        return True

    def park(self, conn: Connection, crowded: bool) -> None:
        """Its task ends, its parser and buffer go; the socket stays."""
        conn.deafen()
        self._forget(conn)
        keep_s = IDLE_S if conn.entry is None else conn.entry.idle_timeout_s
        parked = Parked(conn.sock, anyio.current_time(), conn.asked, crowded, conn.entry)
        self.parked.park(parked, max(0.0, keep_s - PARK_S))

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

    def shrink(self, limit: int) -> None:
        """Let fewer connections in; of those that rest, the longest resting go."""
        self.limit = limit
        self.parked.close(max(0, self.open - limit))
        for conn in [conn for conn in self.resting if quiet(conn)][: max(0, self.open - limit)]:
            self.close(conn, CloseReason.ROOM)
        self.counted()

    def close_resting(self) -> None:
        """Close connections between requests, of those at rest so many at a time."""
        for conn in list(self.resting):
            if quiet(conn):
                self.close_in_order(conn, CloseReason.DRAIN)
        self.parked.close(DRAIN_AT_ONCE, now=False)
        self.counted()

    async def close_idle(self) -> None:
        """For ever: have what has not spoken for a while rest, and close what has rested for its time."""
        while True:
            await anyio.sleep(LOOK_S)
            until = anyio.current_time() - PARK_S
            for conn, since in list(self.resting.items()):
                if since > until:
                    break
                if not conn.paused:
                    conn.rest()
            while self.parked.sweep():
                self.counted()
                await anyio.lowlevel.checkpoint()
            self.counted()

    def _forget(self, conn: Connection) -> None:
        conn.release()
        self.active.discard(conn)
        self.resting.pop(conn, None)
        self.reading.pop(conn, None)

    def close_in_order(self, conn: Connection, why: CloseReason) -> None:
        """Close one whose answer may still be on its way, so that what its client sends takes none of it."""
        self._check_answered(conn, why)
        if not (conn.closed or conn.ended):
            self.lingering.begin(conn.let_go())
        self.close(conn, why)

    def _check_answered(self, conn: Connection, why: CloseReason) -> None:
        """Count a close under a request that was read whole, while its client is still there."""
        if owed(conn) and not conn.peer_gone():
            self._violations.inc()
            log.error(
                "invariant_violated", invariant=Invariant.CLOSED_UNANSWERED.value, request="", why=why.value
            )

    def close(self, conn: Connection, why: CloseReason) -> None:
        """Close one now."""
        self._check_answered(conn, why)
        conn.close()
        self._forget(conn)
        self.left(conn.entry, conn.asked)
        self._closed[why].inc()
        log.debug("connection_closed", front=self.name, why=why.value, asked=conn.asked)
        self.counted()

    def _rest_ended(self, parked: Parked, now: bool) -> None:
        """A connection at rest is out of the parking: close it, `now` where its descriptor is wanted."""
        if now or not parked.asked:  # nothing was ever answered on it
            parked.sock.close()
        else:
            self.lingering.begin(parked.sock)
        self.left(parked.entry, parked.asked)
        self._closed[CloseReason.IDLE].inc()

    def left(self, entry: AdmittedConnection | None, asked: bool) -> None:
        """A client's connection is gone: the doors count it off."""
        if entry is not None and self._doors is not None:
            self._doors.disconnected(entry, asked)


def owed(conn: Connection) -> bool:
    """Whether a request was read whole and nothing of its answer is written."""
    return conn.h11.their_state in (h11.DONE, h11.MUST_CLOSE) and conn.h11.our_state is h11.SEND_RESPONSE


def quiet(conn: Connection) -> bool:
    """Whether no request may be waiting unread: that one would be owed an answer."""
    return conn.paused or not conn.readable()
