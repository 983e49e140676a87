"""Connections at rest: a small record each, with no task, no parser and no buffer.

The event loop itself watches the first hundred or so. The rest share one epoll of our own, and the loop knows
of that one descriptor alone: asyncio keeps a handle, a key and their dictionary entries for each socket that
it is told of. Not every host tells a loop of an epoll inside its own, so that one is also looked at in each
sweep. Keep-alive times stand in a timer wheel. What becomes readable is woken, and what falls due is closed,
so many at most in a turn.
"""

from __future__ import annotations

import asyncio
import select
import socket
import time
from array import array
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ringledge.structures.timer_wheel import TimerWheel

if TYPE_CHECKING:
    from ringledge.decide.connections.admission import Entry

TICK_S = 0.05  # of the wheel: keep-alive times are seconds
WATCHED = 128  # connections that the loop itself watches, woken without a detour; a turn bears as many
WAKE_AT_ONCE = 64  # connections woken in a turn: each costs a task, a parser and its request
MOVE_AT_ONCE = 2000  # timers that go one wheel down in a turn: some 5 ms
CLOSE_AT_ONCE = 500  # closed in a turn: some 5 ms


@dataclass(slots=True, eq=False)
class Parked:
    """One connection at rest."""

    sock: socket.socket
    since: float  # on the loop's clock: since when it rests, at first since it was opened
    asked: bool  # it has brought a request
    crowded: bool  # it was let in past the limit, only to be told so
    entry: Entry | None = None  # what the doors said of it
    timer: int = -1
    watched: bool = False  # by the loop itself


Wake = Callable[[Parked], None]
Ended = Callable[[Parked, bool], None]  # has to close it, at once where the bool says so


class Parking:
    """The connections of one front that rest."""

    def __init__(self, wake: Wake, ended: Ended) -> None:
        self._wake, self._ended = wake, ended
        self._loop: asyncio.AbstractEventLoop | None = None
        self._epoll: select.epoll | None = None
        self._wheel = TimerWheel(_tick())
        self._numbers = array("i")  # the descriptor of each timer
        self._silent: dict[int, Parked] = {}  # by descriptor, longest first: they never asked
        self._rested: dict[int, Parked] = {}  # they asked before
        self.woken = self.expired = self._watched = 0

    def __len__(self) -> int:
        """How many rest."""
        return len(self._silent) + len(self._rested)

    @property
    def lag_s(self) -> float:
        """How long the wheel is behind the clock, or holds what has fallen due."""
        return (_tick() - self._wheel.now) * TICK_S if self._wheel.expired_count else 0.0

    def park(self, parked: Parked, keep_s: float) -> None:
        """Let a connection rest for so long at most."""
        number = parked.sock.fileno()
        self._watch(number, parked)
        if not len(self):
            self._wheel.advance(_tick())
        parked.timer = self._wheel.schedule(_tick() + max(1, int(keep_s / TICK_S)))
        if parked.timer == len(self._numbers):
            self._numbers.append(number)
        else:
            self._numbers[parked.timer] = number
        (self._rested if parked.asked else self._silent)[number] = parked

    def _watch(self, number: int, parked: Parked) -> None:
        """Have it told when the connection becomes readable."""
        self._loop = loop = asyncio.get_running_loop()
        parked.watched = self._watched < WATCHED
        if parked.watched:
            self._watched += 1
            loop.add_reader(number, self._readable, number)
            return
        if self._epoll is None:
            self._epoll = select.epoll()
            loop.add_reader(self._epoll.fileno(), self._ready)
        self._epoll.register(number, select.EPOLLIN | select.EPOLLRDHUP)

    def _forget(self, number: int, parked: Parked) -> None:
        """Watch it no longer."""
        if parked.watched and self._loop is not None:
            self._watched -= 1
            self._loop.remove_reader(number)
        elif self._epoll is not None:
            self._epoll.unregister(number)

    def _ready(self) -> None:
        """Some are readable: wake them, and leave the rest to the next turn."""
        if self._epoll is not None:
            for number, _ in self._epoll.poll(0, WAKE_AT_ONCE):
                self._readable(number)

    def _readable(self, number: int) -> None:
        parked = self._take(number)
        if parked is not None:
            self.woken += 1
            self._wake(parked)

    def _take(self, number: int) -> Parked | None:
        """Out of the parking, its socket open."""
        parked = self._silent.pop(number, None) or self._rested.pop(number, None)
        if parked is not None:
            self._forget(number, parked)
            if parked.timer >= 0:
                self._wheel.cancel(parked.timer)
        return parked

    def firsts(self) -> list[Parked]:
        """The longest resting one of those that never asked, and of those that did."""
        return [next(iter(each.values())) for each in (self._silent, self._rested) if each]

    def end(self, parked: Parked) -> None:
        """Close that one, unless a request has come on it."""
        self._end(parked.sock.fileno(), now=True)

    def _end(self, number: int, now: bool) -> bool:
        """Close one, unless a request has come meanwhile: that one is owed an answer, so it is woken."""
        parked = self._take(number)
        if parked is None:
            return False
        if speaks(parked.sock):
            self.woken += 1
            self._wake(parked)
            return False
        self._ended(parked, now)
        return True

    def sweep(self) -> bool:
        """Close those whose time is over; whether more of them wait for the next turn."""
        self._ready()
        there = self._wheel.advance(_tick(), MOVE_AT_ONCE)
        for timer in self._wheel.pop_expired(CLOSE_AT_ONCE):
            number = self._numbers[timer]
            parked = self._silent.get(number) or self._rested[number]
            parked.timer = -1  # given out: its number may soon be another one's
            self.expired += self._end(number, now=False)
        return self._wheel.expired_count > 0 or not there

    def close(self, most: int, now: bool = True) -> int:
        """Close so many at most, first those that never asked, the longest resting first; how many were."""
        closed = 0
        for number in [*_first(self._silent, most), *_first(self._rested, max(0, most - len(self._silent)))]:
            closed += self._end(number, now)
        return closed


def _tick() -> int:
    return int(time.monotonic() / TICK_S)


def _first(parked: dict[int, Parked], most: int) -> list[int]:
    """The descriptors of the first so many."""
    return [number for number, _ in zip(parked, range(most), strict=False)]


def silent(sock: socket.socket) -> bool:
    """Whether neither bytes nor the peer's end wait on the socket."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return True
    except OSError:
        return False
    return False


def speaks(sock: socket.socket) -> bool:
    """Whether bytes wait on the socket; the end of its peer is none."""
    try:
        return len(sock.recv(1, socket.MSG_PEEK)) > 0
    except OSError:
        return False
