"""How long to wait before a call is tried again; free of I/O, clocks and global randomness.

A call that fails for all callers at once fails because of them: whoever comes back at a steady pace keeps it
failing. So the bound doubles with each failure, and the wait is drawn from the whole of it ("full jitter"),
which spreads callers that began at the same moment.
"""

from __future__ import annotations

import random


class Backoff:
    """The waits between the tries of one call; times in s."""

    def __init__(self, first_s: float, most_s: float, rng: random.Random) -> None:
        """`first_s`: the first wait's bound; `most_s`: what the doubled bound never exceeds."""
        self._first_s, self._most_s, self._rng = first_s, most_s, rng
        self._bound_s = first_s

    def next_s(self, least_s: float = 0.0) -> float:
        """The wait after one more failure; `least_s`: what the other side asked for, which is added to."""
        wait_s = least_s + self._rng.uniform(0.0, self._bound_s)
        self._bound_s = min(self._most_s, 2 * self._bound_s)
        return wait_s

    def reset(self) -> None:
        """The call went through: the next failure is a first one again."""
        self._bound_s = self._first_s
