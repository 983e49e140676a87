"""Whether one more request is admitted, by what the process measures of itself; the least worth goes first.

A budget of CPU time fills at the rate at which this process may use its core, and each admitted request takes
what requests like it have cost so far. Requests are in bands by worth. A band may draw the budget down to its
own reserve only, and the reserves fall with worth: whenever a request of one band is admitted, those of all
higher bands are as well, at each moment and without any count of who asks. While nothing presses, nobody is
asked for budget. Memory that runs short closes the bands one by one, whatever the budget says.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Sequence

from ringledge.decide.overload.cost_model import CostModel
from ringledge.decide.overload.cpu_budget import DEPTH_MS, CpuBudget
from ringledge.decide.overload.messages import Limits, Reason, Rejection, Sample
from ringledge.decide.overload.pressure import PressureDetector
from ringledge.decide.overload.priority_bands import HIGHEST_RESERVE, ResourceBands, WorthBands
from ringledge.decide.overload.tenant_quotas import TenantShare, TenantShares

RECENT_MS = 1_000.0  # over which the admitted share is told
REJECTING_WEIGHT = 0.4  # of a new sample of what rejections cost
MAX_REJECTING_SHARE = 0.5  # of the budget that rejections may use up: more must not keep everybody out
RETRY_SPREAD = (0.5, 1.5)  # of the wait told, so that those rejected together don't come back together


class Overload:
    """Decides on each request by its class and tenant; told a sample some ten times a second."""

    def __init__(
        self,
        limits: Limits,
        worths: Sequence[float],
        shares: Sequence[TenantShare],
        over_share_worth: float,
        wait_ms: float,
        rng: random.Random,
    ) -> None:
        """Take the classes' worths, the tenants' shares and the wait that clients are told on average."""
        self._cpu_share = limits.cpu_share
        self._wait_ms, self._rng = wait_ms, rng
        self.costs = CostModel()
        self._bands = WorthBands(worths, over_share_worth)
        self._resources = ResourceBands(limits, self._bands.highest)
        self._pressure = PressureDetector(limits)
        self._budget = CpuBudget(HIGHEST_RESERVE)
        self._shares = TenantShares(shares)
        self._rejecting_share = 0.0  # of a core that rejections take, smoothed
        self._recent: deque[tuple[float, int, bool]] = deque()  # when, band, admitted?

    @property
    def pressed(self) -> bool:
        """Whether the process is under pressure, so that requests are asked for budget."""
        return self._pressure.pressed

    @property
    def changes(self) -> int:
        """Times that `pressed` has changed."""
        return self._pressure.changes

    @property
    def correction(self) -> float:
        """The factor by which measurements have corrected the budget's rate."""
        return self._budget.correction

    @property
    def band_count(self) -> int:
        """How many bands of worth there are."""
        return self._bands.highest + 1

    def sample(self, sample: Sample) -> None:
        """Update by a measurement."""
        span_ms = max(1.0, sample.span_ms)
        rejecting = self.costs.learn(sample.cpu_ms) / span_ms
        self._rejecting_share += REJECTING_WEIGHT * (rejecting - self._rejecting_share)
        used = sample.cpu_ms / span_ms / self._cpu_share
        before = self.pressed
        delayed = self._pressure.observe(sample, used)
        if self.pressed and not before:
            self._budget.start(sample.at_ms, self._cpu_share)
        if self._pressure.calm:
            self._budget.correction = 1.0
        if self.pressed:
            self._budget.correct(sample.at_ms, delayed, used)
        self._resources.update(sample)

    def decide(
        self,
        now_ms: float,
        class_index: int,
        tenant: int,
        kb: float,
        lag_ms: float = 0.0,
        busy: float = 0.0,
    ) -> Rejection | None:
        """Decide on one request; None admits it.

        `kb` is the size of its body, `lag_ms` how late the loop is at this very moment, and `busy` the share
        of a core that the process has used since the last sample.
        """
        over_share = self._shares.over(now_ms, tenant)
        band = self._bands.band(class_index, over_share)
        if self._pressure.observe_lag(now_ms, lag_ms, busy / self._cpu_share):
            self._budget.start(now_ms, self._cpu_share)
        reason = self.rejection_reason(now_ms, band)
        self._count(now_ms, band, reason is None)
        if reason is None:
            self.costs.count_admitted(kb)
            self._budget.spend(self.costs.estimate_ms(kb))
            return None
        self.costs.count_rejected()
        if reason in (Reason.CPU, Reason.DELAY):
            self._pressure.count_rejected(now_ms)
            self._budget.count_rejected()
        return Rejection(reason, over_share, self.retry_after_ms())

    def retry_after_ms(self) -> float:
        """When to come back, spread so that those rejected together don't come back together."""
        return self._wait_ms * self._rng.uniform(*RETRY_SPREAD)

    @property
    def may_reject(self) -> bool:
        """Whether any band may be rejected now."""
        return self.pressed or self._resources.any_closed

    def rejects_all(self, now_ms: float) -> Reason | None:
        """Why not even the most worth would be admitted now; None where it would."""
        return self.rejection_reason(now_ms, self._bands.highest)

    def rejection_reason(self, now_ms: float, band: int) -> Reason | None:
        """Why a band is rejected now; None where it is admitted."""
        if reason := self._resources.rejection_reason(band):
            return reason
        rate = self._cpu_share
        if not self.pressed:
            self._budget.refill(now_ms, rate)
            return None
        rate = self.correction * (rate - min(self._rejecting_share, MAX_REJECTING_SHARE * rate))
        left_ms = self._budget.refill(now_ms, rate)
        return self._pressure.reason if left_ms < DEPTH_MS * self._bands.reserve(band) else None

    def admitted_share(self, now_ms: float, class_index: int, over_share: bool) -> float:
        """The share of such requests admitted over the last second; 1 where none came."""
        band, since_ms = self._bands.band(class_index, over_share), now_ms - RECENT_MS
        seen = [admitted for at_ms, each, admitted in self._recent if each == band and at_ms >= since_ms]
        return sum(seen) / len(seen) if seen else 1.0

    def _count(self, now_ms: float, band: int, admitted: bool) -> None:
        self._recent.append((now_ms, band, admitted))
        while self._recent and self._recent[0][0] < now_ms - RECENT_MS:
            self._recent.popleft()
