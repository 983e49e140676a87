"""When a site is cut off or short: its conductors reach no reader or no writer, or none that has room.

Each conductor looks at what it reaches and tells the others of its site; the site is cut off only where all
that are heard of say so. It is entered soon, so that requests are kept; it is left only when something was
heard from a server since, for a silence that has merely faded proves nothing. Free of I/O and clocks; times
in s.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from math import inf

import msgspec

CUT_AFTER_S = 0.5  # nothing reached for so long: a first list and a connect that times out take less
SHORT_AFTER_S = 2.0  # no room for so long: a jam of a second is what refusals are for
SHORT_REFUSALS = 3  # in a row, and none served: one refusal may be the request's own (its time, its size)
BACK_AFTER_S = 2.0  # reached and with room for so long: a link that is up for a moment changes nothing
TOLD_S = 5.0  # what another conductor said counts so long


class Reached(msgspec.Struct, array_like=True, frozen=True):
    """What one conductor says of its site (key reach/SITE)."""

    state: int  # 0 open, 1 short, 2 cut off


class State(Enum):
    """How a site stands; the numbers go into `Reached`."""

    OPEN = 0
    SHORT = 1
    CUT_OFF = 2


@dataclass(slots=True, frozen=True)
class Seen:
    """One server as a conductor sees it at a moment."""

    reads: bool
    writes: bool
    reached: bool  # listed as up, and connections come up
    room: bool  # it may get something new
    heard_s: float  # when it answered last, -inf: never


@dataclass(slots=True)
class _Since:
    """Since when something holds without a break."""

    at_s: float = inf

    def look(self, now_s: float, holds: bool) -> float:
        """For how long it holds now, in s."""
        if not holds:
            self.at_s = inf
            return 0.0
        self.at_s = min(self.at_s, now_s)
        return now_s - self.at_s


class CutOff:
    """One conductor's view of its site."""

    def __init__(self) -> None:
        self.own = State.OPEN
        self.changed_s = -inf
        self._none, self._full, self._well = _Since(), _Since(), _Since()
        self._refusals, self._served_s = 0, -inf
        self._others: dict[str, tuple[float, State]] = {}  # by name: when heard, and what it said

    def refused(self) -> None:
        """A request was refused or failed before any answer."""
        self._refusals += 1

    def served(self, now_s: float) -> None:
        """An answer has begun: there is a reader and a writer with room."""
        self._refusals, self._served_s = 0, now_s

    def receive(self, now_s: float, told: Iterable[tuple[str, Reached]]) -> None:
        """What the other conductors of the site say now, by name; who is not among them is gone."""
        self._others = {
            name: (now_s, State(row.state)) for name, row in told if row.state in State._value2member_map_
        }

    def look(self, now_s: float, servers: Iterable[Seen]) -> State:
        """Take in how the servers are seen now; the site's state."""
        reads = reads_room = writes = writes_room = False
        heard_s = self._served_s
        for each in servers:
            heard_s = max(heard_s, each.heard_s)
            room = each.reached and each.room
            reads = reads or (each.reads and each.reached)
            reads_room = reads_room or (each.reads and room)
            writes = writes or (each.writes and each.reached)
            writes_room = writes_room or (each.writes and room)
        cut = not (reads and writes)
        full = not (reads_room and writes_room) or self._refusals >= SHORT_REFUSALS
        none_s, full_s = self._none.look(now_s, cut), self._full.look(now_s, full)
        well_s = self._well.look(now_s, not cut and not full and heard_s > self.changed_s)
        if none_s >= CUT_AFTER_S:
            self._become(now_s, State.CUT_OFF)
        elif full_s >= SHORT_AFTER_S and self.own is State.OPEN:
            self._become(now_s, State.SHORT)
        elif well_s >= BACK_AFTER_S:
            self._become(now_s, State.OPEN)
        return self.state(now_s)

    def state(self, now_s: float) -> State:
        """The site's: as open as the one that sees it most open."""
        said = [state for at_s, state in self._others.values() if now_s - at_s < TOLD_S]
        return min([self.own, *said], key=lambda each: each.value)

    def row(self) -> Reached:
        """What to tell the others."""
        return Reached(self.own.value)

    def _become(self, now_s: float, state: State) -> None:
        if state is not self.own:
            self.own, self.changed_s = state, now_s
            self._refusals = 0 if state is State.OPEN else self._refusals
