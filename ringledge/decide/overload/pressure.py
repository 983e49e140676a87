"""Detects whether the process is under pressure: short of CPU time, or delayed."""

from __future__ import annotations

import math

from ringledge.decide.overload.messages import OverloadLimits, RejectionReason, ResourceSample

HIGH_UTILIZATION = 0.9  # fraction of the CPU target from which on CPU time is short
LOW_UTILIZATION = 0.6  # fraction of the CPU target below which CPU time can't be short
# Time without rejections or signs of pressure after which all requests are admitted.
QUIET_PERIOD_MS = 1_000.0
# Time of low utilization after which pressure ends in spite of rejections: estimated costs were too high.
IDLE_PERIOD_MS = 500.0


class PressureDetector:
    """Determines the pressure state from samples, with hysteresis."""

    def __init__(self, limits: OverloadLimits) -> None:
        self._limits = limits
        self.under_pressure = False
        self.transition_count = 0  # changes of `under_pressure`; stays low even if the load is near the limit
        self.has_settled = False  # True if a quiet period ended at the last sample
        self.reason = RejectionReason.CPU
        self._exceeded_max_delay = False  # whether the lag or wait of the previous sample was too long
        self._rejected_at_ms = -math.inf
        self._pressure_at_ms = -math.inf
        self._busy_at_ms = -math.inf

    def on_sample(self, sample: ResourceSample, utilization: float) -> bool:
        """Update the state from a sample; returns whether its delay is treated as pressure.

        `utilization` is the CPU use relative to its target.
        """
        now_ms = sample.at_ms
        exceeds_max_delay = max(sample.loop_lag_ms, sample.queue_wait_ms) > self._limits.max_delay_ms
        # A single late sample is not sufficient: a process that was stopped is also late, but used no CPU.
        is_delayed = exceeds_max_delay and (self._exceeded_max_delay or utilization >= LOW_UTILIZATION)
        self._exceeded_max_delay = exceeds_max_delay
        has_pressure = utilization >= HIGH_UTILIZATION or is_delayed
        if has_pressure:
            self._pressure_at_ms = now_ms
            is_delay_only = is_delayed and utilization < HIGH_UTILIZATION
            self.reason = RejectionReason.DELAY if is_delay_only else RejectionReason.CPU
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
                self._set_under_pressure(False)
        elif has_pressure:
            self._set_under_pressure(True)

    def on_loop_lag(self, now_ms: float, loop_lag_ms: float, utilization: float) -> bool:
        """Update the state from the event loop's lag between samples; returns whether pressure begins now."""
        if self.under_pressure or loop_lag_ms <= self._limits.max_delay_ms or utilization < LOW_UTILIZATION:
            return False
        self.reason = RejectionReason.DELAY
        self._pressure_at_ms = now_ms
        self._busy_at_ms = now_ms
        self._set_under_pressure(True)
        return True

    def record_rejection(self, now_ms: float) -> None:
        """Record that a request was rejected because of pressure."""
        self._rejected_at_ms = now_ms

    def _set_under_pressure(self, under_pressure: bool) -> None:
        self.under_pressure = under_pressure
        self.transition_count += 1
