"""Exponential backoff with full jitter; free of I/O, clocks and global randomness.

When a call fails for all callers at once, their own load is the cause, and retries at a constant rate keep
it failing. So the upper bound of the delay doubles with each failure, and the delay is drawn from the whole
interval up to that bound ("full jitter": Brooker, Exponential Backoff and Jitter, 2015), which spreads
callers that began together.
"""

from __future__ import annotations

import random


class Backoff:
    """The delays between the attempts of one call, in s."""

    def __init__(self, initial_s: float, max_s: float, rng: random.Random) -> None:
        """Delays have an upper bound, at first `initial_s`, that doubles up to `max_s`."""
        self._initial_s = initial_s
        self._max_s = max_s
        self._rng = rng
        self._bound_s = initial_s

    def next_delay_s(self, min_s: float = 0.0) -> float:
        """The delay after one more failure, on top of the delay `min_s` that the peer asked for."""
        delay_s = min_s + self._rng.uniform(0.0, self._bound_s)
        self._bound_s = min(self._max_s, 2 * self._bound_s)
        return delay_s

    def reset(self) -> None:
        """Return to the initial bound, after a call that succeeded."""
        self._bound_s = self._initial_s
