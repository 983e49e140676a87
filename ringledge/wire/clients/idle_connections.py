"""Idle client connections: a small record each, with no task, no parser and no buffer.

The event loop itself watches the first hundred or so. The others share one epoll of this module, and the loop
watches that one descriptor alone: asyncio keeps a handle, a key and their dictionary entries for each socket
that it watches. Not every host reports an epoll inside another one, so it is also polled in each sweep.
Keep-alive timeouts are in a timer wheel. A bounded number of connections is activated or closed in one
iteration of the event loop.
"""

from __future__ import annotations

import asyncio
import select
import socket
import time
from array import array
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING

from ringledge.structures.timer_wheel import TimerWheel

if TYPE_CHECKING:
    from ringledge.decide.connections.admission import AdmittedConnection

TICK_S = 0.05  # of the wheel: keep-alive times are seconds
# Connections that the event loop itself watches; one iteration can activate as many.
MAX_LOOP_WATCHED = 128
MAX_WOKEN_PER_TURN = 64  # in an iteration of the loop: each costs a task, a parser and its request
MAX_TIMERS_MOVED_PER_TURN = 2000  # to a finer wheel in an iteration: some 5 ms
MAX_CLOSED_PER_TURN = 500  # in an iteration: some 5 ms


@dataclass(slots=True, eq=False)
class IdleConnection:
    """One idle connection."""

    sock: socket.socket
    since_s: float  # on the loop's clock: when it became idle, at first when it was accepted
    had_request: bool  # a request was read on it before
    over_limit: bool  # accepted past the limit, only to be answered 503
    admission_record: AdmittedConnection | None = None  # by connection admission
    timer: int = -1
    loop_watched: bool = False  # by the loop itself


OnReadable = Callable[[IdleConnection], None]
OnExpired = Callable[[IdleConnection, bool], None]  # has to close it, at once where the bool says so


class IdleConnections:
    """The idle connections of one front, each with its keep-alive timeout.

    `on_readable` gets a connection on which bytes or the peer's end wait; `on_expired` one to be closed, at
    once where its second argument says so.
    """

    def __init__(self, wake: OnReadable, ended: OnExpired) -> None:
        self._on_readable, self._on_expired = wake, ended
        self._loop: asyncio.AbstractEventLoop | None = None
        self._epoll: select.epoll | None = None
        self._wheel = TimerWheel(_tick())
        self._numbers = array("i")  # the descriptor of each timer
        self._without_request: dict[int, IdleConnection] = {}  # by descriptor, longest idle first
        self._with_request: dict[int, IdleConnection] = {}
        self.woken = self.expired = self._watched = 0

    def __len__(self) -> int:
        """How many connections are idle."""
        return len(self._without_request) + len(self._with_request)

    @property
    def lag_s(self) -> float:
        """How long the timer wheel lags behind the clock, s."""
        return (_tick() - self._wheel.now) * TICK_S if self._wheel.expired_count else 0.0

    def add(self, connection: IdleConnection, keep_s: float) -> None:
        """Watch a connection for input, and close it after `keep_s` seconds without any."""
        number = connection.sock.fileno()
        self._watch(number, connection)
        if not len(self):
            self._wheel.advance(_tick())
        connection.timer = self._wheel.schedule(_tick() + max(1, int(keep_s / TICK_S)))
        if connection.timer == len(self._numbers):
            self._numbers.append(number)
        else:
            self._numbers[connection.timer] = number
        (self._with_request if connection.had_request else self._without_request)[number] = connection

    def _watch(self, number: int, connection: IdleConnection) -> None:
        """Have `_readable` called when the connection becomes readable."""
        self._loop = loop = asyncio.get_running_loop()
        connection.loop_watched = self._watched < MAX_LOOP_WATCHED
        if connection.loop_watched:
            self._watched += 1
            loop.add_reader(number, self._readable, number)
            return
        if self._epoll is None:
            self._epoll = select.epoll()
            loop.add_reader(self._epoll.fileno(), self._ready)
        self._epoll.register(number, select.EPOLLIN | select.EPOLLRDHUP)

    def _unwatch(self, number: int, connection: IdleConnection) -> None:
        """Stop watching it."""
        if connection.loop_watched and self._loop is not None:
            self._watched -= 1
            self._loop.remove_reader(number)
        elif self._epoll is not None:
            self._epoll.unregister(number)

    def _ready(self) -> None:
        """Activate some readable connections, and leave the rest to the next iteration of the loop."""
        if self._epoll is not None:
            for number, _ in self._epoll.poll(0, MAX_WOKEN_PER_TURN):
                self._readable(number)

    def _readable(self, number: int) -> None:
        connection = self._remove(number)
        if connection is not None:
            self.woken += 1
            self._on_readable(connection)

    def _remove(self, number: int) -> IdleConnection | None:
        """Remove a connection, its socket still open; None for an unknown descriptor."""
        connection = self._without_request.pop(number, None) or self._with_request.pop(number, None)
        if connection is not None:
            self._unwatch(number, connection)
            if connection.timer >= 0:
                self._wheel.cancel(connection.timer)
        return connection

    def oldest(self) -> list[IdleConnection]:
        """The longest idle one of those without a request so far, and of those with one."""
        return [next(iter(each.values())) for each in (self._without_request, self._with_request) if each]

    def evict(self, connection: IdleConnection) -> None:
        """Close that one, unless a request has arrived on it."""
        self._close(connection.sock.fileno(), now=True)

    def _close(self, number: int, now: bool) -> bool:
        """Close one, unless a request has arrived meanwhile: that is owed an answer, so it is activated."""
        connection = self._remove(number)
        if connection is None:
            return False
        if has_unread_bytes(connection.sock):
            self.woken += 1
            self._on_readable(connection)
            return False
        self._on_expired(connection, now)
        return True

    def sweep(self) -> bool:
        """Close connections whose timeout has expired; whether more of them are left for the next call."""
        self._ready()
        there = self._wheel.advance(_tick(), MAX_TIMERS_MOVED_PER_TURN)
        for timer in self._wheel.pop_expired(MAX_CLOSED_PER_TURN):
            number = self._numbers[timer]
            connection = self._without_request.get(number) or self._with_request[number]
            connection.timer = -1  # given out: its number may soon be another one's
            self.expired += self._close(number, now=False)
        return self._wheel.expired_count > 0 or not there

    def evict_oldest(self, limit: int, now: bool = True) -> int:
        """Close at most `limit`, first those without a request, the longest idle first; how many were."""
        closed = 0
        without_request = _first(self._without_request, limit)
        with_request = _first(self._with_request, max(0, limit - len(self._without_request)))
        for number in [*without_request, *with_request]:
            closed += self._close(number, now)
        return closed


def _tick() -> int:
    return int(time.monotonic() / TICK_S)


def _first(connections: dict[int, IdleConnection], limit: int) -> list[int]:
    """The descriptors of at most `limit` connections, in their order."""
    return list(islice(connections, limit))


def nothing_readable(sock: socket.socket) -> bool:
    """Whether neither bytes nor the peer's end wait on the socket."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return True
    except OSError:
        return False
    return False


def has_unread_bytes(sock: socket.socket) -> bool:
    """Whether bytes wait on the socket; the end of its peer is none."""
    try:
        return len(sock.recv(1, socket.MSG_PEEK)) > 0
    except OSError:
        return False
