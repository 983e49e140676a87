"""When a watch of the list counts as silent; free of I/O and clocks.

Discovery writes an empty line every 2 s, so a watch is silent that brings no whole line for a little longer,
however many single bytes it brings meanwhile. A long list may take longer than that over a slow link, though,
and would never be had if each watch were given up under it. So a line that has begun and still comes in
pieces has an allowance. The first two watches in a row get no more time for it than for silence, for a new
watch is mostly a healthy one; from the third on the allowance doubles with each watch.
"""

from __future__ import annotations

EQUAL_TRIES = 2  # watches in a row that get no more time for a line that has begun than for silence
MOST_DOUBLED = 32  # of the first allowance


class WatchClock:
    """The deadline of what is waited for on a watch; times in s."""

    def __init__(self, silence_s: float) -> None:
        """`silence_s`: how long a watch may go without a whole line, or without any byte of a long one."""
        self._silence_s = silence_s
        self._slow_lines = 0  # watches in a row that were given up under a line that still came
        self._began_s = self._line_s = self._byte_s = 0.0
        self._line_begun = False

    @property
    def allowance_s(self) -> float:
        """How long a line may take to come, from the last whole one."""
        doubled: int = 2 ** max(0, self._slow_lines - EQUAL_TRIES + 1)
        return self._silence_s * min(MOST_DOUBLED, doubled)

    @property
    def deadline_s(self) -> float:
        """When the watch counts as silent unless something comes before."""
        silent_s = self._byte_s if self._line_begun else self._line_s
        return min(silent_s + self._silence_s, self._line_s + self.allowance_s)

    def begin(self, now_s: float) -> None:
        """A watch has been answered; nothing of its first line has come."""
        self._began_s = self._line_s = self._byte_s = now_s
        self._line_begun = False

    def piece(self, now_s: float, told: bool, whole: bool, line_begun: bool) -> None:
        """A piece has come.

        `told`: it ended an object of the list; `whole`: it ended such an object or an empty line;
        `line_begun`: part of a further line has come.
        """
        self._byte_s, self._line_begun = now_s, line_begun
        if whole:
            self._line_s = now_s
        # What a watch owes comes first of all on it: one that lives on with empty lines alone owes nothing.
        if told or (whole and not line_begun and now_s - self._began_s > self._silence_s):
            self._slow_lines = 0

    def expired(self, now_s: float) -> bool:
        """The watch is given up at its deadline; whether under a line that still came in pieces."""
        slow = self._line_begun and now_s - self._byte_s < self._silence_s
        if slow:
            self._slow_lines += 1
        return slow

    def moved(self) -> None:
        """Discovery is elsewhere: what was slow there says nothing of it."""
        self._slow_lines = 0
