"""Overload decisions: priority order, the end of rejections after their cause, and quotas."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from ringledge.decide.overload.admission import OverloadController
from ringledge.decide.overload.messages import OverloadLimits, RejectionReason, ResourceSample
from ringledge.decide.overload.tenant_quotas import TenantQuota, TenantQuotas

PRIORITY_WEIGHTS, OVER_QUOTA_WEIGHT = (2.0, 6.0), 0.05
TENANTS = (TenantQuota(0.5), TenantQuota(0.3), TenantQuota(0.2, quota_per_s=5.0))
STEP_MS = 60.0


def make_controller(seed: int = 1) -> OverloadController:
    return OverloadController(
        OverloadLimits(), PRIORITY_WEIGHTS, TENANTS, OVER_QUOTA_WEIGHT, 1000.0, random.Random(seed)
    )


fractions = st.floats(0.0, 1.2)
samples = st.builds(
    lambda cpu, loop_lag_ms, queue_wait_ms, memory, buffered: (
        cpu,
        loop_lag_ms,
        queue_wait_ms,
        memory,
        buffered,
    ),
    fractions,
    st.sampled_from((0.0, 5.0, 40.0, 1000.0)),
    st.sampled_from((0.0, 10.0, 80.0)),
    fractions,
    fractions,
)
arrivals = st.lists(st.tuples(st.integers(0, 1), st.integers(0, 3), st.floats(0, 250)), max_size=60)
histories = st.lists(st.tuples(samples, arrivals), max_size=25)


def replay(
    controller: OverloadController, history: list[tuple[tuple[float, ...], list[tuple[int, int, float]]]]
) -> float:
    now_ms = 0.0
    for (cpu, loop_lag_ms, queue_wait_ms, memory, buffered), requests in history:
        for class_index, tenant, kb in requests:
            now_ms += STEP_MS / (len(requests) + 1)
            controller.admit(now_ms, class_index, tenant, kb)
            bands = range(controller.band_count)
            closed = [controller.rejection_reason(now_ms, band) is not None for band in bands]
            assert closed == sorted(closed, reverse=True), "a lower band is admitted, a higher one is not"
        now_ms = (now_ms // STEP_MS + 1) * STEP_MS
        controller.on_sample(
            ResourceSample(now_ms, STEP_MS, cpu * STEP_MS, loop_lag_ms, queue_wait_ms, memory, buffered)
        )
    return now_ms


@given(histories)
def test_priority_order_holds_and_rejections_end_within_two_seconds_of_their_cause(history: object) -> None:
    controller = make_controller()
    now_ms = replay(controller, history)  # type: ignore[arg-type]
    until_ms = now_ms + 2000
    while now_ms < until_ms - STEP_MS:
        now_ms += STEP_MS
        controller.on_sample(ResourceSample(now_ms, STEP_MS, 0.1 * STEP_MS))
    for number in range(40):
        now_ms += 25
        assert controller.admit(now_ms, number % 2, number % 3, 2.0) is None
    assert not controller.under_pressure


def start_pressure(controller: OverloadController, now_ms: float = 0.0) -> float:
    controller.on_sample(ResourceSample(now_ms, STEP_MS, STEP_MS))
    assert controller.under_pressure
    return now_ms


def test_process_stopped_for_a_second_rejects_nothing() -> None:
    controller = make_controller()
    controller.on_sample(ResourceSample(1000.0, 1000.0, 3.0, loop_lag_ms=980.0, queue_wait_ms=500.0))
    assert (
        not controller.under_pressure
        and controller.admit(1001.0, 0, 0, 2.0, loop_lag_ms=900.0, cpu_rate=0.0) is None
    )
    controller.on_sample(ResourceSample(1060.0, STEP_MS, 20.0, loop_lag_ms=2.0))
    assert not controller.under_pressure


def test_persistent_loop_lag_rejects_though_other_processes_use_the_cpu() -> None:
    controller = make_controller()
    for number in range(60):
        controller.on_sample(ResourceSample(number * STEP_MS, STEP_MS, 0.3 * STEP_MS, loop_lag_ms=80.0))
        for _ in range(10):
            controller.admit(number * STEP_MS, 0, 0, 2.0)
    rejection = controller.admit(60 * STEP_MS, 0, 0, 2.0)
    assert (
        rejection is not None
        and rejection.reason is RejectionReason.DELAY
        and controller.rate_correction < 0.5
    )


def test_burst_is_detected_between_two_samples() -> None:
    controller = make_controller()
    assert controller.admit(10.0, 0, 0, 2.0, loop_lag_ms=10.0, cpu_rate=1.0) is None
    controller.admit(40.0, 0, 0, 2.0, loop_lag_ms=40.0, cpu_rate=1.0)
    assert controller.under_pressure


def test_highest_priority_is_rejected_last_and_retry_delays_have_jitter() -> None:
    controller = make_controller()
    now_ms = start_pressure(controller)
    rejections = [controller.admit(now_ms, 0, 3, 2.0) for _ in range(60)][20:]
    assert all(rejections) and all(controller.admit(now_ms, 1, 3, 2.0) is None for _ in range(20))
    delays_ms = [rejection.retry_after_ms for rejection in rejections if rejection]
    assert min(delays_ms) >= 500 and max(delays_ms) <= 1500 and max(delays_ms) - min(delays_ms) > 300
    assert controller.admitted_fraction(now_ms, 0, False) < 0.5
    assert controller.admitted_fraction(now_ms, 1, False) == 1.0


def test_memory_closes_bands_one_by_one_and_opens_them_with_hysteresis() -> None:
    controller = make_controller()

    def closed(memory: float) -> list[bool]:
        controller.on_sample(ResourceSample(0.0, STEP_MS, 1.0, memory_fraction=memory))
        return [
            controller.rejection_reason(0.0, band) is RejectionReason.MEMORY
            for band in range(controller.band_count)
        ]

    assert closed(0.79) == [False] * 4
    assert closed(0.81) == [True, False, False, False]
    assert closed(0.94) == [True, True, True, False]
    assert closed(0.96) == [True] * 4 and controller.rejects_all(0.0) is RejectionReason.MEMORY
    assert closed(0.93) == [True] * 4  # hysteresis: use must fall below the closing threshold
    assert closed(0.91) == [True, True, True, False]
    assert closed(0.76) == [False] * 4


def simulate_core(
    controller: OverloadController,
    rate: float,
    seconds: float,
    cost_ms: float,
    seed: int,
    rejection_cost_ms: float = 0.3,
) -> dict[str, float]:
    """Simulate a core that serves admitted requests in order, with Poisson arrivals and regular samples."""
    rng, now_ms, backlog_ms, used_ms, late_ms = random.Random(seed), 0.0, 0.0, 0.0, 0.0
    counts = {
        "arrived": 0.0,
        "admitted": 0.0,
        "bookings": 0.0,
        "bookings_admitted": 0.0,
        "max_backlog_ms": 0.0,
    }
    next_ms, sampled_ms = 0.0, 0.0
    while now_ms < seconds * 1000:
        step_ms = min(next_ms, sampled_ms + STEP_MS) - now_ms
        work_ms = min(step_ms, backlog_ms)
        now_ms, backlog_ms, used_ms = now_ms + step_ms, backlog_ms - work_ms, used_ms + work_ms
        late_ms = max(late_ms, backlog_ms / 10)  # one loop iteration processes part of the backlog
        if now_ms >= next_ms:
            next_ms = now_ms + rng.expovariate(rate / 1000)
            booking = rng.random() < 0.19
            rejection = controller.admit(
                now_ms, int(booking), rng.choices((0, 1, 2), (0.5, 0.3, 0.2))[0], 2.0
            )
            backlog_ms += rejection_cost_ms if rejection else cost_ms
            counts["arrived"] += 1
            counts["admitted"] += rejection is None
            counts["bookings"] += booking
            counts["bookings_admitted"] += booking and rejection is None
        else:
            controller.on_sample(ResourceSample(now_ms, now_ms - sampled_ms, used_ms, late_ms))
            counts["max_backlog_ms"] = max(counts["max_backlog_ms"], backlog_ms if now_ms > 2000 else 0.0)
            sampled_ms, used_ms, late_ms = now_ms, 0.0, 0.0
    return counts


def test_triple_load_admits_bookings_and_keeps_the_core_busy() -> None:
    counts = simulate_core(controller := make_controller(), 750.0, 20.0, 4.0, seed=3)
    assert counts["bookings_admitted"] > 0.97 * counts["bookings"]
    assert counts["admitted"] * 4.0 + (counts["arrived"] - counts["admitted"]) * 0.3 > 0.8 * 20_000
    assert counts["max_backlog_ms"] < 400 and controller.transition_count == 1


def test_load_at_the_limit_does_not_flap() -> None:
    for cost_ms in (3.4, 3.6, 3.8):
        controller = make_controller()
        counts = simulate_core(controller, 250.0, 60.0, cost_ms, seed=5)
        assert controller.transition_count <= 30 and counts["admitted"] > 0.85 * counts["arrived"]


def test_wrong_cost_estimates_are_corrected() -> None:
    for cost_ms in (0.5, 12.0):
        counts = simulate_core(make_controller(), 2000.0 / cost_ms, 20.0, cost_ms, 7, cost_ms / 12)
        assert (
            counts["admitted"] * cost_ms > 0.5 * 20_000
            and counts["bookings_admitted"] > 0.9 * counts["bookings"]
        )


def test_tenant_far_over_its_quota_puts_no_other_tenant_over_quota() -> None:
    quotas = TenantQuotas((TenantQuota(0.36), TenantQuota(0.27), TenantQuota(0.14)))
    over_quota_counts = {0: 0, 1: 0, 2: 0}
    for number in range(4000):
        tenant = (0, 1, 2)[number % 20] if number % 20 < 3 else 0  # the first tenant sends 18 of 20 requests
        over_quota_counts[tenant] += quotas.is_over_quota(number * 2.0, tenant)
    assert over_quota_counts[1] == over_quota_counts[2] == 0
    assert over_quota_counts[0] > 4000 * 0.9 - 4000 * 0.36 * 1.25 * 1.15


def test_burst_of_all_tenants_puts_none_over_quota() -> None:
    quotas = TenantQuotas(tuple(map(TenantQuota, (0.36, 0.27, 0.23, 0.14))))
    rng = random.Random(1)
    drawn = rng.choices(range(4), (0.36, 0.27, 0.23, 0.14), k=4000)
    assert sum(quotas.is_over_quota(number * 0.5, tenant) for number, tenant in enumerate(drawn)) < 40


def test_tenant_within_its_quota_is_never_over() -> None:
    quotas = TenantQuotas((TenantQuota(0.01, quota_per_s=20.0), TenantQuota(0.99)))
    assert not any(quotas.is_over_quota(number * 55.0, 0) for number in range(500))


def test_unused_budget_does_not_grow_before_a_burst() -> None:
    controller = make_controller()
    now_ms = start_pressure(controller)
    for number in range(50):  # under pressure by occasional loop lag, but with little load
        now_ms += STEP_MS
        controller.admit(now_ms, 0, 3, 2.0)
        controller.on_sample(
            ResourceSample(now_ms, STEP_MS, 0.7 * STEP_MS, loop_lag_ms=40.0 if number % 3 == 0 else 0.0)
        )
    assert controller.under_pressure and controller.rate_correction <= 1.0
    rejected_count = sum(controller.admit(now_ms, 0, 3, 2.0) is not None for _ in range(100))
    assert rejected_count > 50
