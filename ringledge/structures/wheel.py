"""A hierarchical timer wheel (Varghese and Lauck, 1987): many timers, constant time each, no object a timer.

A timer is a number. Four wheels of 256 slots each count ticks, 256 ticks, 65,536 ticks and so on; a slot is a
doubly linked list threaded through two arrays. A timer waits in the wheel whose slots are just finer than its
distance, and moves one wheel down when its slot's time comes. Timers that fall due go to a ready list, from
which `expired` gives out as many as are asked for: however many fall due together, the caller bounds its
turn.
"""

from __future__ import annotations

from array import array

BITS = 8
SLOTS = 1 << BITS
MASK = SLOTS - 1
WHEELS = 4
MOST = (1 << BITS * WHEELS) - 1  # ticks that a timer may lie ahead
READY = WHEELS * SLOTS  # the list of those that have fallen due
HEADS = READY + 1
NONE = -1


class Wheel:
    """Timers by number; times are ticks, whole and never going back."""

    __slots__ = ("_due", "_free", "_next", "_previous", "_slot", "now", "pending", "ready")

    def __init__(self, now: int = 0) -> None:
        self.now = now
        self.pending = 0  # timers that have not fallen due
        self.ready = 0  # that have, and were not given out
        # Heads of the lists come first; timer n is entry HEADS + n.
        self._next = array("i", range(HEADS))
        self._previous = array("i", range(HEADS))
        self._slot = array("h")  # of each timer; NONE: it is free
        self._due = array("q")
        self._free: list[int] = []

    def __len__(self) -> int:
        """How many timers there are."""
        return self.pending + self.ready

    def schedule(self, due: int) -> int:
        """A timer for that tick, at once if it has passed; its number is free again once it is given out."""
        if self._free:
            timer = self._free.pop()
            self._due[timer] = due
        else:
            timer = len(self._slot)
            self._slot.append(NONE)
            self._due.append(due)
            self._next.append(NONE)
            self._previous.append(NONE)
        self._put(timer, due)
        return timer

    def move(self, timer: int, due: int) -> None:
        """Have a timer fall due at another tick."""
        self._unlink(timer)
        self._due[timer] = due
        self._put(timer, due)

    def cancel(self, timer: int) -> None:
        """Drop a timer; KeyError if there is none of that number."""
        if not 0 <= timer < len(self._slot) or self._slot[timer] == NONE:
            raise KeyError(timer)
        self._unlink(timer)
        self._slot[timer] = NONE
        self._free.append(timer)

    def due(self, timer: int) -> int:
        """The tick at which a timer falls due."""
        return self._due[timer]

    def advance(self, now: int) -> None:
        """Let time pass to that tick; what falls due becomes ready."""
        if now <= self.now:
            return
        if not self.pending:
            self.now = now
            return
        while self.now < now:
            self.now += 1
            tick = self.now
            if not tick & MASK:
                wheel, ahead = 1, tick >> BITS
                while wheel < WHEELS:
                    self._cascade(wheel * SLOTS + (ahead & MASK))
                    if ahead & MASK:
                        break
                    ahead >>= BITS
                    wheel += 1
            self._ripen(tick & MASK)
            if not self.pending:
                self.now = now

    def expired(self, most: int) -> list[int]:
        """So many at most of the timers that have fallen due, longest due first; their numbers are free."""
        given = list[int]()
        entry = self._next[READY]
        while entry != READY and len(given) < most:
            timer = entry - HEADS
            given.append(timer)
            entry = self._next[entry]
        for timer in given:
            self._unlink(timer)
            self._slot[timer] = NONE
            self._free.append(timer)
        return given

    # The lists.

    def _put(self, timer: int, due: int) -> None:
        distance = due - self.now
        if distance <= 0:
            slot = READY
            self.ready += 1
        else:
            due = self.now + min(distance, MOST)  # what lies farther ahead is put off again when that comes
            distance = due - self.now
            wheel = (distance.bit_length() - 1) // BITS
            slot = wheel * SLOTS + (due >> BITS * wheel & MASK)
            self.pending += 1
        self._slot[timer] = slot
        self._append(slot, HEADS + timer)

    def _append(self, slot: int, entry: int) -> None:
        last = self._previous[slot]
        self._next[last], self._previous[entry] = entry, last
        self._next[entry], self._previous[slot] = slot, entry

    def _unlink(self, timer: int) -> None:
        entry = HEADS + timer
        before, behind = self._previous[entry], self._next[entry]
        self._next[before], self._previous[behind] = behind, before
        if self._slot[timer] == READY:
            self.ready -= 1
        else:
            self.pending -= 1

    def _cascade(self, slot: int) -> None:
        """Move what is in a slot to where its distance puts it now."""
        entry = self._next[slot]
        self._next[slot] = self._previous[slot] = slot
        while entry != slot:
            behind = self._next[entry]
            timer = entry - HEADS
            self.pending -= 1
            self._put(timer, self._due[timer])
            entry = behind

    def _ripen(self, slot: int) -> None:
        """All of a slot of the finest wheel has fallen due: its list is joined to the ready one."""
        entry = self._next[slot]
        if entry == slot:
            return
        first, last = entry, self._previous[slot]
        while entry != slot:
            self._slot[entry - HEADS] = READY
            self.pending -= 1
            self.ready += 1
            entry = self._next[entry]
        tail = self._previous[READY]
        self._next[tail], self._previous[first] = first, tail
        self._next[last], self._previous[READY] = READY, last
        self._next[slot] = self._previous[slot] = slot
