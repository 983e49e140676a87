"""A token bucket that may go into debt; the caller gives the time."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Tokens that are refilled at a rate up to a burst size; consuming may leave them below zero."""

    tokens: float
    updated_ms: float = 0.0  # when the tokens were last refilled

    def refill(self, now_ms: float, rate_per_ms: float, burst: float) -> float:
        """Refill up to the given time, and return the tokens; a clock that went back refills nothing."""
        gained = rate_per_ms * max(0.0, now_ms - self.updated_ms)
        self.tokens = min(burst, self.tokens + gained)
        self.updated_ms = max(now_ms, self.updated_ms)
        return self.tokens

    def consume(self, amount: float) -> None:
        """Consume tokens, whether or not there are as many."""
        self.tokens -= amount
