"""Statistics of one site's demand: means over two horizons, and the oscillation of the mix.

Free of I/O and clocks.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import inf, sqrt
from statistics import median

MAX_HALF_PERIODS = 6  # of the mix that are retained: three periods
END_FACTOR = 3  # times the usual half-period without a turn after which the oscillation has ended
EPSILON = 1e-9  # tokens per s: less is none


@dataclass(slots=True)
class DualHorizonMean:
    """Exponentially weighted means of one series over two horizons, with the variance of its noise."""

    fast: float = 0.0
    slow: float = 0.0
    last_sample: float = 0.0
    noise_variance: float = 0.0  # of one sample, by its difference to the one before: a trend adds little

    def add(self, value: float, fast_weight: float, slow_weight: float, first: bool) -> None:
        """Add a sample with its weight at each horizon; the first one sets both means."""
        if first:
            self.fast = self.slow = self.last_sample = value
            return
        sample_variance = (value - self.last_sample) ** 2 / 2
        self.noise_variance += slow_weight * (sample_variance - self.noise_variance)
        self.last_sample = value
        self.fast += fast_weight * (value - self.fast)
        self.slow += slow_weight * (value - self.slow)

    def deviation(self, weight: float) -> float:
        """Standard deviation of the mean with this weight, if samples are independent."""
        return sqrt(self.noise_variance * weight / (2 - weight))

    def estimate(
        self, fast_weight: float, slow_weight: float, significance: float, trend_gain: float
    ) -> tuple[float, float]:
        """The present value and its standard deviation.

        The larger the difference of the horizons, the more the fast one counts, fully from `significance`
        deviations on; `trend_gain` times the difference compensates for its lag behind a trend.
        """
        difference = self.fast - self.slow
        deviation = self.deviation(fast_weight)
        trust = min(1.0, (difference / (significance * deviation + EPSILON)) ** 2)
        value = self.slow + trust * ((1 + trend_gain) * difference)
        return max(0.0, value), trust * deviation + (1 - trust) * self.deviation(slow_weight)


@dataclass(slots=True)
class MixOscillation:
    """The course of the mix (log of prefill to decode): turning points, and the half-periods between them."""

    extreme: float = 0.0
    rising: bool | None = None  # None: no direction yet
    half_period_start_s: float = -inf
    half_periods_s: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_HALF_PERIODS))

    def add(self, now_s: float, mix: float, min_reversal: float) -> None:
        """Add the present mix; a reversal by `min_reversal` or more ends the half-period."""
        reversal = abs(mix - self.extreme)
        if self.half_period_start_s == -inf:
            self._turn(now_s, mix, None)
        elif self.rising is None:
            if reversal >= min_reversal:
                self._turn(now_s, mix, mix > self.extreme)
        elif (mix > self.extreme) is self.rising and mix != self.extreme:
            self.extreme = mix
        elif reversal >= min_reversal:
            self.half_periods_s.append(now_s - self.half_period_start_s)
            self._turn(now_s, mix, not self.rising)
        if self.half_periods_s:
            max_half_period_s = END_FACTOR * median(self.half_periods_s)
            if now_s - self.half_period_start_s > max_half_period_s:
                self.half_periods_s.clear()  # the oscillation has ended

    def _turn(self, now_s: float, mix: float, rising: bool | None) -> None:
        self.rising = rising
        self.half_period_start_s = now_s
        self.extreme = mix

    def median_half_period_s(self) -> float:
        """The usual length of a half-period; inf while fewer than two have ended."""
        return median(self.half_periods_s) if len(self.half_periods_s) >= 2 else inf
