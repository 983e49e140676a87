"""Exponential backoff with full jitter; free of I/O, clocks and global randomness.

A call that fails for all callers at once fails because of them: retries at a constant rate keep it failing.
So the bound doubles with each failure, and the delay is drawn from the whole interval up to it (the "full
jitter" of Brooker, Exponential Backoff and Jitter, 2015), which spreads callers that began together.
"""

from __future__ import annotations

import random


class Backoff:
    """The delays between the attempts of one call; times in s."""

    def __init__(self, initial_s: float, max_s: float, rng: random.Random) -> None:
        """`initial_s`: bound of the first delay; `max_s`: limit of the doubled bound."""
        self._initial_s = initial_s
        self._max_s = max_s
        self._rng = rng
        self._bound_s = initial_s

    def next_delay_s(self, min_s: float = 0.0) -> float:
        """The delay after one more failure; `min_s`: delay that the peer asked for, to which it is added."""
        delay_s = min_s + self._rng.uniform(0.0, self._bound_s)
        self._bound_s = min(self._max_s, 2 * self._bound_s)
        return delay_s

    def reset(self) -> None:
        """The call succeeded: the next failure is a first one again."""
        self._bound_s = self._initial_s
