"""The delay between failed attempts of one proposer."""

from __future__ import annotations

from random import Random

BACKOFF_RANGE_S = (0.05, 0.3)  # after a failed attempt: apart from others that failed at the same time
BACKOFF_FACTORS = (1, 2, 4)  # by failed attempts in a row: longer where no majority is reachable


class AttemptBackoff:
    """Random delays that grow with the failed attempts in a row."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._failed_attempts = 0  # in a row

    def base_delay_s(self) -> float:
        """A delay that doesn't count as after a failure."""
        return self._random.uniform(*BACKOFF_RANGE_S)

    def failure_delay_s(self) -> float:
        """Count a failed attempt; the delay until the next."""
        factor = BACKOFF_FACTORS[min(self._failed_attempts, len(BACKOFF_FACTORS) - 1)]
        self._failed_attempts += 1
        return factor * self._random.uniform(*BACKOFF_RANGE_S)

    def reset(self) -> None:
        """A majority was reached."""
        self._failed_attempts = 0
