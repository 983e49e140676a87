"""Each site's demand for prefill and decode, from what members report; free of I/O and clocks.

Token rates are averaged exponentially over two horizons. While the two agree within their noise the slow
one counts; once they differ significantly, the fast one does. The mix of prefill and decode is followed
between its turning points (a reversal beyond noise ends a half-period): so an oscillating mix is
distinguished from one that has shifted, and the rest of the present half-period is predicted from the ones
before.
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

OUTLIER_FACTOR = 8.0  # times the median of its site that one member's demand counts at most
MIN_OUTLIER_REPORTS = 3  # fewer reports have no outliers
MIN_REVERSAL = log(1.5)  # that ends a half-period: half as much again of one role is a tenth of the servers
OVERDUE_FACTOR = 1.25  # times the usual half-period after which the mix is no longer expected to turn
MAX_RATE = 1e12  # requests or tokens per s that a member may report: above any site's, and sums stay finite


class TokenRates(NamedTuple):
    """Tokens per s of the two roles: a demand, or a capacity."""

    prefill: float
    decode: float


class TokenRateSample(NamedTuple):
    """Token rates (tokens per s) at a time (s)."""

    at_s: float
    prefill: float
    decode: float


@dataclass(frozen=True, slots=True)
class SiteDemand:
    """The demand of a site."""

    prefill_rate: float  # tokens per s to prefill, after reuse of cached prefixes
    decode_rate: float  # tokens per s to decode
    relative_error: float  # standard deviation of either rate as a fraction of it, with missing members
    mixes: tuple[TokenRates, ...]  # to be served: one, or those of an oscillation
    expected_duration_s: float  # of the present mix; inf: no end is expected
    reporting_members: int
    missing_members: int  # whose reports are absent, implausible or stale


@dataclass(slots=True)
class SiteState:
    """What is measured of one site's demand."""

    prefill: DualHorizonMean = field(default_factory=DualHorizonMean)
    decode: DualHorizonMean = field(default_factory=DualHorizonMean)
    oscillation: MixOscillation = field(default_factory=MixOscillation)
    updated_s: float = -inf
    prefill_tokens_per_request: dict[str, float] = field(default_factory=dict)  # by class
    history: deque[TokenRateSample] = field(default_factory=deque)


@dataclass(slots=True)
class SiteReports:
    """The plausible and fresh reports of a site's members, by class."""

    by_member: list[dict[str, ClassDemand]]
    missing_members: int


@dataclass(slots=True)
class HorizonWeights:
    """The weight of a new sample at each horizon."""

    fast: float
    slow: float


class DemandEstimator:
    """The demand of all sites."""

    def __init__(self, settings: RatioConfig) -> None:
        self.settings = settings
        self.sites = dict[str, SiteState]()
        # By member and class: the report, and since when it has been the same.
        self._reports = dict[tuple[str, str], tuple[float, ClassDemand]]()

    def update(
        self,
        now_s: float,
        demand: Mapping[tuple[str, str], ClassDemand],
        member_sites: Mapping[str, str],
        cold_fractions: Mapping[str, float] | None = None,
    ) -> dict[str, SiteDemand]:
        """Process the reports by member and class; returns the demand of each site that reports any.

        `member_sites`: the site of each member that is alive, reporting or not. `cold_fractions`: of each
        site's prefill capacity, the fraction that changed its role recently: its cache is cold, as an effect
        of the plan itself.
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
        """The plausible reports that are not stale, by member and class."""
        reports: dict[str, dict[str, ClassDemand]] = {member: {} for member in member_sites}
        for key in self._reports.keys() - demand.keys():
            del self._reports[key]
        for key, report in demand.items():
            member, class_name = key
            if member not in reports or not is_plausible(report):
                continue
            if key not in self._reports or self._reports[key][1] != report:
                self._reports[key] = (now_s, report)
            # An idle member has no changes to report; a busy one never reports the same figures twice.
            is_idle = report.arrivals <= EPSILON
            if is_idle or now_s - self._reports[key][0] <= self.settings.stale_after_s:
                reports[member][class_name] = report
        return reports

    def _update_site(self, now_s: float, name: str, reports: SiteReports, cold_fraction: float) -> SiteDemand:
        site = self.sites.setdefault(name, SiteState())
        is_first = site.updated_s == -inf
        step_s = now_s - site.updated_s
        site.updated_s = now_s
        weights = HorizonWeights(
            fast=1 - exp(-step_s / self.settings.fast_s), slow=1 - exp(-step_s / self.settings.slow_s)
        )
        # Members that don't report are taken to have the mean of the others: clients spread over all.
        reporting = len(reports.by_member)
        scale = (reporting + reports.missing_members) / reporting
        prefill, decode = 0.0, 0.0
        for class_name in sorted({name for member in reports.by_member for name in member}):
            rows = [member[class_name] for member in reports.by_member if class_name in member]
            arrivals = clipped_sum([row.arrivals for row in rows])
            prefill_tokens = clipped_sum([row.prefill_tokens for row in rows])
            prefill += self._exclude_cold_prefill(
                site, class_name, arrivals, prefill_tokens, cold_fraction, weights.slow
            )
            decode += clipped_sum([row.decode_tokens for row in rows])
        site.prefill.add(prefill * scale, weights.fast, weights.slow, is_first)
        site.decode.add(decode * scale, weights.fast, weights.slow, is_first)
        return self._estimate_demand(now_s, site, weights, reports)

    def _exclude_cold_prefill(
        self,
        site: SiteState,
        class_name: str,
        arrivals: float,
        prefill_tokens: float,
        cold_fraction: float,
        weight: float,
    ) -> float:
        """Prefill tokens per s without what the plan's own changes can have added by cold caches."""
        if arrivals <= EPSILON:
            return prefill_tokens
        per_request = prefill_tokens / arrivals
        before = site.prefill_tokens_per_request.get(class_name, per_request)
        per_request = max(min(per_request, before), per_request * (1 - min(1.0, cold_fraction)))
        site.prefill_tokens_per_request[class_name] = before + weight * (per_request - before)
        return per_request * arrivals

    def _estimate_demand(
        self, now_s: float, site: SiteState, weights: HorizonWeights, reports: SiteReports
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

    def _update_oscillation(self, now_s: float, site: SiteState, fast_weight: float) -> None:
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
        self, now_s: float, site: SiteState, current: TokenRates
    ) -> tuple[tuple[TokenRates, ...], float]:
        """The mixes to be served, and how long the present one is expected to last (s)."""
        half_period_s = site.oscillation.median_half_period_s()
        elapsed_s = now_s - site.oscillation.half_period_start_s
        if half_period_s < 2 * self.settings.max_change_s:  # over before a change would pay: serve them all
            return tuple(TokenRates(sample.prefill, sample.decode) for sample in site.history), inf
        if elapsed_s < OVERDUE_FACTOR * half_period_s < inf:
            return (current,), max(0.0, half_period_s - elapsed_s)
        return (current,), inf


def clipped_sum(values: list[float]) -> float:
    """The sum, with outliers clipped: of three or more values each counts up to a multiple of the median."""
    middle = median(values)
    is_clipped = len(values) >= MIN_OUTLIER_REPORTS and middle > EPSILON
    upper_bound = OUTLIER_FACTOR * middle if is_clipped else inf
    return sum(min(value, upper_bound) for value in values)


def is_plausible(report: ClassDemand | ServerObservation) -> bool:
    """Whether all figures of a report are numbers from 0 to `MAX_RATE`."""
    figures = (getattr(report, name) for name in report.__struct_fields__)
    return all(0 <= figure <= MAX_RATE for figure in figures)
