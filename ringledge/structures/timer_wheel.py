"""A hierarchical timer wheel (Varghese and Lauck, 1987): many timers, constant time each, no object a timer.

A timer is a number. Four wheels of 256 slots each count ticks, 256 ticks, 65,536 ticks and so on; a slot is a
doubly linked list threaded through two arrays. A timer waits in the wheel whose slots are just finer than its
distance, and moves one wheel down when its slot's time comes. Timers that fall due go to a ready list, from
which `expired` gives out as many as are asked for, and `advance` moves so many at most: however many fall due
together, the caller bounds its turn.
"""

from __future__ import annotations

from array import array

BITS = 8
SLOTS = 1 << BITS
MASK = SLOTS - 1
WHEELS = 4
MOST = (1 << BITS * WHEELS) - 1  # ticks that a timer may lie ahead
READY = WHEELS * SLOTS  # the list of those that have fallen due
MOVING = READY + 1  # the list of those on their way one wheel down
HEADS = MOVING + 1
NONE = -1


class Wheel:
    """Timers by number; times are ticks, whole and never going back."""

    __slots__ = ("_due", "_free", "_next", "_previous", "_slot", "_soon", "_total", "now", "ready")

    def __init__(self, now: int = 0) -> None:
        self.now = now
        self.ready = 0  # timers that have fallen due and were not given out
        self._total = 0
        self._soon = array("i", [0]) * SLOTS  # how many are in each slot of the finest wheel
        # Heads of the lists come first; timer n is entry HEADS + n.
        self._next = array("i", range(HEADS))
        self._previous = array("i", range(HEADS))
        self._slot = array("h")  # of each timer; NONE: it is free
        self._due = array("q")
        self._free: list[int] = []

    def __len__(self) -> int:
        """How many timers there are."""
        return self._total

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

    def advance(self, now: int, most: int = 1 << 62) -> bool:
        """Let time pass to that tick, moving so many timers at most; whether it got there."""
        if self._total == self.ready:
            self.now = max(self.now, now)
            return True
        while True:
            while (entry := self._next[MOVING]) != MOVING:
                if not most:
                    return False
                most -= 1
                timer = entry - HEADS
                self._cut(entry)
                self._total -= 1
                self._put(timer, self._due[timer])
            self._ripen(self.now & MASK)
            if self.now >= now:
                return True
            self.now += 1
            wheel, ahead = 1, self.now
            while not ahead & MASK and wheel < WHEELS:  # a round of the finer wheel is over
                ahead >>= BITS
                self._splice(wheel * SLOTS + (ahead & MASK), MOVING)
                wheel += 1

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
        self._total += 1
        if distance <= 0:
            slot = READY
            self.ready += 1
        else:
            due = self.now + min(distance, MOST)  # what lies farther ahead is put off again when that comes
            wheel = ((due - self.now).bit_length() - 1) // BITS
            slot = wheel * SLOTS + (due >> BITS * wheel & MASK)
            if not wheel:
                self._soon[slot] += 1
        self._slot[timer] = slot
        entry, last = HEADS + timer, self._previous[slot]
        self._next[last], self._previous[entry] = entry, last
        self._next[entry], self._previous[slot] = slot, entry

    def _cut(self, entry: int) -> None:
        before, behind = self._previous[entry], self._next[entry]
        self._next[before], self._previous[behind] = behind, before

    def _unlink(self, timer: int) -> None:
        self._cut(HEADS + timer)
        self._total -= 1
        slot = self._slot[timer]
        # Whole slots of the finest wheel are joined to the ready list: their timers are told by their time.
        if slot == READY or (slot < SLOTS and self._due[timer] <= self.now):
            self.ready -= 1
        elif slot < SLOTS:
            self._soon[slot] -= 1

    def _splice(self, slot: int, to: int) -> None:
        """Join a whole list to another one's end, whatever its length."""
        first, last = self._next[slot], self._previous[slot]
        if first != slot:
            tail = self._previous[to]
            self._next[tail], self._previous[first] = first, tail
            self._next[last], self._previous[to] = to, last
            self._next[slot] = self._previous[slot] = slot

    def _ripen(self, slot: int) -> None:
        """All of a slot of the finest wheel has fallen due."""
        if self._soon[slot]:
            self.ready += self._soon[slot]
            self._soon[slot] = 0
            self._splice(slot, READY)
