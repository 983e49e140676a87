"""The adaptive limit on a router's prefills: when it is set, what it admits and when it is removed."""

from __future__ import annotations

from math import inf

import pytest

from ringledge.routing.concurrency_limit import (
    CONGESTION_WAIT_SHARE,
    LIFT_AFTER_MS,
    UNCONGESTED_VALIDITY_MS,
    ConcurrencyLimit,
)
from ringledge.routing.interface import (
    AttemptStatus,
)
from tests.router_harness import (
    DECODE_KIND,
    PREFILL_KIND,
    RouterHarness,
    final_answers,
    sent_to,
    server_entry,
)

START_MS = 10_000.0
FLEET = (
    *(server_entry(f"r{n}", PREFILL_KIND) for n in range(12)),
    *(server_entry(f"w{n}", DECODE_KIND) for n in range(4)),
)


def congested(in_flight_tokens: float = 4_000.0, floor_tokens: float = 500.0) -> ConcurrencyLimit:
    limit = ConcurrencyLimit()
    assert limit.observe_wait(START_MS, 2 * CONGESTION_WAIT_SHARE, START_MS - 500)
    limit.decrease(START_MS, in_flight_tokens, floor_tokens)
    return limit


def test_no_limit_until_a_prefill_waits() -> None:
    limit = ConcurrencyLimit()
    assert not limit.observe_wait(START_MS, CONGESTION_WAIT_SHARE, START_MS - 500)
    assert limit.limit_tokens == inf
    assert limit.admits(1e9, 1e9, 0.0, 0.99)


def test_one_slow_server_is_not_congestion() -> None:
    limit = ConcurrencyLimit()
    limit.observe_wait(START_MS, 0.0, START_MS - 50)
    assert not limit.observe_wait(START_MS + UNCONGESTED_VALIDITY_MS, 9.0, START_MS)
    assert limit.observe_wait(START_MS + UNCONGESTED_VALIDITY_MS + 1, 9.0, START_MS)


def test_prefills_sent_before_a_decrease_cause_no_second_decrease() -> None:
    limit = congested()
    assert not limit.observe_wait(START_MS + 400, 9.0, START_MS - 1)
    assert limit.observe_wait(START_MS + 400, 9.0, START_MS)


@pytest.mark.parametrize("in_flight_tokens", [0.0, 100.0, 4_000.0, 1e6])
def test_decrease_sets_limit_below_tokens_in_flight_but_not_below_floor(in_flight_tokens: float) -> None:
    limit = congested(in_flight_tokens)
    assert limit.limit_tokens == max(500.0, 0.7 * in_flight_tokens)
    limit.decrease(START_MS, 1e9, 500.0)
    assert limit.limit_tokens <= max(500.0, 0.7 * in_flight_tokens)


def test_expensive_prefill_of_low_priority_is_rejected_first() -> None:
    limit = congested()
    draws = [n / 100 for n in range(100)]

    def admitted(tokens: float, priority: float) -> int:
        return sum(limit.admits(1_500.0, tokens, priority, draw) for draw in draws)

    assert admitted(400.0, 0.3) == 100
    assert 0 < admitted(4_000.0, 0.3) < admitted(4_000.0, 1.0) < 100


def test_limit_is_lifted_after_a_period_without_congestion() -> None:
    limit = congested()
    limit.observe_wait(START_MS + 500, 0.0, START_MS)
    assert limit.limit_tokens < inf
    limit.observe_wait(START_MS + LIFT_AFTER_MS + 1, 0.0, START_MS)
    assert limit.limit_tokens == inf


def rejections_and_sends(wait_ms: float, one_uncongested: bool) -> tuple[int, int]:
    """Send 60 requests after 8 prefills that waited; return the numbers of rejections and of sends.

    With `one_uncongested` a further server has just prefilled without a wait.
    """
    harness = RouterHarness(FLEET, routers=40, max_attempts=6)
    for n in range(20):
        harness.advance(400)
        harness.serve(f"a{n}", session=n)
    harness.advance(2 * UNCONGESTED_VALIDITY_MS)
    for n in range(8):
        harness.request(f"b{n}", session=100 + n)
    harness.advance(wait_ms)
    for n in range(8):
        harness.outcome(f"b{n}", AttemptStatus.PREFILLED, latency_ms=wait_ms)
    if one_uncongested:
        harness.serve("good", session=99)
    rejected_count = sent = 0
    for n in range(60):  # at prefill servers without recent observations
        harness.request(f"c{n}", session=1000 + n)
        rejected_count += len(final_answers(harness.last_actions))
        sent += len(sent_to(harness.last_actions))
    return rejected_count, sent


def test_unknown_prefill_server_is_not_assumed_idle_while_others_are_congested() -> None:
    # A wait of 450 ms is below the one at which a request is shed for its own server's wait.
    rejected_count, sent = rejections_and_sends(wait_ms=450, one_uncongested=False)
    assert rejected_count > 40  # without the limit none is rejected
    assert sent == 60 - rejected_count  # every request is either sent or rejected at once
    assert sent > 0


def test_nothing_is_rejected_while_one_prefill_server_is_uncongested() -> None:
    assert (
        rejections_and_sends(wait_ms=450, one_uncongested=True)[0]
        < rejections_and_sends(wait_ms=450, one_uncongested=False)[0]
    )
    assert rejections_and_sends(wait_ms=50, one_uncongested=False)[0] == 0


def test_immediately_cancelled_prefill_is_not_an_uncongested_sample() -> None:
    harness = RouterHarness(FLEET, routers=40)
    harness.serve("a")
    harness.advance(2 * UNCONGESTED_VALIDITY_MS)
    before_ms = harness.policy.concurrency_limit.uncongested_ms
    harness.request("b", session=1)
    harness.abandon("b")
    assert harness.policy.concurrency_limit.uncongested_ms == before_ms
