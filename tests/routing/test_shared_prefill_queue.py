"""Prefill queues are shared: a wait that one class tolerates may be too long for another's target."""

from __future__ import annotations

import pytest

from ringledge.routing.interface import (
    Idempotency,
    RequestClass,
)
from tests.router_harness import IDEMPOTENT, RouterHarness, final_answers

PATIENT = RequestClass(2500, 10_000, Idempotency.NON_IDEMPOTENT, target_token_ms=80)


def refused(classes: tuple[RequestClass, ...], index: int, wait_ms: float, seed: int) -> bool:
    w = RouterHarness(seed=seed, classes=classes)
    for number in range(20):
        w.serve(f"a{number}", session=number)
    for name in ("r0", "r1", "r2", "r3"):
        w.policy.fleet.servers[name].delay.add(w.now_ms, 10 * wait_ms)
        w.policy.fleet.servers[name].delay.mean = wait_ms
    return bool(final_answers(w.request("q", class_index=index, session=99)))


@pytest.mark.parametrize("seed", range(4))
def test_request_with_long_target_is_shed_where_its_wait_delays_urgent_ones(seed: int) -> None:
    assert refused((IDEMPOTENT, PATIENT), 1, 2_300, seed)
    assert not refused((IDEMPOTENT, PATIENT), 1, 700, seed)


@pytest.mark.parametrize("seed", range(4))
def test_request_with_long_target_may_wait_where_all_targets_are_long(seed: int) -> None:
    assert not refused((PATIENT,), 0, 2_300, seed)
