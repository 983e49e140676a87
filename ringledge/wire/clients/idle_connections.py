"""Idle client connections, each of which takes only a small record: no task, no parser and no buffer.

The event loop itself watches up to `MAX_LOOP_WATCHED` of them. The others share one epoll of this module, of
which the loop watches the single descriptor, because asyncio keeps a handle, a key and their dictionary
entries for each socket that it watches. Not every host reports events of an epoll nested in another one, so
it is also polled in each sweep. Keep-alive timeouts are kept in a timer wheel. One iteration of the event
loop activates or closes a bounded number of connections.
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

TICK_S = 0.05  # resolution of the timer wheel, ample for keep-alive timeouts of seconds
# Connections that the event loop itself watches; a single iteration may activate all of them.
MAX_LOOP_WATCHED = 128
# Limits for one iteration of the event loop.
MAX_WOKEN_PER_TURN = 64  # connections activated: each takes a task, a parser and a request
MAX_TIMERS_MOVED_PER_TURN = 2000  # timers moved to a finer wheel, which takes about 5 ms
MAX_CLOSED_PER_TURN = 500  # expired connections closed, which takes about 5 ms


@dataclass(slots=True, eq=False)
class IdleConnection:
    """One idle connection."""

    sock: socket.socket
    since_s: float  # when it became idle or, before its first request, was accepted; event loop's clock
    had_request: bool  # a request was read from it before
    over_limit: bool  # accepted past the limit, to be answered 503
    admission_record: AdmittedConnection | None = None  # None: without connection admission
    timer: int = -1  # its timer in the wheel; -1: none
    loop_watched: bool = False  # watched by the event loop itself, not by the shared epoll


OnReadable = Callable[[IdleConnection], None]
OnExpired = Callable[[IdleConnection, bool], None]  # closes the connection, immediately if True is passed


class IdleConnections:
    """The idle connections of one front, each with its keep-alive timeout.

    `on_readable` is called with a connection that has received data or the peer's close; `on_expired` with
    one that is to be closed, immediately if its second argument is true.
    """

    def __init__(self, on_readable: OnReadable, on_expired: OnExpired) -> None:
        self._on_readable, self._on_expired = on_readable, on_expired
        self._loop: asyncio.AbstractEventLoop | None = None
        self._epoll: select.epoll | None = None
        self._wheel = TimerWheel(_tick())
        self._timer_fds = array("i")  # descriptor by timer
        self._without_request: dict[int, IdleConnection] = {}  # by descriptor, longest idle first
        self._with_request: dict[int, IdleConnection] = {}
        self.woken = self.expired = self._watched = 0

    def __len__(self) -> int:
        """The number of idle connections."""
        return len(self._without_request) + len(self._with_request)

    @property
    def lag_s(self) -> float:
        """How far the timer wheel lags behind the clock, in seconds."""
        return (_tick() - self._wheel.now) * TICK_S if self._wheel.expired_count else 0.0

    def add(self, connection: IdleConnection, keep_s: float) -> None:
        """Watch a connection for input, and close it if there is none for `keep_s` seconds."""
        fd = connection.sock.fileno()
        self._watch(fd, connection)
        if not len(self):
            self._wheel.advance(_tick())
        connection.timer = self._wheel.schedule(_tick() + max(1, int(keep_s / TICK_S)))
        if connection.timer == len(self._timer_fds):
            self._timer_fds.append(fd)
        else:
            self._timer_fds[connection.timer] = fd
        (self._with_request if connection.had_request else self._without_request)[fd] = connection

    def _watch(self, fd: int, connection: IdleConnection) -> None:
        """Have `_activate` called when the connection becomes readable."""
        self._loop = loop = asyncio.get_running_loop()
        connection.loop_watched = self._watched < MAX_LOOP_WATCHED
        if connection.loop_watched:
            self._watched += 1
            loop.add_reader(fd, self._activate, fd)
            return
        if self._epoll is None:
            self._epoll = select.epoll()
            loop.add_reader(self._epoll.fileno(), self._on_epoll_readable)
        self._epoll.register(fd, select.EPOLLIN | select.EPOLLRDHUP)

    def _unwatch(self, fd: int, connection: IdleConnection) -> None:
        """Stop watching the connection."""
        if connection.loop_watched and self._loop is not None:
            self._watched -= 1
            self._loop.remove_reader(fd)
        elif self._epoll is not None:
            self._epoll.unregister(fd)

    def _on_epoll_readable(self) -> None:
        """Activate a bounded number of readable connections; the rest follow in the next iteration."""
        if self._epoll is not None:
            for fd, _ in self._epoll.poll(0, MAX_WOKEN_PER_TURN):
                self._activate(fd)

    def _activate(self, fd: int) -> None:
        connection = self._remove(fd)
        if connection is not None:
            self.woken += 1
            self._on_readable(connection)

    def _remove(self, fd: int) -> IdleConnection | None:
        """Remove a connection without closing its socket; return None for an unknown descriptor."""
        connection = self._without_request.pop(fd, None) or self._with_request.pop(fd, None)
        if connection is not None:
            self._unwatch(fd, connection)
            if connection.timer >= 0:
                self._wheel.cancel(connection.timer)
        return connection

    def oldest(self) -> list[IdleConnection]:
        """The longest idle connection without a request so far, and the longest idle one with a request."""
        return [next(iter(each.values())) for each in (self._without_request, self._with_request) if each]

    def evict(self, connection: IdleConnection) -> None:
        """Close a connection, unless a request has arrived on it."""
        self._close(connection.sock.fileno(), now=True)

    def _close(self, fd: int, now: bool) -> bool:
        """Close a connection, or activate it if a request has arrived on it, which is owed a response.

        Returns whether it was closed.
        """
        connection = self._remove(fd)
        if connection is None:
            return False
        if has_unread_bytes(connection.sock):
            self.woken += 1
            self._on_readable(connection)
            return False
        self._on_expired(connection, now)
        return True

    def sweep(self) -> bool:
        """Close connections whose timeout has expired; return whether another call has more to do."""
        self._on_epoll_readable()
        is_current = self._wheel.advance(_tick(), MAX_TIMERS_MOVED_PER_TURN)
        for timer in self._wheel.pop_expired(MAX_CLOSED_PER_TURN):
            fd = self._timer_fds[timer]
            connection = self._without_request.get(fd) or self._with_request[fd]
            connection.timer = -1  # the wheel may assign the expired timer's number to another connection
            self.expired += self._close(fd, now=False)
        return self._wheel.expired_count > 0 or not is_current

    def evict_oldest(self, limit: int, now: bool = True) -> int:
        """Close up to `limit` connections, and return how many were closed.

        Those without a request come first, and of each group the longest idle ones.
        """
        closed = 0
        without_request = _first_fds(self._without_request, limit)
        with_request = _first_fds(self._with_request, max(0, limit - len(self._without_request)))
        for fd in [*without_request, *with_request]:
            closed += self._close(fd, now)
        return closed


def _tick() -> int:
    return int(time.monotonic() / TICK_S)


def _first_fds(connections: dict[int, IdleConnection], limit: int) -> list[int]:
    """The descriptors of the first `limit` connections."""
    return list(islice(connections, limit))


def nothing_readable(sock: socket.socket) -> bool:
    """Whether the socket has received neither data nor the peer's close."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return True
    except OSError:
        return False
    return False


def has_unread_bytes(sock: socket.socket) -> bool:
    """Whether the socket has received data that is still unread; the peer's close does not count."""
    try:
        return len(sock.recv(1, socket.MSG_PEEK)) > 0
    except OSError:
        return False
