"""Whether the process is under pressure: short of CPU time, or late."""

from __future__ import annotations

import math

from ringledge.decide.overload.messages import Limits, Reason, Sample

BUSY = 0.9  # of the CPU target: from here on the CPU presses
IDLE = 0.6  # of the CPU target: under it nothing can be short of CPU
CALM_MS = 1_000.0  # without a rejection and without pressure until every request is admitted again
IDLE_MS = 500.0  # of an idle CPU after which the same holds, whatever was rejected: costs were guessed wrong


class PressureDetector:
    """Turns samples into a state, with hysteresis."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self.pressed = False
        self.changes = 0  # times that `pressed` has changed: at a load that hovers these stay few
        self.calm = False  # the last sample ended a while without pressure
        self.reason = Reason.CPU
        self._late = False  # the last sample told of a delay
        self._rejected_at_ms = self._hot_at_ms = self._busy_at_ms = -math.inf

    def observe(self, sample: Sample, used: float) -> bool:
        """Update the state by a sample and the share of the target CPU used; whether a delay presses."""
        now_ms = sample.at_ms
        late = max(sample.loop_ms, sample.unread_ms) > self._limits.delay_ms
        # One late sample alone proves nothing: a process that was stopped is late, too, but used no CPU.
        delayed = late and (self._late or used >= IDLE)
        self._late = late
        hot = used >= BUSY or delayed
        if hot:
            self._hot_at_ms = now_ms
            self.reason = Reason.DELAY if delayed and used < BUSY else Reason.CPU
        if used >= IDLE or hot:
            self._busy_at_ms = now_ms
        self.calm = False
        if not self.pressed and hot:
            self._set(True)
        elif self.pressed:
            quiet_ms = now_ms - max(self._rejected_at_ms, self._hot_at_ms)
            self.calm = quiet_ms >= CALM_MS
            if self.calm or now_ms - self._busy_at_ms >= IDLE_MS:
                self._set(False)
        return delayed

    def observe_lag(self, now_ms: float, lag_ms: float, used: float) -> bool:
        """See between two samples that the loop is late; whether that begins a time of pressure."""
        if self.pressed or lag_ms <= self._limits.delay_ms or used < IDLE:
            return False
        self.reason = Reason.DELAY
        self._hot_at_ms = self._busy_at_ms = now_ms
        self._set(True)
        return True

    def count_rejected(self, now_ms: float) -> None:
        """A request was rejected for pressure."""
        self._rejected_at_ms = now_ms

    def _set(self, pressed: bool) -> None:
        self.pressed = pressed
        self.changes += 1
