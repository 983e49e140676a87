"""The overload decisions by themselves: worth is kept in order, nothing outlives its cause, shares hold."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from ringledge.decide.overload.admission import OverloadController
from ringledge.decide.overload.messages import OverloadLimits, RejectionReason, ResourceSample
from ringledge.decide.overload.tenant_quotas import TenantQuota, TenantQuotas

WORTHS, OVER = (2.0, 6.0), 0.05
TENANTS = (TenantQuota(0.5), TenantQuota(0.3), TenantQuota(0.2, quota_per_s=5.0))
STEP_MS = 60.0


def decider(seed: int = 1) -> OverloadController:
    return OverloadController(OverloadLimits(), WORTHS, TENANTS, OVER, 1000.0, random.Random(seed))


part = st.floats(0.0, 1.2)
samples = st.builds(
    lambda cpu, loop_ms, unread_ms, memory, held: (cpu, loop_ms, unread_ms, memory, held),
    part,
    st.sampled_from((0.0, 5.0, 40.0, 1000.0)),
    st.sampled_from((0.0, 10.0, 80.0)),
    part,
    part,
)
asks = st.lists(st.tuples(st.integers(0, 1), st.integers(0, 3), st.floats(0, 250)), max_size=60)
histories = st.lists(st.tuples(samples, asks), max_size=25)


def play(
    overload: OverloadController, history: list[tuple[tuple[float, ...], list[tuple[int, int, float]]]]
) -> float:
    now_ms = 0.0
    for (cpu, loop_ms, unread_ms, memory, held), coming in history:
        for class_index, tenant, kb in coming:
            now_ms += STEP_MS / (len(coming) + 1)
            overload.admit(now_ms, class_index, tenant, kb)
            bands = range(overload.band_count)
            closed = [overload.rejection_reason(now_ms, band) is not None for band in bands]
            assert closed == sorted(closed, reverse=True), "a lower worth is let in, a higher one is not"
        now_ms = (now_ms // STEP_MS + 1) * STEP_MS
        overload.on_sample(ResourceSample(now_ms, STEP_MS, cpu * STEP_MS, loop_ms, unread_ms, memory, held))
    return now_ms


@given(histories)
def test_worth_is_kept_in_order_and_nothing_outlives_its_cause_by_two_seconds(history: object) -> None:
    overload = decider()
    now_ms = play(overload, history)  # type: ignore[arg-type]
    until_ms = now_ms + 2000
    while now_ms < until_ms - STEP_MS:
        now_ms += STEP_MS
        overload.on_sample(ResourceSample(now_ms, STEP_MS, 0.1 * STEP_MS))
    for number in range(40):
        now_ms += 25
        assert overload.admit(now_ms, number % 2, number % 3, 2.0) is None
    assert not overload.under_pressure


def press(overload: OverloadController, now_ms: float = 0.0) -> float:
    overload.on_sample(ResourceSample(now_ms, STEP_MS, STEP_MS))
    assert overload.under_pressure
    return now_ms


def test_a_process_that_was_stopped_for_a_second_sheds_nobody() -> None:
    overload = decider()
    overload.on_sample(ResourceSample(1000.0, 1000.0, 3.0, loop_lag_ms=980.0, queue_wait_ms=500.0))
    assert (
        not overload.under_pressure
        and overload.admit(1001.0, 0, 0, 2.0, loop_lag_ms=900.0, cpu_rate=0.0) is None
    )
    overload.on_sample(ResourceSample(1060.0, STEP_MS, 20.0, loop_lag_ms=2.0))
    assert not overload.under_pressure


def test_a_loop_that_is_late_again_and_again_sheds_though_the_cpu_is_not_ours() -> None:
    overload = decider()
    for number in range(60):
        overload.on_sample(ResourceSample(number * STEP_MS, STEP_MS, 0.3 * STEP_MS, loop_lag_ms=80.0))
        for _ in range(10):
            overload.admit(number * STEP_MS, 0, 0, 2.0)
    no = overload.admit(60 * STEP_MS, 0, 0, 2.0)
    assert no is not None and no.reason is RejectionReason.DELAY and overload.rate_correction < 0.5


def test_a_rush_is_seen_between_two_samples() -> None:
    overload = decider()
    assert overload.admit(10.0, 0, 0, 2.0, loop_lag_ms=10.0, cpu_rate=1.0) is None
    overload.admit(40.0, 0, 0, 2.0, loop_lag_ms=40.0, cpu_rate=1.0)
    assert overload.under_pressure


def test_bookings_go_last_and_a_no_says_when_to_come_back() -> None:
    overload = decider()
    now_ms = press(overload)
    nos = [overload.admit(now_ms, 0, 3, 2.0) for _ in range(60)][20:]
    assert all(nos) and all(overload.admit(now_ms, 1, 3, 2.0) is None for _ in range(20))
    waits = [no.retry_after_ms for no in nos if no]
    assert min(waits) >= 500 and max(waits) <= 1500 and max(waits) - min(waits) > 300
    assert overload.admitted_fraction(now_ms, 0, False) < 0.5
    assert overload.admitted_fraction(now_ms, 1, False) == 1.0


def test_memory_closes_the_bands_one_by_one_and_opens_them_a_little_later() -> None:
    overload = decider()

    def closed(memory: float) -> list[bool]:
        overload.on_sample(ResourceSample(0.0, STEP_MS, 1.0, memory_fraction=memory))
        return [
            overload.rejection_reason(0.0, band) is RejectionReason.MEMORY
            for band in range(overload.band_count)
        ]

    assert closed(0.79) == [False] * 4
    assert closed(0.81) == [True, False, False, False]
    assert closed(0.94) == [True, True, True, False]
    assert closed(0.96) == [True] * 4 and overload.rejects_all(0.0) is RejectionReason.MEMORY
    assert closed(0.93) == [True] * 4  # it has to fall a little below where it closed
    assert closed(0.91) == [True, True, True, False]
    assert closed(0.76) == [False] * 4


def plant(
    overload: OverloadController, rate: float, seconds: float, cost_ms: float, seed: int, no_ms: float = 0.3
) -> dict[str, float]:
    """A core that works off what is let in, first come first; asked at random times, measured like ours."""
    rng, now_ms, backlog_ms, used_ms, late_ms = random.Random(seed), 0.0, 0.0, 0.0, 0.0
    told = {"asked": 0.0, "in": 0.0, "bookings": 0.0, "bookings_in": 0.0, "worst_ms": 0.0}
    next_ms, sampled_ms = 0.0, 0.0
    while now_ms < seconds * 1000:
        step_ms = min(next_ms, sampled_ms + STEP_MS) - now_ms
        work_ms = min(step_ms, backlog_ms)
        now_ms, backlog_ms, used_ms = now_ms + step_ms, backlog_ms - work_ms, used_ms + work_ms
        late_ms = max(late_ms, backlog_ms / 10)  # a turn works off part of what waits
        if now_ms >= next_ms:
            next_ms = now_ms + rng.expovariate(rate / 1000)
            booking = rng.random() < 0.19
            no = overload.admit(now_ms, int(booking), rng.choices((0, 1, 2), (0.5, 0.3, 0.2))[0], 2.0)
            backlog_ms += no_ms if no else cost_ms
            told["asked"] += 1
            told["in"] += no is None
            told["bookings"] += booking
            told["bookings_in"] += booking and no is None
        else:
            overload.on_sample(ResourceSample(now_ms, now_ms - sampled_ms, used_ms, late_ms))
            told["worst_ms"] = max(told["worst_ms"], backlog_ms if now_ms > 2000 else 0.0)
            sampled_ms, used_ms, late_ms = now_ms, 0.0, 0.0
    return told


def test_three_times_the_capacity_costs_no_bookings_and_leaves_the_core_busy() -> None:
    told = plant(overload := decider(), 750.0, 20.0, 4.0, seed=3)
    assert told["bookings_in"] > 0.97 * told["bookings"]
    assert told["in"] * 4.0 + (told["asked"] - told["in"]) * 0.3 > 0.8 * 20_000
    assert told["worst_ms"] < 400 and overload.transition_count == 1


def test_a_load_that_hovers_at_the_limit_does_not_flap() -> None:
    for cost_ms in (3.4, 3.6, 3.8):
        overload = decider()
        told = plant(overload, 250.0, 60.0, cost_ms, seed=5)
        assert overload.transition_count <= 30 and told["in"] > 0.85 * told["asked"]


def test_costs_that_were_guessed_wrong_do_not_shut_the_gate() -> None:
    for cost_ms in (0.5, 12.0):
        told = plant(decider(), 2000.0 / cost_ms, 20.0, cost_ms, 7, cost_ms / 12)
        assert told["in"] * cost_ms > 0.5 * 20_000 and told["bookings_in"] > 0.9 * told["bookings"]


def test_a_tenant_far_over_its_share_takes_nothing_from_the_quiet_ones() -> None:
    shares = TenantQuotas((TenantQuota(0.36), TenantQuota(0.27), TenantQuota(0.14)))
    over = {0: 0, 1: 0, 2: 0}
    for number in range(4000):
        tenant = (0, 1, 2)[number % 20] if number % 20 < 3 else 0  # the first sends 18 of 20
        over[tenant] += shares.is_over_quota(number * 2.0, tenant)
    assert over[1] == over[2] == 0
    assert over[0] > 4000 * 0.9 - 4000 * 0.36 * 1.25 * 1.15


def test_a_rush_of_all_tenants_together_puts_none_over() -> None:
    shares = TenantQuotas(tuple(map(TenantQuota, (0.36, 0.27, 0.23, 0.14))))
    rng = random.Random(1)
    drawn = rng.choices(range(4), (0.36, 0.27, 0.23, 0.14), k=4000)
    assert sum(shares.is_over_quota(number * 0.5, tenant) for number, tenant in enumerate(drawn)) < 40


def test_a_tenant_inside_its_quota_is_never_over() -> None:
    shares = TenantQuotas((TenantQuota(0.01, quota_per_s=20.0), TenantQuota(0.99)))
    assert not any(shares.is_over_quota(number * 55.0, 0) for number in range(500))


def test_a_budget_that_held_nobody_back_has_not_grown_when_the_rush_comes() -> None:
    overload = decider()
    now_ms = press(overload)
    for number in range(50):  # pressed, for the loop is late now and then, but with little to do
        now_ms += STEP_MS
        overload.admit(now_ms, 0, 3, 2.0)
        overload.on_sample(
            ResourceSample(now_ms, STEP_MS, 0.7 * STEP_MS, loop_lag_ms=40.0 if number % 3 == 0 else 0.0)
        )
    assert overload.under_pressure and overload.rate_correction <= 1.0
    shed = sum(overload.admit(now_ms, 0, 3, 2.0) is not None for _ in range(100))
    assert shed > 50
