"""Measurement of demand and service rates by one conductor."""

from __future__ import annotations

from math import inf, nan

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from ringledge.decide.ratio.demand_estimate import is_plausible
from ringledge.decide.ratio.measurements import ARRIVAL_TIME_CONSTANT_S, MAX_TOKENS, LocalMeasurements


def measure_arrivals(per_s: float, seconds: float) -> tuple[LocalMeasurements, float]:
    measurements, now_s = LocalMeasurements(), 100.0
    for _ in range(int(per_s * seconds)):
        now_s += 1 / per_s
        measurements.request_received(now_s, 0, 1000.0, 200.0)
    return measurements, now_s


def test_demand_is_arrival_rate_times_mean_tokens_per_request() -> None:
    measurements, now_s = measure_arrivals(8, 60)
    for _ in range(200):
        measurements.prefill_finished(0, "r", 250.0, 0.1)
        measurements.decode_finished(0, "w", 1000.0, 120.0, 6.0)
    demand = measurements.demand(now_s)[0]
    assert demand.arrivals == pytest.approx(8, rel=0.1)
    assert demand.prefill_tokens == pytest.approx(8 * 250, rel=0.1)
    assert demand.decode_tokens == pytest.approx(8 * 120, rel=0.1)


def test_rejected_requests_count_as_demand() -> None:
    """If demand were counted by served requests, a scarce role would seem to have enough capacity."""
    measurements, now_s = measure_arrivals(8, 60)
    demand = measurements.demand(now_s)[0]
    assert demand.prefill_tokens == pytest.approx(8 * 1000, rel=0.1)
    assert demand.decode_tokens == pytest.approx(8 * 100, rel=0.1)


def test_demand_decays_after_arrivals_end() -> None:
    measurements, now_s = measure_arrivals(8, 60)
    assert measurements.demand(now_s + 5 * ARRIVAL_TIME_CONSTANT_S)[0].arrivals < 0.1


def test_decode_rate_counts_the_streams_that_memory_holds() -> None:
    measurements = LocalMeasurements()
    for _ in range(50):
        measurements.prefill_finished(0, "s", 500.0, 0.05)
        measurements.decode_finished(0, "s", 900.0, 200.0, 10.0)
    observation = measurements.server_observation("s", 100_000.0, 40, 1.0, 2)
    assert observation.prefill_rate == pytest.approx(10_000) and observation.decode_rate == pytest.approx(
        20 * 100
    )
    assert observation.waiting_entries == 2


def test_decode_rate_without_known_memory_scales_own_streams_by_routers() -> None:
    measurements = LocalMeasurements()
    measurements.decode_finished(0, "s", 900.0, 200.0, 10.0)
    measurements.update_streams("s", 3)
    assert measurements.server_observation("s", None, 4, 1.0, 0).decode_rate == pytest.approx(3 * 4 * 20)


def test_short_work_and_unknown_servers_yield_no_rate() -> None:
    measurements = LocalMeasurements()
    measurements.prefill_finished(0, "s", 3.0, 0.05)
    measurements.decode_finished(0, "s", 900.0, 2.0, 0.01)
    assert measurements.server_observation("s", 1000.0, 1, 1.0, 0).prefill_rate == 0.0
    assert measurements.server_observation("other", 1000.0, 1, 0.3, 0).decode_rate == 0.0


def test_servers_not_retained_lose_their_statistics() -> None:
    measurements = LocalMeasurements()
    measurements.prefill_finished(0, "s", 500.0, 0.05)
    measurements.retain_servers({"t"})
    assert measurements.server_observation("s", None, 1, 1.0, 0).prefill_rate == 0.0


token_counts = st.sampled_from([0.0, -1.0, nan, inf, 1e300, MAX_TOKENS]) | st.floats(0, 1e4)


@example([(1, 1000.0, 0.0, 5e-324), (2, 100.0, 100.0, 5e-324)])
@given(st.lists(st.tuples(st.integers(0, 3), token_counts, token_counts, token_counts), max_size=20))
def test_implausible_events_never_yield_implausible_reports(
    events: list[tuple[int, float, float, float]],
) -> None:
    measurements = LocalMeasurements()
    for kind, first, second, duration_s in events:
        if kind == 0:
            measurements.request_received(1.0, 0, first, second)
        elif kind == 1:
            measurements.prefill_finished(0, "s", first, duration_s)
        else:
            measurements.decode_finished(0, "s", first, second, duration_s)
    assert all(is_plausible(each) for each in measurements.demand(2.0).values())
    assert is_plausible(measurements.server_observation("s", 1e5, 200, 1.0, 0)) and is_plausible(
        measurements.server_observation("s", None, 200, 0.0, 0)
    )
