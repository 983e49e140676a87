"""Whether a request is admitted, by the process's own measurements; the lowest priority is rejected first.

A budget of CPU time (a token bucket) fills at the rate at which this process may use its core, and each
admitted request draws the estimated cost of such requests. Requests are in bands by priority weight. A band
may draw the budget down to its own reserve only, and the reserves fall with priority: whenever a request of
one band is admitted, those of all higher bands are as well, at each moment and without counting arrivals by
band. Without pressure the budget is not enforced. Memory that runs short closes the bands one by one,
whatever the level of the budget.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from ringledge.decide.overload.cost_model import CostModel
from ringledge.decide.overload.cpu_budget import DEPTH_MS, CpuBudget
from ringledge.decide.overload.messages import (
    OverloadLimits,
    Rejection,
    RejectionReason,
    ResourceSample,
)
from ringledge.decide.overload.pressure import PressureDetector
from ringledge.decide.overload.priority_bands import HIGHEST_RESERVE, PriorityBands, ResourceBands
from ringledge.decide.overload.tenant_quotas import TenantQuota, TenantQuotas

ADMISSION_WINDOW_MS = 1_000.0  # over which the admitted fraction is reported
REJECTION_COST_WEIGHT = 0.4  # of a new sample in the moving average of the rejections' cost
MAX_REJECTION_FRACTION = 0.5  # of the budget that rejections may use up: beyond it they would exclude all
RETRY_AFTER_JITTER = (0.5, 1.5)  # factors, so that clients rejected together don't return together


@dataclass(slots=True, frozen=True)
class AdmissionDecision:
    """One recent decision, for the reported fraction."""

    at_ms: float
    band: int
    admitted: bool


class OverloadController:
    """Decides on each request by its class and tenant; takes a resource sample some ten times a second."""

    def __init__(
        self,
        limits: OverloadLimits,
        priority_weights: Sequence[float],
        quotas: Sequence[TenantQuota],
        over_quota_weight: float,
        mean_retry_after_ms: float,
        rng: random.Random,
    ) -> None:
        """`priority_weights` by class, `quotas` by tenant; `over_quota_weight` is a factor of the weights."""
        self._cpu_rate = limits.cpu_rate
        self._mean_retry_after_ms = mean_retry_after_ms
        self._rng = rng
        self.cost_model = CostModel()
        self._bands = PriorityBands(priority_weights, over_quota_weight)
        self._resources = ResourceBands(limits, self._bands.highest)
        self._pressure = PressureDetector(limits)
        self._budget = CpuBudget(HIGHEST_RESERVE)
        self._quotas = TenantQuotas(quotas)
        self._rejection_cpu_rate = 0.0  # CPU time per time that rejections take, smoothed
        self._recent_decisions: deque[AdmissionDecision] = deque()

    @property
    def under_pressure(self) -> bool:
        """Whether the process is under pressure, so that the budget is enforced."""
        return self._pressure.under_pressure

    @property
    def transition_count(self) -> int:
        """How often `under_pressure` has changed."""
        return self._pressure.transition_count

    @property
    def rate_correction(self) -> float:
        """The factor by which measurements have corrected the budget's rate."""
        return self._budget.rate_correction

    @property
    def band_count(self) -> int:
        """How many priority bands there are."""
        return self._bands.highest + 1

    def on_sample(self, sample: ResourceSample) -> None:
        """Update by a measurement."""
        span_ms = max(1.0, sample.span_ms)
        rejection_cpu_rate = self.cost_model.update(sample.cpu_ms) / span_ms
        self._rejection_cpu_rate += REJECTION_COST_WEIGHT * (rejection_cpu_rate - self._rejection_cpu_rate)
        utilization = sample.cpu_ms / span_ms / self._cpu_rate
        was_under_pressure = self.under_pressure
        is_delayed = self._pressure.on_sample(sample, utilization)
        if self.under_pressure and not was_under_pressure:
            self._budget.start_enforcing(sample.at_ms, self._cpu_rate)
        if self._pressure.has_settled:
            self._budget.rate_correction = 1.0
        if self.under_pressure:
            self._budget.adjust_rate(sample.at_ms, is_delayed, utilization)
        self._resources.update(sample)

    def admit(
        self,
        now_ms: float,
        class_index: int,
        tenant: int,
        body_kb: float,
        loop_lag_ms: float = 0.0,
        cpu_rate: float = 0.0,
    ) -> Rejection | None:
        """Decide on one request; None admits it.

        `loop_lag_ms` is how late the event loop is at this moment, and `cpu_rate` the CPU time per time that
        the process has used since the last sample.
        """
        over_quota = self._quotas.is_over_quota(now_ms, tenant)
        band = self._bands.band_of(class_index, over_quota)
        if self._pressure.on_loop_lag(now_ms, loop_lag_ms, cpu_rate / self._cpu_rate):
            self._budget.start_enforcing(now_ms, self._cpu_rate)
        reason = self.rejection_reason(now_ms, band)
        self._record_decision(AdmissionDecision(now_ms, band, reason is None))
        if reason is None:
            self.cost_model.record_admission(body_kb)
            self._budget.spend(self.cost_model.estimate_ms(body_kb))
            return None
        self.cost_model.record_rejection()
        if reason in (RejectionReason.CPU, RejectionReason.DELAY):
            self._pressure.record_rejection(now_ms)
            self._budget.record_rejection()
        return Rejection(reason, over_quota, self.retry_after_ms())

    def retry_after_ms(self) -> float:
        """When a rejected client should retry, with jitter."""
        return self._mean_retry_after_ms * self._rng.uniform(*RETRY_AFTER_JITTER)

    @property
    def may_reject(self) -> bool:
        """Whether any band may be rejected now."""
        return self.under_pressure or self._resources.any_closed

    def rejects_all(self, now_ms: float) -> RejectionReason | None:
        """Why not even the highest band would be admitted now; None if it would."""
        return self.rejection_reason(now_ms, self._bands.highest)

    def rejection_reason(self, now_ms: float, band: int) -> RejectionReason | None:
        """Why a band is rejected now; None if it is admitted."""
        if reason := self._resources.rejection_reason(band):
            return reason
        rate = self._cpu_rate
        if not self.under_pressure:
            self._budget.refill(now_ms, rate)
            return None
        rejection_rate = min(self._rejection_cpu_rate, MAX_REJECTION_FRACTION * rate)
        level_ms = self._budget.refill(now_ms, self.rate_correction * (rate - rejection_rate))
        if level_ms < DEPTH_MS * self._bands.reserve(band):
            return self._pressure.reason
        return None

    def admitted_fraction(self, now_ms: float, class_index: int, over_quota: bool) -> float:
        """The fraction of such requests admitted over the last second; 1 if none came."""
        band = self._bands.band_of(class_index, over_quota)
        since_ms = now_ms - ADMISSION_WINDOW_MS
        admitted = [
            decision.admitted
            for decision in self._recent_decisions
            if decision.band == band and decision.at_ms >= since_ms
        ]
        return sum(admitted) / len(admitted) if admitted else 1.0

    def _record_decision(self, decision: AdmissionDecision) -> None:
        self._recent_decisions.append(decision)
        while self._recent_decisions[0].at_ms < decision.at_ms - ADMISSION_WINDOW_MS:
            self._recent_decisions.popleft()
