"""The budget of CPU time that admitted requests are paid from, and its correction by what is measured."""

from __future__ import annotations

import math

from ringledge.structures.token_bucket import TokenBucket

DEPTH_MS = 60.0  # CPU time that the budget holds: a burst that passes within one turn or two of the loop
DECREASE_FACTOR, DECREASE_EVERY_MS = 0.8, 300.0  # for delays: what was admitted before has to pass first
GAIN, MAX_STEP = 0.5, 0.2  # how it follows the CPU's distance from its target, and by how much at most
RELAXATION = 0.1  # of the way back to 1 that it goes with each sample in which it held nobody back
MIN_CORRECTION, MAX_CORRECTION = 0.1, 10.0  # the guess of costs may be wrong by as much


class CpuBudget:
    """A token bucket whose rate is corrected by feedback."""

    def __init__(self, lowest: float) -> None:
        """`lowest`: the deepest debt, as a part of the depth."""
        self._lowest_ms = lowest * DEPTH_MS
        self._bucket = TokenBucket(DEPTH_MS)
        self.correction = 1.0
        self._held_back = False  # it has rejected a request since the last sample
        self._decreased_at_ms = -math.inf

    def start(self, now_ms: float, rate: float) -> None:
        """Begin to enforce it: what was admitted up to now is still to be worked off, as far as known."""
        level_ms = self.refill(now_ms, rate)
        self._bucket.tokens = max(self._lowest_ms, min(0.0, level_ms))

    def refill(self, now_ms: float, rate: float) -> float:
        """Refill at a rate of CPU time per time; returns what is left, in ms."""
        return self._bucket.refill(now_ms, rate, DEPTH_MS)

    def spend(self, cost_ms: float) -> None:
        """An admitted request is paid."""
        self._bucket.consume(cost_ms)

    def count_rejected(self) -> None:
        """The budget has held a request back."""
        self._held_back = True

    def correct(self, now_ms: float, delayed: bool, used: float) -> None:
        """Follow what CPU time doesn't tell: others on the core, and costs that come later than counted."""
        if delayed and now_ms - self._decreased_at_ms >= DECREASE_EVERY_MS:
            self._decreased_at_ms = now_ms
            self.correction *= DECREASE_FACTOR
            self._bucket.tokens = min(0.0, self._bucket.tokens)
        elif used > 1.0 or (self._held_back and not delayed):
            step = GAIN * (1.0 - used)
            self.correction *= 1.0 + max(-MAX_STEP, min(MAX_STEP, step))
        elif not self._held_back:  # it must not grow while unused: the next rush would meet no limit
            self.correction += RELAXATION * (1.0 - self.correction)
        self._held_back = False
        self.correction = max(MIN_CORRECTION, min(MAX_CORRECTION, self.correction))
