"""Estimates each site's demand for prefill and decode from the members' reports; free of I/O and clocks.

Token rates are averaged exponentially over two horizons. While the two averages agree within their noise, the
slow one is used; once they differ significantly, the fast one is. The mix of prefill and decode is tracked
between its turning points: a reversal beyond noise ends a half-period. So an oscillating mix is distinguished
from one that has shifted, and the rest of the present half-period is predicted from earlier ones.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from math import exp, inf, log, sqrt
from statistics import median
from typing import NamedTuple

from ringledge.decide.interface import ClassDemand, ServerObservation
from ringledge.decide.ratio.demand_statistics import (
    EPSILON,
    MAX_HALF_PERIODS,
    DualHorizonMean,
    MixOscillation,
)
from ringledge.decide.ratio.settings import RatioConfig

OUTLIER_FACTOR = 8.0  # a member's demand is clipped to this multiple of the median of its site
MIN_OUTLIER_REPORTS = 3  # fewer reports are not clipped
# Reversal of the log ratio that ends a half-period; a ratio of 1.5 instead of 1 moves a tenth of the servers.
MIN_REVERSAL = log(1.5)
OVERDUE_FACTOR = 1.25  # after this many median half-periods a reversal is no longer expected
MAX_REPORTED_RATE_PER_S = 1e12  # requests or tokens: above any site's rate, and sums stay finite


class TokenRates(NamedTuple):
    """Tokens per s of the two roles, as a demand or a capacity."""

    prefill: float
    decode: float


class TokenRateSample(NamedTuple):
    """Rates of the two roles (tokens per s) at a time (s)."""

    at_s: float
    prefill: float
    decode: float


@dataclass(frozen=True, slots=True)
class SiteDemand:
    """The estimated demand of a site."""

    prefill_rate: float  # tokens per s to prefill that no server has cached
    decode_rate: float  # tokens per s to decode
    # Relative standard deviation, the larger of both roles, plus an allowance for missing members.
    relative_error: float
    mixes: tuple[TokenRates, ...]  # mixes to serve: one, or all of a fast oscillation
    expected_duration_s: float  # time until the present mix ends; inf: no end is expected
    reporting_members: int
    missing_members: int  # members whose reports are absent, implausible or stale


@dataclass(slots=True)
class SiteDemandState:
    """Statistics of one site's demand."""

    prefill: DualHorizonMean = field(default_factory=DualHorizonMean)
    decode: DualHorizonMean = field(default_factory=DualHorizonMean)
    oscillation: MixOscillation = field(default_factory=MixOscillation)
    updated_s: float = -inf
    prefill_tokens_per_request: dict[str, float] = field(default_factory=dict)  # by class
    history: deque[TokenRateSample] = field(default_factory=deque)


@dataclass(slots=True)
class SiteReports:
    """The plausible and recent reports of a site's members, by class."""

    by_member: list[dict[str, ClassDemand]]
    missing_members: int


@dataclass(slots=True)
class HorizonWeights:
    """The weight of a new sample at each horizon."""

    fast: float
    slow: float


