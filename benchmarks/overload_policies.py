"""Alternative policies that decide which requests are admitted under overload."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

from ringledge.decide.overload.admission import OverloadController
from ringledge.decide.overload.messages import OverloadLimits, ResourceSample
from ringledge.decide.overload.tenant_quotas import TenantQuota
from ringledge.lab.load_plan import Arrival

PRIORITY_WEIGHTS = (2.0, 6.0)  # of the classes


class AdmitAll:
    """Admits every request; the base class of the other policies."""

    def admit(self, now_ms: float, arrival: Arrival, age_ms: float) -> bool:
        """Whether a request is admitted that has waited `age_ms` to be read."""
        return True

    def on_first_token(self, now_ms: float, latency_ms: float) -> None:
        """Called at the first token of a response."""

    def on_sample(self, now_ms: float, loop_lag_ms: float, cpu_rate: float) -> None:
        """Called with the event loop's lag, and the CPU time per elapsed time, since the last sample."""


class CoDel(AdmitAll):
    """Controlled delay (RFC 8289) by queueing time; bookings are shed at ten times the target."""

    target_ms, interval_ms = 20.0, 100.0

    def __init__(self) -> None:
        self.above_ms = 0.0
        self.drop_ms = 0.0
        self.count = 0
        self.dropping = False

    def admit(self, now_ms: float, arrival: Arrival, age_ms: float) -> bool:
        if arrival.class_index:
            return age_ms < 10 * self.target_ms
        if age_ms < self.target_ms:
            self.above_ms, self.dropping = 0.0, False
            return True
        if not self.above_ms:
            self.above_ms = now_ms + self.interval_ms
        elif not self.dropping and now_ms >= self.above_ms:
            self.dropping, self.count = True, max(1, self.count - 2)
            self.drop_ms = now_ms
        if self.dropping and now_ms >= self.drop_ms:
            self.count += 1
            self.drop_ms += self.interval_ms / self.count**0.5
            return False
        return True


class Aimd(AdmitAll):
    """AIMD limit of requests in flight: plus 1 per round, minus 10% above twice the minimal latency."""

    def __init__(self) -> None:
        self.limit = 50.0
        self.in_flight = 0
        self.min_latency_ms = 1e9
        self.decrease_allowed_ms = 0.0

    def admit(self, now_ms: float, arrival: Arrival, age_ms: float) -> bool:
        if self.in_flight >= self.limit * (1.0 if arrival.class_index else 0.7):
            return False
        self.in_flight += 1
        return True

    def on_first_token(self, now_ms: float, latency_ms: float) -> None:
        self.in_flight -= 1
        self.min_latency_ms = min(self.min_latency_ms, latency_ms)
        if latency_ms > 2 * self.min_latency_ms and now_ms >= self.decrease_allowed_ms:
            self.limit = max(4.0, 0.9 * self.limit)
            self.decrease_allowed_ms = now_ms + 100
        elif latency_ms <= 2 * self.min_latency_ms:
            self.limit += 1 / self.limit


class Dagor(AdmitAll):
    """DAGOR (Zhou et al., 2018): a threshold over random priority levels, moved by the mean queueing time."""

    level_count, alpha, beta, target_ms = 64, 0.05, 0.01, 20.0

    def __init__(self) -> None:
        self.rng = random.Random(1)
        self.cursor = 0
        self.arrivals_by_level = Counter[int]()
        self.admitted_count = 0
        self.ages_ms: list[float] = []

    def admit(self, now_ms: float, arrival: Arrival, age_ms: float) -> bool:
        level = arrival.class_index * self.level_count + self.rng.randrange(self.level_count)
        self.arrivals_by_level[level] += 1
        self.ages_ms.append(age_ms)
        self.admitted_count += level >= self.cursor
        return level >= self.cursor

    def on_sample(self, now_ms: float, loop_lag_ms: float, cpu_rate: float) -> None:
        if not self.ages_ms:
            return
        is_late = sum(self.ages_ms) / len(self.ages_ms) > self.target_ms
        if is_late:
            target_count = self.admitted_count * (1 - self.alpha)
        else:
            target_count = self.admitted_count * (1 + self.beta) + 1
        expected_count = 0
        cursor = 2 * self.level_count
        while cursor > 0 and expected_count + self.arrivals_by_level[cursor - 1] <= target_count:
            cursor -= 1
            expected_count += self.arrivals_by_level[cursor]
        self.cursor = cursor
        self.admitted_count = 0
        self.arrivals_by_level.clear()
        self.ages_ms.clear()


class Pid(AdmitAll):
    """A PID controller of the loop's lag; its output is the probability to shed queries, then bookings."""

    target_ms, kp, ki, kd = 15.0, 0.01, 0.002, 0.005

    def __init__(self) -> None:
        self.rng = random.Random(1)
        self.integral = 0.0
        self.last_error_ms = 0.0
        self.shed_probability = 0.0

    def admit(self, now_ms: float, arrival: Arrival, age_ms: float) -> bool:
        return self.rng.random() >= self.shed_probability - (1.0 if arrival.class_index else 0.0)

    def on_sample(self, now_ms: float, loop_lag_ms: float, cpu_rate: float) -> None:
        error_ms = loop_lag_ms - self.target_ms
        self.integral = max(0.0, min(2.0 / self.ki, self.integral + error_ms))
        self.shed_probability = (
            self.kp * error_ms + self.ki * self.integral + self.kd * (error_ms - self.last_error_ms)
        )
        self.last_error_ms = error_ms


class CpuBudgetPolicy(AdmitAll):
    """The admission control of this program (`ringledge/decide/overload/admission.py`)."""

    def __init__(self) -> None:
        self.controller = OverloadController(
            OverloadLimits(), PRIORITY_WEIGHTS, [TenantQuota(1.0)], 1.0, 1000.0, random.Random(1)
        )
        self.sampled_at_ms = 0.0
        self.loop_lag_ms = 0.0
        self.cpu_rate = 0.0

    def admit(self, now_ms: float, arrival: Arrival, age_ms: float) -> bool:
        kb = arrival.body_bytes / 1024
        rejection = self.controller.admit(now_ms, arrival.class_index, 0, kb, self.loop_lag_ms, self.cpu_rate)
        return rejection is None

    def on_sample(self, now_ms: float, loop_lag_ms: float, cpu_rate: float) -> None:
        span_ms = now_ms - self.sampled_at_ms
        self.sampled_at_ms = now_ms
        self.controller.on_sample(ResourceSample(now_ms, span_ms, cpu_rate * span_ms, loop_lag_ms))


ALTERNATIVES: dict[str, Callable[[], AdmitAll]] = {
    "none": AdmitAll,
    "codel": CoDel,
    "aimd": Aimd,
    "dagor": Dagor,
    "pid": Pid,
    "budget": CpuBudgetPolicy,
}
