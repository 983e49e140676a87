"""Budget of CPU time for admitted requests, corrected by measurements."""

from __future__ import annotations

import math

from ringledge.structures.token_bucket import TokenBucket

BUDGET_DEPTH_MS = 60.0  # CPU time; the event loop processes such a burst in one or two iterations
# Decrease of the correction on delay; requests in progress have to finish before the next decrease.
DECREASE_FACTOR, DECREASE_INTERVAL_MS = 0.8, 300.0
# Gain of the correction by the distance of CPU use from its target, and largest step.
INTEGRAL_GAIN, MAX_STEP = 0.5, 0.2
# Fraction of its distance to 1 by which the correction moves per sample without rejections.
RELAXATION_RATE = 0.1
MIN_CORRECTION, MAX_CORRECTION = 0.1, 10.0  # estimated costs may be wrong by a factor of ten


class CpuBudget:
    """Token bucket whose refill rate is corrected by feedback."""

    def __init__(self, min_level: float) -> None:
        """`min_level` is the largest debt, as a negative fraction of the depth."""
        self._min_level_ms = min_level * BUDGET_DEPTH_MS
        self._bucket = TokenBucket(BUDGET_DEPTH_MS)
        self.rate_correction = 1.0
        self._has_rejected = False  # whether the budget has caused a rejection since the last sample
        self._decreased_at_ms = -math.inf

    def start_enforcing(self, now_ms: float, rate: float) -> None:
        """Start with an empty budget, less the debt from requests in progress."""
        level_ms = self.refill(now_ms, rate)
        self._bucket.tokens = max(self._min_level_ms, min(0.0, level_ms))

    def refill(self, now_ms: float, rate: float) -> float:
        """Refill the budget at a rate of CPU time per unit of time; returns the level in ms."""
        return self._bucket.refill(now_ms, rate, BUDGET_DEPTH_MS)

    def spend(self, cost_ms: float) -> None:
        """Subtract the cost of an admitted request."""
        self._bucket.consume(cost_ms)

    def record_rejection(self) -> None:
        """Record that a request was rejected because the budget was low."""
        self._has_rejected = True

    def adjust_rate(self, now_ms: float, is_delayed: bool, utilization: float) -> None:
        """Correct the rate for other processes on the core, and for costs that arise after they are counted.

        The correction decreases multiplicatively on delay. Otherwise it follows CPU use relative to its
        target, and approaches 1 while the budget rejects nothing.
        """
        if is_delayed and now_ms - self._decreased_at_ms >= DECREASE_INTERVAL_MS:
            self._decreased_at_ms = now_ms
            self.rate_correction *= DECREASE_FACTOR
            self._bucket.tokens = min(0.0, self._bucket.tokens)
        elif utilization > 1.0 or (self._has_rejected and not is_delayed):
            step = INTEGRAL_GAIN * (1.0 - utilization)
            self.rate_correction *= 1.0 + max(-MAX_STEP, min(MAX_STEP, step))
        elif not self._has_rejected:  # must not grow while unused, or the next burst would not be limited
            self.rate_correction += RELAXATION_RATE * (1.0 - self.rate_correction)
        self._has_rejected = False
        self.rate_correction = max(MIN_CORRECTION, min(MAX_CORRECTION, self.rate_correction))
