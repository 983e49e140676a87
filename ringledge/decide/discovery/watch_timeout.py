"""When a watch of the list counts as silent; free of I/O and clocks.

Discovery writes an empty line every 2 s, so a watch is silent that brings no whole line for a little longer,
however many single bytes it brings meanwhile. A long list may take longer than that over a slow link, though,
and would never be had if each watch were given up under it. So a line that has begun and still comes in
pieces has an allowance. The first two watches in a row get no more time for it than for silence, for a new
watch is mostly a healthy one; from the third on the allowance doubles with each watch.

Where a change counts as told some time after discovery had it, whatever became of the watches, one clock runs
over all of them: from the last time that the list was known whole. Each further watch gets half of what is
left of that time, its connection included, so that several in a row can fail before it is over. Behind it
nothing is left to be gained by haste, and a watch gets its whole time again.
"""

from __future__ import annotations

from math import inf

BASE_ALLOWANCE_WATCHES = (
    2  # watches in a row that get no more time for a line that has begun than for silence
)
MAX_ALLOWANCE_FACTOR = 32  # of the first allowance
REMAINING_FRACTION = 0.5  # of the time that is left until a change counts as told, for each further watch
MIN_FIRST_LINE_S = 0.3  # that any watch gets: a busy process may take that long to read what is there


class WatchTimeout:
    """The deadline of what is waited for on a watch; times in s."""

    def __init__(self, silence_s: float, told_s: float = inf, known_s: float = 0.0) -> None:
        """`silence_s`: how long a watch may go without a whole line, or without any byte of a long one.

        `told_s`: after which a change that was missed counts as told; `known_s`: when the list was known
        whole, as far as anybody knows.
        """
        self._silence_s, self._told_s, self._known_s = silence_s, told_s, known_s
        self._slow_lines = 0  # watches in a row that were given up under a line that still came
        self._asked_s = self._began_s = self._line_s = self._byte_s = known_s
        self._line_begun = False
        self._owes_all = True  # nothing whole has come on this watch

    @property
    def allowance_s(self) -> float:
        """How long a line may take to come, from the last whole one."""
        doubled: int = 2 ** max(0, self._slow_lines - BASE_ALLOWANCE_WATCHES + 1)
        return self._silence_s * min(MAX_ALLOWANCE_FACTOR, doubled)

    @property
    def deadline_s(self) -> float:
        """When the watch counts as silent unless something comes before."""
        silent_s = self._byte_s if self._line_begun else self._line_s
        deadline_s = min(silent_s + self._silence_s, self._line_s + self.allowance_s)
        return min(deadline_s, self.first_line_deadline_s) if self._owes_all else deadline_s

    @property
    def first_line_deadline_s(self) -> float:
        """By when a watch that was just asked for has to have told what it owes, its connection included."""
        left_s = self._known_s + self._told_s - self._asked_s
        return self._asked_s + max(MIN_FIRST_LINE_S, REMAINING_FRACTION * left_s) if left_s > 0 else inf

    def watch_requested(self, now_s: float) -> None:
        """A watch is asked for."""
        self._asked_s = now_s
        self.watch_started(now_s)

    def watch_started(self, now_s: float) -> None:
        """A watch has been answered; nothing of its first line has come."""
        self._began_s = self._line_s = self._byte_s = now_s
        self._line_begun, self._owes_all = False, True

    def data_received(self, now_s: float, told: bool, whole: bool, line_begun: bool) -> None:
        """A piece has come.

        `told`: it ended an object of the list; `whole`: it ended such an object or an empty line;
        `line_begun`: part of a further line has come.
        """
        self._byte_s, self._line_begun = now_s, line_begun
        if whole:
            self._line_s = now_s
        # What a watch owes comes first of all on it: one that lives on with empty lines alone owes nothing.
        if told or (whole and not line_begun and now_s - self._began_s > self._silence_s):
            self._slow_lines, self._owes_all = 0, False
        if whole and not self._owes_all:
            self._known_s = now_s

    def watch_timed_out(self, now_s: float) -> bool:
        """The watch is given up at its deadline; whether under a line that still came in pieces."""
        slow = self._line_begun and now_s - self._byte_s < self._silence_s
        if slow:
            self._slow_lines += 1
        return slow

    def address_changed(self, known_s: float = 0.0) -> None:
        """Discovery is elsewhere: what was slow there says nothing of it. `known_s`: as at the start."""
        self._slow_lines, self._known_s = 0, known_s
