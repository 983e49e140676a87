"""Admission control of requests by the process's own measurements; the lowest priority is rejected first.

A budget of CPU time (a token bucket) is refilled at the rate at which the process may use its core, and each
admitted request is charged its estimated cost. Requests are divided into bands by priority weight. A band
may use the budget only down to its own reserve, and reserves decrease with priority. Therefore, whenever a
request of one band is admitted, requests of all higher bands are too, without counting arrivals by band. The
budget is enforced only under pressure. If memory or descriptors run short, bands are closed one by one,
whatever the level of the budget.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from ringledge.decide.overload.cost_model import CostModel
from ringledge.decide.overload.cpu_budget import BUDGET_DEPTH_MS, CpuBudget
from ringledge.decide.overload.messages import (
    OverloadLimits,
    Rejection,
    RejectionReason,
    ResourceSample,
)
from ringledge.decide.overload.pressure import PressureDetector
from ringledge.decide.overload.priority_bands import HIGHEST_RESERVE, PriorityBands, ResourceBands
from ringledge.decide.overload.tenant_quotas import TenantQuota, TenantQuotas

ADMISSION_WINDOW_MS = 1_000.0  # period of the reported admitted fraction
REJECTION_COST_WEIGHT = 0.4  # weight of a new sample in the mean CPU use of rejections
MAX_REJECTION_FRACTION = 0.5  # limit for the part of the budget used by rejections, else all are rejected
RETRY_AFTER_JITTER = (0.5, 1.5)  # factors; clients rejected together should not retry together


@dataclass(slots=True, frozen=True)
class AdmissionDecision:
    """A recent decision, for the reported admitted fraction."""

    at_ms: float
    band: int
    admitted: bool


class OverloadController:
    """Decides on each request by class and tenant; expects a resource sample about ten times per second."""

    def __init__(
        self,
        limits: OverloadLimits,
        priority_weights: Sequence[float],
        quotas: Sequence[TenantQuota],
        over_quota_weight: float,
        mean_retry_after_ms: float,
        rng: random.Random,
    ) -> None:
        """`priority_weights` by class, `quotas` by tenant; `over_quota_weight` multiplies the weights."""
        self._cpu_rate = limits.cpu_rate
        self._mean_retry_after_ms = mean_retry_after_ms
        self._rng = rng
        self.cost_model = CostModel()
        self._bands = PriorityBands(priority_weights, over_quota_weight)
        self._resources = ResourceBands(limits, self._bands.highest_band)
        self._pressure = PressureDetector(limits)
        self._budget = CpuBudget(HIGHEST_RESERVE)
        self._quotas = TenantQuotas(quotas)
        self._rejection_cpu_rate = 0.0  # smoothed CPU time of rejections per unit of time
        self._recent_decisions: deque[AdmissionDecision] = deque()

    @property
    def under_pressure(self) -> bool:
        """Whether the process is under pressure, so that the budget is enforced."""
        return self._pressure.under_pressure

    @property
    def transition_count(self) -> int:
        """The number of changes of `under_pressure`."""
        return self._pressure.transition_count

    @property
    def rate_correction(self) -> float:
        """The present correction factor of the budget's refill rate."""
        return self._budget.rate_correction

    @property
    def band_count(self) -> int:
        """The number of priority bands."""
        return self._bands.highest_band + 1

    def on_sample(self, sample: ResourceSample) -> None:
        """Update the state with a measurement."""
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

        `loop_lag_ms` is the present delay of the event loop, and `cpu_rate` the CPU time per unit of time
        that the process has used since the last sample.
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
        """The time after which a rejected client should retry, with jitter."""
        return self._mean_retry_after_ms * self._rng.uniform(*RETRY_AFTER_JITTER)

    @property
    def may_reject(self) -> bool:
        """Whether requests of any band may be rejected now."""
        return self.under_pressure or self._resources.any_closed

    def rejects_all(self, now_ms: float) -> RejectionReason | None:
        """Why even the highest band is rejected now; None if it is admitted."""
        return self.rejection_reason(now_ms, self._bands.highest_band)

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
        if level_ms < BUDGET_DEPTH_MS * self._bands.reserve(band):
            return self._pressure.reason
        return None

    def admitted_fraction(self, now_ms: float, class_index: int, over_quota: bool) -> float:
        """The fraction of such requests that was admitted in the last second; 1 if none arrived."""
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
