"""Statistics of one site's demand: means over two horizons, and oscillation of the mix of prefill and decode.

Free of I/O and clocks.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import inf, sqrt
from statistics import median

MAX_HALF_PERIODS = 6  # number of half-periods that are retained: three periods
# An oscillation has ended after this many median half-periods without a reversal.
OSCILLATION_END_FACTOR = 3
EPSILON = 1e-9  # rates up to this value count as zero; prevents divisions by zero


@dataclass(slots=True)
class DualHorizonMean:
    """Exponentially weighted means of one series over two horizons, with the variance of its noise."""

    fast: float = 0.0
    slow: float = 0.0
    last_sample: float = 0.0
    # Variance of one sample, from the differences of consecutive samples: a trend adds little to it.
    noise_variance: float = 0.0

    def add(self, value: float, fast_weight: float, slow_weight: float, first: bool) -> None:
        """Add a sample with its weight at each horizon; the first sample sets both means."""
        if first:
            self.fast = self.slow = self.last_sample = value
            return
        sample_variance = (value - self.last_sample) ** 2 / 2
        self.noise_variance += slow_weight * (sample_variance - self.noise_variance)
        self.last_sample = value
        self.fast += fast_weight * (value - self.fast)
        self.slow += slow_weight * (value - self.slow)

    def deviation(self, weight: float) -> float:
        """Standard deviation of the mean whose samples have this weight, if samples are independent."""
        return sqrt(self.noise_variance * weight / (2 - weight))

    def estimate(
        self, fast_weight: float, slow_weight: float, significance: float, trend_gain: float
    ) -> tuple[float, float]:
        """The present value and its standard deviation.

        The weight of the fast mean grows with its difference from the slow mean, and is 1 from `significance`
        standard deviations on. `trend_gain` times the difference compensates for its lag behind a trend.
        """
        difference = self.fast - self.slow
        deviation = self.deviation(fast_weight)
        fast_fraction = min(1.0, (difference / (significance * deviation + EPSILON)) ** 2)
        value = self.slow + fast_fraction * ((1 + trend_gain) * difference)
        return max(0.0, value), fast_fraction * deviation + (1 - fast_fraction) * self.deviation(slow_weight)


@dataclass(slots=True)
class MixOscillation:
    """Tracks the mix of prefill and decode between its turning points, which delimit half-periods.

    The mix is represented by the logarithm of the ratio of prefill to decode tokens.
    """

    extreme: float = 0.0  # log ratio that is furthest in the present direction
    rising: bool | None = None  # None: the direction is not known yet
    half_period_start_s: float = -inf
    half_periods_s: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_HALF_PERIODS))

    def add(self, now_s: float, log_ratio: float, min_reversal: float) -> None:
        """Add the present log ratio; a reversal by `min_reversal` or more ends the half-period."""
        reversal = abs(log_ratio - self.extreme)
        if self.half_period_start_s == -inf:
            self._start_half_period(now_s, log_ratio, None)
        elif self.rising is None:
            if reversal >= min_reversal:
                self._start_half_period(now_s, log_ratio, log_ratio > self.extreme)
        elif (log_ratio > self.extreme) is self.rising and log_ratio != self.extreme:
            self.extreme = log_ratio
        elif reversal >= min_reversal:
            self.half_periods_s.append(now_s - self.half_period_start_s)
            self._start_half_period(now_s, log_ratio, not self.rising)
        if self.half_periods_s:
            max_half_period_s = OSCILLATION_END_FACTOR * median(self.half_periods_s)
            if now_s - self.half_period_start_s > max_half_period_s:
                self.half_periods_s.clear()

    def _start_half_period(self, now_s: float, log_ratio: float, rising: bool | None) -> None:
        self.rising = rising
        self.half_period_start_s = now_s
        self.extreme = log_ratio

    def median_half_period_s(self) -> float:
        """The median length of a half-period; inf while fewer than two have ended."""
        return median(self.half_periods_s) if len(self.half_periods_s) >= 2 else inf
