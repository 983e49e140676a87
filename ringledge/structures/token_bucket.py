"""A token bucket that may go into debt, for time given by the caller."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Bucket:
    """A level that fills at a rate up to a depth; what is taken may leave it below zero."""

    level: float
    at_ms: float = 0.0  # when the level was counted

    def fill(self, now_ms: float, per_ms: float, depth: float) -> float:
        """Count the level as of now; a clock that went back fills nothing."""
        gained = per_ms * max(0.0, now_ms - self.at_ms)
        self.level, self.at_ms = min(depth, self.level + gained), max(now_ms, self.at_ms)
        return self.level

    def take(self, amount: float) -> None:
        """Take so much, whether or not it is there."""
        self.level -= amount
