"""A token bucket whose balance may become negative; the caller passes the time."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Tokens that are refilled at a rate up to a burst size."""

    tokens: float
    updated_ms: float = 0.0  # when the tokens were last refilled

    def refill(self, now_ms: float, rate_per_ms: float, burst: float) -> float:
        """Refill up to the given time, and return the balance; no refill if the clock went back."""
        refilled = rate_per_ms * max(0.0, now_ms - self.updated_ms)
        self.tokens = min(burst, self.tokens + refilled)
        self.updated_ms = max(now_ms, self.updated_ms)
        return self.tokens

    def consume(self, amount: float) -> None:
        """Consume tokens; the balance may become negative."""
        self.tokens -= amount
