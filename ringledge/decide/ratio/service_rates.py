"""Estimates each server's warmth and its service rate in each role; free of I/O and clocks.

Estimates use the median of the members' reports, so that a single slow member or implausible report has no
effect. Rates are not updated during a role change, since a server that is draining does not run at capacity.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from math import exp
from statistics import median

from ringledge.decide.interface import ServerObservation
from ringledge.decide.ratio.demand_estimate import is_plausible
from ringledge.decide.ratio.settings import RatioConfig


@dataclass(slots=True)
class ServiceRate:
    """Estimates for one server; a rate of 0 is unknown."""

    prefill_rate: float = 0.0  # prompt tokens per s
    decode_rate: float = 0.0  # answer tokens per s
    warmth: float = 1.0  # 0 to 1
    waiting_entries: int = 0  # KV cache entries of all members that wait to be fetched


class ServiceRateEstimator:
    """Estimates the service rates of all listed servers."""

    def __init__(self, settings: RatioConfig) -> None:
        self._slow_s = settings.slow_s
        self._updated_s: float | None = None
        self._rates = dict[str, ServiceRate]()

    def update(
        self,
        now_s: float,
        observations: Mapping[tuple[str, str], ServerObservation],
        listed: Collection[str],
        changing: Collection[str],
    ) -> dict[str, ServiceRate]:
        """Process the reports by member and server; returns the estimates for each listed server.

        An unknown rate is replaced by the median of the other servers.
        """
        weight = 1.0 if self._updated_s is None else 1 - exp((self._updated_s - now_s) / self._slow_s)
        self._updated_s = now_s
        reports = defaultdict[str, list[ServerObservation]](list)
        for (_, server), observation in observations.items():
            if is_plausible(observation):
                reports[server].append(observation)
        for server in self._rates.keys() - set(listed):
            del self._rates[server]
        for server in listed:
            rate = self._rates.setdefault(server, ServiceRate())
            update_rate(rate, reports[server], weight, server in changing)
        return self._with_defaults()

    def _with_defaults(self) -> dict[str, ServiceRate]:
        rates = self._rates.values()
        prefill_rate = median([rate.prefill_rate for rate in rates if rate.prefill_rate] or [0.0])
        decode_rate = median([rate.decode_rate for rate in rates if rate.decode_rate] or [0.0])
        return {
            server: ServiceRate(
                rate.prefill_rate or prefill_rate,
                rate.decode_rate or decode_rate,
                rate.warmth,
                rate.waiting_entries,
            )
            for server, rate in self._rates.items()
        }


def update_rate(
    rate: ServiceRate, reports: list[ServerObservation], weight: float, is_changing: bool
) -> None:
    """Update one server's estimates from the members' present reports."""
    rate.waiting_entries = sum(report.waiting_entries for report in reports)
    if reports:
        rate.warmth = min(1.0, median(report.warmth for report in reports))
    if not is_changing:
        prefill_rates = [report.prefill_rate for report in reports]
        decode_rates = [report.decode_rate for report in reports]
        rate.prefill_rate = smoothed_rate(rate.prefill_rate, prefill_rates, weight)
        rate.decode_rate = smoothed_rate(rate.decode_rate, decode_rates, weight)


def smoothed_rate(current: float, reported: list[float], weight: float) -> float:
    """The current mean, updated with the median of the reported rates that are known (above 0)."""
    known = [rate for rate in reported if rate > 0]
    if not known:
        return current
    return median(known) if not current else current + weight * (median(known) - current)
