"""Demand estimation: shifts, oscillation, invalid reports, and cold caches after role changes.

Invalid reports are missing, stale or implausible.
"""

from math import inf, nan

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from ringledge.decide.interface import ClassDemand, ServerObservation
from ringledge.decide.ratio import demand_estimate as estimate_module
from ringledge.decide.ratio.demand_estimate import DemandEstimator, clipped_sum
from ringledge.decide.ratio.service_rates import ServiceRateEstimator
from tests.decide.ratio.factories import MEMBERS, SETTINGS, report_demand


def test_shift_is_followed_within_seconds_and_noise_is_not() -> None:
    estimator = DemandEstimator(SETTINGS)
    steady = [report_demand(estimator, float(second), 20_000, 6_000).prefill_rate for second in range(120)]
    assert max(abs(each / 20_000 - 1) for each in steady[20:]) < 0.05
    shifted = [report_demand(estimator, 120.0 + second, 50_000, 1_500) for second in range(30)]
    assert shifted[10].prefill_rate > 45_000 and shifted[10].decode_rate < 2_500
    assert max(each.prefill_rate for each in shifted) < 65_000


def test_mix_that_oscillates_faster_than_roles_change_yields_all_its_mixes() -> None:
    estimator = DemandEstimator(SETTINGS)
    demands = [
        report_demand(estimator, float(second), *((20_000, 6_000), (50_000, 1_500))[second // 8 % 2])
        for second in range(160)
    ]
    assert len(demands[30].mixes) > 1 and len(demands[-1].mixes) > 40
    prefill_rates = [mix.prefill for mix in demands[-1].mixes]
    assert min(prefill_rates) < 27_000 and max(prefill_rates) > 43_000
    steady = [report_demand(estimator, 160.0 + second, 35_000, 3_700) for second in range(60)]
    assert len(steady[-1].mixes) == 1  # the oscillation has ended


def test_slowly_oscillating_mix_is_expected_to_turn() -> None:
    estimator = DemandEstimator(SETTINGS)
    demands = [
        report_demand(estimator, float(second), *((20_000, 6_000), (50_000, 1_500))[second // 60 % 2])
        for second in range(390)
    ]
    assert demands[50].expected_duration_s == inf
    assert len(demands[-1].mixes) == 1 and 10 < demands[-1].expected_duration_s < 60


def test_missing_and_stale_reports_are_counted_and_compensated() -> None:
    estimator = DemandEstimator(SETTINGS)
    for second in range(40):
        reports = {(name, "query"): ClassDemand(5.0, 5_000.0 + second % 3, 1_500.0) for name in ("m0", "m1")}
        reports["m2", "query"] = ClassDemand(5.0, 5_000.0, 1_500.0)  # a stale report
        demand = estimator.update(float(second), reports, MEMBERS)["s"]
    assert (demand.reporting_members, demand.missing_members) == (2, 2)
    assert demand.prefill_rate == pytest.approx(20_000, rel=0.02)
    assert demand.relative_error > 0.25


def test_stale_class_stops_counting() -> None:
    estimator = DemandEstimator(SETTINGS)
    for second in range(60):
        reports = {(name, "new"): ClassDemand(5.0, 5_000.0 + second % 3, 1_500.0) for name in MEMBERS}
        reports |= {(name, "stale"): ClassDemand(5.0, 9_000.0, 100.0) for name in MEMBERS}
        demand = estimator.update(float(second), reports, MEMBERS)["s"]
    assert demand.prefill_rate == pytest.approx(20_000, rel=0.1)


def test_implausible_reports_are_ignored_and_outliers_clipped() -> None:
    estimator = DemandEstimator(SETTINGS)
    for second in range(30):
        reports = {(name, "query"): ClassDemand(5.0, 5_000.0 + second % 3, 1_500.0) for name in MEMBERS}
        reports["m3", "query"] = ClassDemand(5.0, [nan, inf, -1.0][second % 3], 1_500.0)
        reports["stranger", "query"] = ClassDemand(5.0, 1e12, 1e12)
        demand = estimator.update(float(second), reports, MEMBERS)["s"]
    assert demand.missing_members == 1 and demand.prefill_rate == pytest.approx(20_000, rel=0.02)
    assert clipped_sum([1.0, 1.0, 1.0, 1e9]) == 11.0


def max_demand_while_caches_are_cold() -> float:
    """The largest prefill demand while a fifth of the capacity refills its cache after a role change."""
    estimator, largest = DemandEstimator(SETTINGS), 0.0
    for second in range(60):
        report_demand(estimator, float(second), 20_000, 6_000)
    for second in range(60, 75):
        largest = max(
            largest, report_demand(estimator, float(second), 24_000, 6_000, cold_fraction=0.2).prefill_rate
        )
    return largest


def test_prefill_caused_by_own_changes_is_excluded_from_demand(monkeypatch: pytest.MonkeyPatch) -> None:
    assert max_demand_while_caches_are_cold() < 21_000
    estimator = DemandEstimator(SETTINGS)  # demand beyond what cold caches explain is still followed
    for second in range(60):
        report_demand(estimator, float(second), 20_000, 6_000)
    assert (
        max(
            report_demand(estimator, 60.0 + second, 48_000, 6_000, cold_fraction=0.2).prefill_rate
            for second in range(15)
        )
        > 34_000
    )
    monkeypatch.setattr(
        estimate_module.DemandEstimator,
        "_exclude_cold_prefill",
        lambda self, site, class_name, arrivals, prefill_tokens, cold, weight: prefill_tokens,
    )
    assert max_demand_while_caches_are_cold() > 23_000  # without the exclusion


@example({("a", "q"): ClassDemand(0.0, 0.0, 0.0), ("a", "r"): ClassDemand(0.0, 0.0, 8.98846567431158e307)})
@given(st.dictionaries(st.tuples(st.sampled_from("abx"), st.sampled_from("qr")), st.builds(ClassDemand)))
def test_any_reports_yield_finite_demand(reports: dict[tuple[str, str], ClassDemand]) -> None:
    demands = DemandEstimator(SETTINGS).update(1.0, reports, {"a": "s", "b": "s"})
    assert all(
        0 <= each.prefill_rate < inf and 0 <= each.decode_rate < inf and 0 <= each.relative_error <= 1
        for each in demands.values()
    )


def test_service_rate_is_median_of_members_and_fixed_while_server_changes() -> None:
    estimator = ServiceRateEstimator(SETTINGS)
    reports = {(name, "b0"): ServerObservation(8_000.0, 0.0, 1.0, 1) for name in MEMBERS}
    reports["m0", "b0"] = ServerObservation(80.0, 0.0, 0.1, 1)
    reports["m1", "b1"] = ServerObservation(0.0, 1_200.0, 0.4, 0)
    first = estimator.update(0.0, reports, {"b0", "b1", "b2"}, ())
    assert (first["b0"].prefill_rate, first["b0"].decode_rate, first["b0"].waiting_entries) == (
        8_000.0,
        1_200.0,
        4,
    )
    assert (first["b1"].warmth, first["b2"].prefill_rate) == (0.4, 8_000.0)
    slow_reports = {("m0", "b0"): ServerObservation(10.0, 0.0, 1.0, 0)}
    assert estimator.update(60.0, slow_reports, {"b0"}, {"b0"})["b0"].prefill_rate == 8_000.0
    assert estimator.update(120.0, slow_reports, {"b0"}, ())["b0"].prefill_rate < 1_000.0
