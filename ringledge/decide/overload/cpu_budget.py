"""The budget of CPU time that admitted requests draw on, corrected by measurements."""

from __future__ import annotations

import math

from ringledge.structures.token_bucket import TokenBucket

DEPTH_MS = 60.0  # CPU time that the budget holds: a burst that is worked off in a turn or two of the loop
DECREASE_FACTOR, DECREASE_INTERVAL_MS = 0.8, 300.0  # for delays: what is in progress has to finish first
INTEGRAL_GAIN, MAX_STEP = 0.5, 0.2  # of the correction, by the CPU's distance from its target; step limit
RELAXATION_RATE = 0.1  # of the distance to 1 that it moves with each sample in which it rejected nothing
MIN_CORRECTION, MAX_CORRECTION = 0.1, 10.0  # the estimated costs may be wrong by as much


class CpuBudget:
    """A token bucket whose rate is corrected by feedback."""

    def __init__(self, min_level: float) -> None:
        """`min_level`: the deepest debt, as a fraction of the depth (below 0)."""
        self._min_level_ms = min_level * DEPTH_MS
        self._bucket = TokenBucket(DEPTH_MS)
        self.rate_correction = 1.0
        self._has_rejected = False  # since the last sample
        self._decreased_at_ms = -math.inf

    def start_enforcing(self, now_ms: float, rate: float) -> None:
        """Start with an empty budget, less the known debt of requests in progress."""
        level_ms = self.refill(now_ms, rate)
        self._bucket.tokens = max(self._min_level_ms, min(0.0, level_ms))

    def refill(self, now_ms: float, rate: float) -> float:
        """Refill at a rate of CPU time per time; returns the level in ms."""
        return self._bucket.refill(now_ms, rate, DEPTH_MS)

    def spend(self, cost_ms: float) -> None:
        """Draw an admitted request's cost."""
        self._bucket.consume(cost_ms)

    def record_rejection(self) -> None:
        """A request was rejected for the budget."""
        self._has_rejected = True

    def adjust_rate(self, now_ms: float, is_delayed: bool, utilization: float) -> None:
        """Correct the rate for other processes on the core and for costs that arise later than counted.

        Multiplicative decrease on delay; otherwise the correction follows the CPU's use relative to its
        target, and relaxes to 1 while the budget rejects nothing.
        """
        if is_delayed and now_ms - self._decreased_at_ms >= DECREASE_INTERVAL_MS:
            self._decreased_at_ms = now_ms
            self.rate_correction *= DECREASE_FACTOR
            self._bucket.tokens = min(0.0, self._bucket.tokens)
        elif utilization > 1.0 or (self._has_rejected and not is_delayed):
            step = INTEGRAL_GAIN * (1.0 - utilization)
            self.rate_correction *= 1.0 + max(-MAX_STEP, min(MAX_STEP, step))
        elif not self._has_rejected:  # it must not grow while unused: the next burst would meet no limit
            self.rate_correction += RELAXATION_RATE * (1.0 - self.rate_correction)
        self._has_rejected = False
        self.rate_correction = max(MIN_CORRECTION, min(MAX_CORRECTION, self.rate_correction))
