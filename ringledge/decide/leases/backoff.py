"""Delays between the failed attempts of one proposer."""

from __future__ import annotations

from random import Random

BACKOFF_RANGE_S = (0.05, 0.3)  # after a failed attempt; random, to spread proposers that failed together
BACKOFF_FACTORS = (1, 2, 4)  # by failed attempts in a row; longer while no majority is reachable


class AttemptBackoff:
    """Random delays that grow with the number of failed attempts in a row."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._failed_attempts = 0  # in a row

    def base_delay_s(self) -> float:
        """A delay that is not counted as a failed attempt."""
        return self._random.uniform(*BACKOFF_RANGE_S)

    def failure_delay_s(self) -> float:
        """Count a failed attempt, and return the delay until the next attempt."""
        factor = BACKOFF_FACTORS[min(self._failed_attempts, len(BACKOFF_FACTORS) - 1)]
        self._failed_attempts += 1
        return factor * self._random.uniform(*BACKOFF_RANGE_S)

    def reset(self) -> None:
        """Start again from the shortest delays, after a majority was reached."""
        self._failed_attempts = 0
