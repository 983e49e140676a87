"""A hierarchical timer wheel (Varghese and Lauck, 1987) with constant time per operation.

A timer is a number, not an object. The wheel has four levels of 256 slots; a slot spans 1 tick in the finest
level, then 256, 65,536 and 16,777,216 ticks. Each slot is a doubly linked list, kept in two arrays of
indices. A timer is put into the finest level that reaches its due tick, and cascades to a finer level when
its slot becomes current. Expired timers are moved to a separate list. The caller limits how many timers
`pop_expired` returns and how many `advance` cascades, so that one call is short however many timers expire at
once.
"""

from __future__ import annotations

from array import array

SLOT_BITS = 8
SLOTS_PER_LEVEL = 1 << SLOT_BITS
SLOT_MASK = SLOTS_PER_LEVEL - 1
LEVELS = 4
# The longest distance from `now` to a due tick in the wheel; later timers are inserted again on the way.
MAX_TICKS = (1 << SLOT_BITS * LEVELS) - 1
EXPIRED = LEVELS * SLOTS_PER_LEVEL  # index of the list of expired timers
CASCADING = EXPIRED + 1  # index of the list of timers that are about to cascade
FIRST_TIMER = CASCADING + 1  # index of timer 0's entry; the entries before it are list heads
UNUSED = -1
NO_LIMIT = 1 << 62


class TimerWheel:
    """A set of numbered timers; time is counted in ticks, and `now` never decreases."""

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
        self.expired_count = 0  # expired timers that `pop_expired` has not returned
        self._total = 0
        self._finest_level_counts = array("i", [0]) * SLOTS_PER_LEVEL  # timers in each of its slots
        self._next = array("i", range(FIRST_TIMER))
        self._previous = array("i", range(FIRST_TIMER))
        self._list_of = array("h")  # the list each timer was inserted into; UNUSED if the number is free
        self._due_tick = array("q")
        self._free: list[int] = []

    def __len__(self) -> int:
        """The number of timers, including expired ones."""
        return self._total

    def schedule(self, due: int) -> int:
        """Start a timer that is due at a tick, and return its number; a past tick expires at once.

        The number may be reused after the timer was returned by `pop_expired` or cancelled.
        """
        if self._free:
            timer = self._free.pop()
            self._due_tick[timer] = due
        else:
            timer = len(self._list_of)
            self._list_of.append(UNUSED)
            self._due_tick.append(due)
            self._next.append(UNUSED)
            self._previous.append(UNUSED)
        self._insert(timer, due)
        return timer

    def reschedule(self, timer: int, due: int) -> None:
        """Change the tick at which a timer is due."""
        self._remove(timer)
        self._due_tick[timer] = due
        self._insert(timer, due)

    def cancel(self, timer: int) -> None:
        """Delete a timer; KeyError if no timer has that number."""
        if not 0 <= timer < len(self._list_of) or self._list_of[timer] == UNUSED:
            raise KeyError(timer)
        self._remove(timer)
        self._list_of[timer] = UNUSED
        self._free.append(timer)

    def advance(self, now: int, max_cascaded: int = NO_LIMIT) -> bool:
        """Advance to a tick, cascading at most `max_cascaded` timers; False if the tick was not reached."""
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
        """Prepare the next slot of each coarser level for cascading if the level below completed a round."""
        level, shifted_now = 1, self.now
        while not shifted_now & SLOT_MASK and level < LEVELS:
            shifted_now >>= SLOT_BITS
            self._splice(level * SLOTS_PER_LEVEL + (shifted_now & SLOT_MASK), CASCADING)
            level += 1

    def pop_expired(self, max_timers: int) -> list[int]:
        """Delete at most `max_timers` expired timers, and return them in the order of expiry."""
        timers = list[int]()
        entry = self._next[EXPIRED]
        while entry != EXPIRED and len(timers) < max_timers:
            timers.append(entry - FIRST_TIMER)
            entry = self._next[entry]
        for timer in timers:
            self._remove(timer)
            self._list_of[timer] = UNUSED
            self._free.append(timer)
        return timers

    # Operations on the linked lists.

    def _insert(self, timer: int, due: int) -> None:
        """Append a timer to the list for its due tick, and update the counts."""
        distance = due - self.now
        self._total += 1
        if distance <= 0:
            slot = EXPIRED
            self.expired_count += 1
        else:
            due = self.now + min(distance, MAX_TICKS)  # a later timer is inserted again on the way
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
        previous, following = self._previous[entry], self._next[entry]
        self._next[previous], self._previous[following] = following, previous

    def _remove(self, timer: int) -> None:
        """Unlink a timer, and update the counts."""
        self._detach(FIRST_TIMER + timer)
        self._total -= 1
        slot = self._list_of[timer]
        # A slot of the finest level expires as a whole without an update of `_list_of`, so the due tick shows
        # whether the timer has expired.
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
        """Move all timers in a slot of the finest level to the list of expired timers."""
        if self._finest_level_counts[slot]:
            self.expired_count += self._finest_level_counts[slot]
            self._finest_level_counts[slot] = 0
            self._splice(slot, EXPIRED)
