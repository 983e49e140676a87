"""Whether the process is under pressure: short of CPU time, or late."""

from __future__ import annotations

import math

from ringledge.decide.overload.messages import OverloadLimits, RejectionReason, ResourceSample

HIGH_UTILIZATION = 0.9  # of the CPU target: from here on the CPU is short
LOW_UTILIZATION = 0.6  # of the CPU target: below it nothing can be short of CPU
QUIET_PERIOD_MS = 1_000.0  # without a rejection and without pressure until every request is admitted again
IDLE_PERIOD_MS = 500.0  # of low utilization after which the same holds: the estimated costs were too high


class PressureDetector:
    """Turns samples into a state, with hysteresis."""

    def __init__(self, limits: OverloadLimits) -> None:
        self._limits = limits
        self.under_pressure = False
        self.transition_count = 0  # of `under_pressure`: few, also at a load that hovers at the limit
        self.has_settled = False  # the last sample completed a quiet period
        self.reason = RejectionReason.CPU
        self._was_late = False  # the last sample reported a delay
        self._rejected_at_ms = -math.inf
        self._pressure_at_ms = -math.inf
        self._busy_at_ms = -math.inf

    def on_sample(self, sample: ResourceSample, utilization: float) -> bool:
        """Update the state by a sample and the CPU's use relative to its target; whether a delay counts."""
        now_ms = sample.at_ms
        is_late = max(sample.loop_lag_ms, sample.queue_wait_ms) > self._limits.max_delay_ms
        # One late sample alone proves nothing: a process that was stopped is late, too, but used no CPU.
        is_delayed = is_late and (self._was_late or utilization >= LOW_UTILIZATION)
        self._was_late = is_late
        has_pressure = utilization >= HIGH_UTILIZATION or is_delayed
        if has_pressure:
            self._pressure_at_ms = now_ms
            by_delay = is_delayed and utilization < HIGH_UTILIZATION
            self.reason = RejectionReason.DELAY if by_delay else RejectionReason.CPU
        if utilization >= LOW_UTILIZATION or has_pressure:
            self._busy_at_ms = now_ms
        self._update_state(now_ms, has_pressure)
        return is_delayed

    def _update_state(self, now_ms: float, has_pressure: bool) -> None:
        self.has_settled = False
        if self.under_pressure:
            quiet_ms = now_ms - max(self._rejected_at_ms, self._pressure_at_ms)
            self.has_settled = quiet_ms >= QUIET_PERIOD_MS
            if self.has_settled or now_ms - self._busy_at_ms >= IDLE_PERIOD_MS:
                self._set(False)
        elif has_pressure:
            self._set(True)

    def on_loop_lag(self, now_ms: float, loop_lag_ms: float, utilization: float) -> bool:
        """Update the state between two samples by the event loop's lag; whether pressure begins with it."""
        if self.under_pressure or loop_lag_ms <= self._limits.max_delay_ms or utilization < LOW_UTILIZATION:
            return False
        self.reason = RejectionReason.DELAY
        self._pressure_at_ms = now_ms
        self._busy_at_ms = now_ms
        self._set(True)
        return True

    def record_rejection(self, now_ms: float) -> None:
        """A request was rejected for pressure."""
        self._rejected_at_ms = now_ms

    def _set(self, under_pressure: bool) -> None:
        self.under_pressure = under_pressure
        self.transition_count += 1
