"""Rate control of replay: additive increase, multiplicative decrease, spare capacity as ceiling, jitter."""

from __future__ import annotations

import random
from math import inf

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ringledge.decide.interface import ClassDemand, ServerObservation
from ringledge.decide.replay.capacity_estimate import decode_records, estimate_capacity
from ringledge.decide.replay.fair_share import ShareRequest, jain_index, max_min_fair_shares
from ringledge.decide.replay.rate_control import (
    BUCKET_DEPTH_S,
    DECREASE_FACTOR,
    JITTER_S,
    RAMP_UP_S,
    Capacity,
    RateController,
    spare_capacity,
)


def open_controller(ceiling: float | None = 10_000.0, seed: int = 1) -> RateController:
    controller = RateController(random.Random(seed))
    controller.set_ceiling(0.0, ceiling)
    controller.open(0.0)
    return controller


def send_all(
    controller: RateController, from_s: float, to_s: float, work: float, rejected: bool = False
) -> float:
    """Send whenever allowed; each entry is served (or rejected) at once. Returns the work sent."""
    at_s, sent = from_s, 0.0
    while at_s < to_s:
        while controller.may_send(at_s):
            controller.record_sent(at_s, work)
            sent += work
            if rejected:
                controller.record_rejected(at_s)
            else:
                controller.record_served(at_s)
        at_s += 0.01
    return sent


def test_rate_starts_low_and_reaches_ceiling_after_ramp_up() -> None:
    controller = open_controller()
    assert send_all(controller, 0.0, 2.0, 100.0) < 2 * 10_000 / 5
    send_all(controller, 2.0, RAMP_UP_S + JITTER_S, 100.0)
    assert controller.rate > 9_000
    assert send_all(controller, 30.0, 40.0, 100.0) <= 10 * 10_000 * (1 + BUCKET_DEPTH_S)


def test_rejections_with_one_cause_halve_the_rate_once() -> None:
    controller = open_controller()
    send_all(controller, 0.0, 30.0, 100.0)
    before = controller.rate
    for number in range(20):  # all entries sent at the old rate are rejected together
        controller.record_rejected(30.0 + number * 0.01)
    assert controller.rate == before * DECREASE_FACTOR
    assert not controller.may_send(30.3)


def test_almost_nothing_is_sent_while_everything_is_rejected() -> None:
    controller = open_controller()
    send_all(controller, 0.0, 30.0, 100.0)
    assert send_all(controller, 30.0, 60.0, 100.0, rejected=True) <= 100.0 * 61  # at most two per second


def test_little_work_is_sent_in_each_short_recovery_of_the_link() -> None:
    controller, sent = open_controller(), list[float]()
    for number in range(10):
        at_s = number * 10.0
        controller.open(at_s)
        sent.append(send_all(controller, at_s, at_s + 3.0, 100.0))
        controller.close()
        assert not controller.may_send(at_s + 4.0) and controller.next_send_s(at_s + 4.0) == inf
    assert all(0 < each < 3 * 10_000 * 0.25 for each in sent)
    assert max(sent[1:]) < 1.5 * sent[0]  # no allowance is carried over


def test_sites_that_recover_together_start_at_different_times() -> None:
    firsts = []
    for seed in range(40):
        controller = open_controller(seed=seed)
        firsts.append(next(n / 100 for n in range(200) if controller.may_send(n / 100)))
    assert max(firsts) - min(firsts) > JITTER_S / 2
    assert max(sum(at <= each < at + 0.1 for each in firsts) for at in firsts) < 20


def test_request_larger_than_bucket_is_sent_and_its_overdraft_refilled() -> None:
    controller = open_controller(ceiling=100.0)
    assert send_all(controller, 0.0, 500.0, 5_000.0) >= 5_000.0
    assert send_all(controller, 500.0, 1500.0, 5_000.0) <= 1000 * 100.0 + 2 * 5_000.0


def test_nothing_is_sent_at_ceiling_zero_and_the_rate_restarts_low() -> None:
    controller = open_controller()
    send_all(controller, 0.0, 30.0, 100.0)
    controller.set_ceiling(30.0, 0.0)
    assert send_all(controller, 30.0, 60.0, 100.0) == 0.0
    controller.set_ceiling(60.0, 10_000.0)
    assert 0 < send_all(controller, 60.0, 61.0, 100.0) < 2_000


def test_spare_capacity_is_bounded_by_the_scarcer_role() -> None:
    assert spare_capacity(Capacity(1000.0, 500.0, 100.0, 100.0), 0.2, 0.5) == 600.0
    assert spare_capacity(Capacity(1000.0, 500.0, 100.0, 100.0), 0.2, 0.1) == pytest.approx(700 / 0.9)
    assert spare_capacity(Capacity(1000.0, 500.0, 2000.0, 0.0), 0.2, 0.5) == 0.0
    assert spare_capacity(Capacity(0.0, 500.0, 0.0, 0.0), 0.2, 0.5) is None


def test_capacity_is_median_of_observations_and_demand_is_summed() -> None:
    rates = (("a", 10.0), ("b", 1e9), ("c", 12.0))
    observations = {(m, "server/r"): ServerObservation(rate, 0.0, 1.0, 0) for m, rate in rates}
    # This member has not measured the rate.
    observations[("d", "server/r")] = ServerObservation(0.0, 0.0, 0.0, 0)
    observations[("a", "server/w")] = ServerObservation(0.0, 50.0, 0.5, 0)
    capacity = estimate_capacity(observations, {(m, "demand/q"): ClassDemand(1.0, 3.0, 2.0) for m in "ab"})
    assert capacity == Capacity(12.0, 25.0, 6.0, 4.0)
    assert decode_records({("a", "server/r"): b"\xc1 nonsense"}, ServerObservation) == {}


@settings(deadline=None)
@given(
    budget=st.floats(0.0, 100.0),
    demands=st.dictionaries(
        st.text(max_size=2), st.tuples(st.floats(0.1, 10.0), st.floats(0.0, 50.0)), min_size=1
    ),
)
def test_max_min_fair_shares_use_the_budget_and_respect_weights(
    budget: float, demands: dict[str, tuple[float, float]]
) -> None:
    requests = {name: ShareRequest(*each) for name, each in demands.items()}
    shares = max_min_fair_shares(budget, requests)
    total = sum(shares.values())
    assert total <= budget + 1e-6
    assert abs(total - min(budget, sum(each.demand for each in requests.values()))) < 1e-6
    for name, request in requests.items():
        assert -1e-9 <= shares[name] <= request.demand + 1e-9
        if shares[name] < request.demand - 1e-6:  # unsatisfied: no other has a larger share by weight
            share = shares[name] / request.weight
            assert all(shares[other] / requests[other].weight <= share + 1e-6 for other in requests)


def test_jain_index_is_1_for_equal_shares_and_1_over_n_for_one_owner() -> None:
    assert jain_index([1.0, 1.0, 1.0]) == 1.0
    assert jain_index([1.0, 0.0, 0.0, 0.0]) == 0.25
    assert jain_index([]) == 1.0