class DemandEstimator:
    """Estimates the demand of all sites."""

    def __init__(self, settings: RatioConfig) -> None:
        self.settings = settings
        self.sites = dict[str, SiteDemandState]()
        # Latest report by member and class, with the time of its last change.
        self._reports = dict[tuple[str, str], tuple[float, ClassDemand]]()

    def update(
        self,
        now_s: float,
        demand: Mapping[tuple[str, str], ClassDemand],
        member_sites: Mapping[str, str],
        cold_fractions: Mapping[str, float] | None = None,
    ) -> dict[str, SiteDemand]:
        """Process the reports by member and class; returns the demand of each site with a valid report.

        `member_sites` has the site of each live member, reporting or not. `cold_fractions` has the fraction
        of each site's prefill capacity whose cache is cold after a recent role change, as this adds prefill.
        """
        reports = self._valid_reports(now_s, demand, member_sites)
        cold_fractions = cold_fractions or {}
        demands = dict[str, SiteDemand]()
        for site in sorted(set(member_sites.values())):
            members = [member for member, member_site in member_sites.items() if member_site == site]
            reporting = [reports[member] for member in members if reports[member]]
            if reporting:
                site_reports = SiteReports(reporting, len(members) - len(reporting))
                demands[site] = self._update_site(now_s, site, site_reports, cold_fractions.get(site, 0.0))
        for site in self.sites.keys() - set(member_sites.values()):
            del self.sites[site]
        return demands

    def _valid_reports(
        self,
        now_s: float,
        demand: Mapping[tuple[str, str], ClassDemand],
        member_sites: Mapping[str, str],
    ) -> dict[str, dict[str, ClassDemand]]:
        """Plausible reports that are not stale, by member and class."""
        reports: dict[str, dict[str, ClassDemand]] = {member: {} for member in member_sites}
        for key in self._reports.keys() - demand.keys():
            del self._reports[key]
        for key, report in demand.items():
            member, class_name = key
            if member not in reports or not is_plausible(report):
                continue
            if key not in self._reports or self._reports[key][1] != report:
                self._reports[key] = (now_s, report)
            # The report of an idle member does not change; a busy member never reports the same values twice.
            is_idle = report.arrivals <= EPSILON
            if is_idle or now_s - self._reports[key][0] <= self.settings.stale_after_s:
                reports[member][class_name] = report
        return reports

    def _update_site(self, now_s: float, name: str, reports: SiteReports, cold_fraction: float) -> SiteDemand:
        site = self.sites.setdefault(name, SiteDemandState())
        is_first = site.updated_s == -inf
        step_s = now_s - site.updated_s
        site.updated_s = now_s
        weights = HorizonWeights(
            fast=1 - exp(-step_s / self.settings.fast_s), slow=1 - exp(-step_s / self.settings.slow_s)
        )
        # Missing members are assumed to have the mean demand of the others: clients spread over all members.
        reporting = len(reports.by_member)
        scale = (reporting + reports.missing_members) / reporting
        prefill, decode = 0.0, 0.0
        for class_name in sorted({name for member in reports.by_member for name in member}):
            class_reports = [member[class_name] for member in reports.by_member if class_name in member]
            arrivals = clipped_sum([report.arrivals for report in class_reports])
            prefill_tokens = clipped_sum([report.prefill_tokens for report in class_reports])
            prefill += self._exclude_cold_prefill(
                site, class_name, arrivals, prefill_tokens, cold_fraction, weights.slow
            )
            decode += clipped_sum([report.decode_tokens for report in class_reports])
        site.prefill.add(prefill * scale, weights.fast, weights.slow, is_first)
        site.decode.add(decode * scale, weights.fast, weights.slow, is_first)
        return self._estimate_demand(now_s, site, weights, reports)

    def _exclude_cold_prefill(
        self,
        site: SiteDemandState,
        class_name: str,
        arrivals: float,
        prefill_tokens: float,
        cold_fraction: float,
        weight: float,
    ) -> float:
        """Prefill tokens per s, without those that caches made cold by role changes may have added."""
        if arrivals <= EPSILON:
            return prefill_tokens
        per_request = prefill_tokens / arrivals
        previous = site.prefill_tokens_per_request.get(class_name, per_request)
        per_request = max(min(per_request, previous), per_request * (1 - min(1.0, cold_fraction)))
        site.prefill_tokens_per_request[class_name] = previous + weight * (per_request - previous)
        return per_request * arrivals

    def _estimate_demand(
        self, now_s: float, site: SiteDemandState, weights: HorizonWeights, reports: SiteReports
    ) -> SiteDemand:
        settings = self.settings
        trend_gain = settings.fast_s / (settings.slow_s - settings.fast_s)
        estimate_args = (weights.fast, weights.slow, settings.significance, trend_gain)
        prefill, prefill_error = site.prefill.estimate(*estimate_args)
        decode, decode_error = site.decode.estimate(*estimate_args)
        reporting = len(reports.by_member)
        missing_fraction = reports.missing_members / (reporting + reports.missing_members)
        error = max(prefill_error / max(prefill, EPSILON), decode_error / max(decode, EPSILON))
        error += missing_fraction / sqrt(reporting + 1)
        self._update_oscillation(now_s, site, weights.fast)
        mixes, duration_s = self._expected_mixes(now_s, site, TokenRates(prefill, decode))
        return SiteDemand(
            prefill_rate=prefill,
            decode_rate=decode,
            relative_error=min(1.0, error),
            mixes=mixes,
            expected_duration_s=duration_s,
            reporting_members=reporting,
            missing_members=reports.missing_members,
        )

    def _update_oscillation(self, now_s: float, site: SiteDemandState, fast_weight: float) -> None:
        mix = log(max(site.prefill.fast, EPSILON) / max(site.decode.fast, EPSILON))
        noise = max(
            mean.deviation(fast_weight) / max(mean.fast, EPSILON) for mean in (site.prefill, site.decode)
        )
        site.oscillation.add(now_s, mix, max(MIN_REVERSAL, self.settings.significance * noise))
        half_period_s = site.oscillation.median_half_period_s()
        site.history.append(TokenRateSample(now_s, site.prefill.fast, site.decode.fast))
        history_s = min(MAX_HALF_PERIODS * half_period_s, MAX_HALF_PERIODS * self.settings.min_dwell_s)
        while site.history and now_s - site.history[0].at_s > history_s:
            site.history.popleft()

    def _expected_mixes(
        self, now_s: float, site: SiteDemandState, current: TokenRates
    ) -> tuple[tuple[TokenRates, ...], float]:
        """The mixes to serve, and the expected remaining duration (s) of the present one."""
        half_period_s = site.oscillation.median_half_period_s()
        elapsed_s = now_s - site.oscillation.half_period_start_s
        if half_period_s < 2 * self.settings.max_change_s:  # too short for a role change to pay off
            return tuple(TokenRates(sample.prefill, sample.decode) for sample in site.history), inf
        if elapsed_s < OVERDUE_FACTOR * half_period_s < inf:
            return (current,), max(0.0, half_period_s - elapsed_s)
        return (current,), inf


def clipped_sum(values: list[float]) -> float:
    """The sum; three or more values are each clipped to `OUTLIER_FACTOR` times their median."""
    median_value = median(values)
    is_clipped = len(values) >= MIN_OUTLIER_REPORTS and median_value > EPSILON
    upper_bound = OUTLIER_FACTOR * median_value if is_clipped else inf
    return sum(min(value, upper_bound) for value in values)


def is_plausible(report: ClassDemand | ServerObservation) -> bool:
    """Whether all values of a report are between 0 and `MAX_REPORTED_RATE_PER_S`."""
    values = (getattr(report, name) for name in report.__struct_fields__)
    return all(0 <= value <= MAX_REPORTED_RATE_PER_S for value in values)
