"""A hierarchical timer wheel (Varghese and Lauck, 1987): constant time for each operation, no object a timer.

A timer is a number. The wheel has four levels of 256 slots, whose slots span 1, 256, 65,536 ticks and so on;
a slot is a doubly linked list threaded through two arrays. A timer stands in the finest level that reaches
its due tick, and cascades one level down when its slot's time comes. Expired timers go to a list of their
own, from which `pop_expired` returns as many as the caller asks for, and `advance` cascades as many at most:
the caller bounds its turn, however many timers expire at once.
"""

from __future__ import annotations

from array import array

SLOT_BITS = 8
SLOTS_PER_LEVEL = 1 << SLOT_BITS
SLOT_MASK = SLOTS_PER_LEVEL - 1
LEVELS = 4
MAX_TICKS = (1 << SLOT_BITS * LEVELS) - 1  # that a timer may lie ahead before it is rescheduled on the way
EXPIRED = LEVELS * SLOTS_PER_LEVEL  # the list of the expired timers
CASCADING = EXPIRED + 1  # the list of the timers that are to go one level down
FIRST_TIMER = CASCADING + 1  # the entry of timer 0; the entries before it are the lists' heads
FREE = -1
NO_LIMIT = 1 << 62


class TimerWheel:
    """Timers by number; times are ticks, integers that never decrease."""

    __slots__ = (
        "_due_tick",
        "_finest_level_counts",
        "_free",
        "_list_of",
        "_next",
        "_previous",
        "_total",
        "expired_count",
        "now",
    )

    def __init__(self, now: int = 0) -> None:
        self.now = now
        self.expired_count = 0  # expired timers that `pop_expired` has not returned yet
        self._total = 0
        self._finest_level_counts = array("i", [0]) * SLOTS_PER_LEVEL  # how many are in each slot
        self._next = array("i", range(FIRST_TIMER))
        self._previous = array("i", range(FIRST_TIMER))
        self._list_of = array("h")  # the list that each timer was inserted into; FREE: the number is unused
        self._due_tick = array("q")
        self._free: list[int] = []

    def __len__(self) -> int:
        """How many timers there are."""
        return self._total

    def schedule(self, due: int) -> int:
        """Start a timer for that tick, and return its number; one in the past expires at once.

        The number may be used anew when the timer has been returned by `pop_expired` or cancelled.
        """
        if self._free:
            timer = self._free.pop()
            self._due_tick[timer] = due
        else:
            timer = len(self._list_of)
            self._list_of.append(FREE)
            self._due_tick.append(due)
            self._next.append(FREE)
            self._previous.append(FREE)
        self._insert(timer, due)
        return timer

    def reschedule(self, timer: int, due: int) -> None:
        """Have a timer expire at another tick."""
        self._remove(timer)
        self._due_tick[timer] = due
        self._insert(timer, due)

    def cancel(self, timer: int) -> None:
        """Delete a timer; KeyError if there is none of that number."""
        if not 0 <= timer < len(self._list_of) or self._list_of[timer] == FREE:
            raise KeyError(timer)
        self._remove(timer)
        self._list_of[timer] = FREE
        self._free.append(timer)

    def advance(self, now: int, max_cascaded: int = NO_LIMIT) -> bool:
        """Advance to that tick, cascading so many timers at most; whether that tick was reached."""
        if self._total == self.expired_count:
            self.now = max(self.now, now)
            return True
        while True:
            while (entry := self._next[CASCADING]) != CASCADING:
                if not max_cascaded:
                    return False
                max_cascaded -= 1
                timer = entry - FIRST_TIMER
                self._detach(entry)
                self._total -= 1
                self._insert(timer, self._due_tick[timer])
            self._expire_slot(self.now & SLOT_MASK)
            if self.now >= now:
                return True
            self.now += 1
            self._begin_cascade()

    def _begin_cascade(self) -> None:
        """Where a finer level has completed a round, prepare the next slot of the coarser one to cascade."""
        level, ahead = 1, self.now
        while not ahead & SLOT_MASK and level < LEVELS:
            ahead >>= SLOT_BITS
            self._splice(level * SLOTS_PER_LEVEL + (ahead & SLOT_MASK), CASCADING)
            level += 1

    def pop_expired(self, max_timers: int) -> list[int]:
        """Delete so many expired timers at most, and return them in the order in which they expired."""
        timers = list[int]()
        entry = self._next[EXPIRED]
        while entry != EXPIRED and len(timers) < max_timers:
            timers.append(entry - FIRST_TIMER)
            entry = self._next[entry]
        for timer in timers:
            self._remove(timer)
            self._list_of[timer] = FREE
            self._free.append(timer)
        return timers

    # The lists.

    def _insert(self, timer: int, due: int) -> None:
        """Append a timer to the list for its due tick."""
        distance = due - self.now
        self._total += 1
        if distance <= 0:
            slot = EXPIRED
            self.expired_count += 1
        else:
            due = self.now + min(distance, MAX_TICKS)  # what lies farther ahead is inserted again on the way
            level = ((due - self.now).bit_length() - 1) // SLOT_BITS
            slot = level * SLOTS_PER_LEVEL + (due >> SLOT_BITS * level & SLOT_MASK)
            if not level:
                self._finest_level_counts[slot] += 1
        self._list_of[timer] = slot
        entry, last = FIRST_TIMER + timer, self._previous[slot]
        self._next[last], self._previous[entry] = entry, last
        self._next[entry], self._previous[slot] = slot, entry

    def _detach(self, entry: int) -> None:
        """Unlink an entry from its list."""
        before, behind = self._previous[entry], self._next[entry]
        self._next[before], self._previous[behind] = behind, before

    def _remove(self, timer: int) -> None:
        """Unlink a timer, and update the counts."""
        self._detach(FIRST_TIMER + timer)
        self._total -= 1
        slot = self._list_of[timer]
        # Slots of the finest level expire as a whole, so `_list_of` is not updated: the due tick tells.
        if slot == EXPIRED or (slot < SLOTS_PER_LEVEL and self._due_tick[timer] <= self.now):
            self.expired_count -= 1
        elif slot < SLOTS_PER_LEVEL:
            self._finest_level_counts[slot] -= 1

    def _splice(self, source: int, target: int) -> None:
        """Move all entries of one list to the end of another, in constant time."""
        first, last = self._next[source], self._previous[source]
        if first != source:
            tail = self._previous[target]
            self._next[tail], self._previous[first] = first, tail
            self._next[last], self._previous[target] = target, last
            self._next[source] = self._previous[source] = source

    def _expire_slot(self, slot: int) -> None:
        """All timers in a slot of the finest level have expired."""
        if self._finest_level_counts[slot]:
            self.expired_count += self._finest_level_counts[slot]
            self._finest_level_counts[slot] = 0
            self._splice(slot, EXPIRED)
