"""Classes share the prefill queues: a wait that one tolerates may exceed the target of another."""

from __future__ import annotations

import pytest

from ringledge.routing.interface import (
    Idempotency,
    RequestClass,
)
from tests.router_harness import IDEMPOTENT, RouterHarness, final_answers

LONG_TARGET = RequestClass(2500, 10_000, Idempotency.NON_IDEMPOTENT, target_token_ms=80)


def is_shed(classes: tuple[RequestClass, ...], index: int, wait_ms: float, seed: int) -> bool:
    harness = RouterHarness(seed=seed, classes=classes)
    for number in range(20):
        harness.serve(f"a{number}", session=number)
    for name in ("r0", "r1", "r2", "r3"):
        harness.policy.fleet.servers[name].delay.add(harness.now_ms, 10 * wait_ms)
        harness.policy.fleet.servers[name].delay.mean = wait_ms
    return bool(final_answers(harness.request("q", class_index=index, session=99)))


@pytest.mark.parametrize("seed", range(4))
def test_request_with_long_target_is_shed_where_its_wait_delays_urgent_ones(seed: int) -> None:
    assert is_shed((IDEMPOTENT, LONG_TARGET), 1, 2_300, seed)
    assert not is_shed((IDEMPOTENT, LONG_TARGET), 1, 700, seed)


@pytest.mark.parametrize("seed", range(4))
def test_request_with_long_target_may_wait_where_all_targets_are_long(seed: int) -> None:
    assert not is_shed((LONG_TARGET,), 0, 2_300, seed)
