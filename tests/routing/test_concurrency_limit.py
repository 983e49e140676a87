"""The adaptive limit on a router's prefills: when it stands, what it admits, and when it is lifted."""

from __future__ import annotations

from math import inf

import pytest

from ringledge.routing.concurrency_limit import LIFT_AFTER_MS, RECENT_MS, WAIT_SHARE, ConcurrencyLimit
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


def congested(out: float = 4_000.0, least: float = 500.0) -> ConcurrencyLimit:
    limit = ConcurrencyLimit()
    assert limit.observe_wait(START_MS, 2 * WAIT_SHARE, START_MS - 500)
    limit.decrease(START_MS, out, least)
    return limit


def test_nothing_is_limited_until_a_read_waits() -> None:
    limit = ConcurrencyLimit()
    assert not limit.observe_wait(START_MS, WAIT_SHARE, START_MS - 500)
    assert limit.limit_tokens == inf
    assert limit.admits(1e9, 1e9, 0.0, 0.99)


def test_one_slow_server_is_no_congestion() -> None:
    limit = ConcurrencyLimit()
    limit.observe_wait(START_MS, 0.0, START_MS - 50)
    assert not limit.observe_wait(START_MS + RECENT_MS, 9.0, START_MS)
    assert limit.observe_wait(START_MS + RECENT_MS + 1, 9.0, START_MS)


def test_reads_sent_before_a_cut_call_for_no_other() -> None:
    limit = congested()
    assert not limit.observe_wait(START_MS + 400, 9.0, START_MS - 1)
    assert limit.observe_wait(START_MS + 400, 9.0, START_MS)


@pytest.mark.parametrize("out", [0.0, 100.0, 4_000.0, 1e6])
def test_a_cut_leaves_less_than_is_out_and_the_least_at_any_rate(out: float) -> None:
    limit = congested(out)
    assert limit.limit_tokens == max(500.0, 0.7 * out)
    limit.decrease(START_MS, 1e9, 500.0)
    assert limit.limit_tokens <= max(500.0, 0.7 * out)


def test_a_dear_read_of_little_worth_is_turned_away_first() -> None:
    limit = congested()
    chances = [n / 100 for n in range(100)]

    def let_in(tokens: float, value: float) -> int:
        return sum(limit.admits(1_500.0, tokens, value, chance) for chance in chances)

    assert let_in(400.0, 0.3) == 100
    assert 0 < let_in(4_000.0, 0.3) < let_in(4_000.0, 1.0) < 100


def test_it_is_lifted_after_a_while_without_congestion() -> None:
    limit = congested()
    limit.observe_wait(START_MS + 500, 0.0, START_MS)
    assert limit.limit_tokens < inf
    limit.observe_wait(START_MS + LIFT_AFTER_MS + 1, 0.0, START_MS)
    assert limit.limit_tokens == inf


def refused(slow_ms: float, quick: bool) -> tuple[int, int]:
    """Of 60 requests beside 8 reads that wait: those refused, and sends; `quick` tells of one good reader."""
    world = RouterHarness(FLEET, routers=40, max_attempts=6)
    for n in range(20):
        world.advance(400)
        world.serve(f"a{n}", session=n)
    world.advance(2 * RECENT_MS)
    for n in range(8):
        world.request(f"b{n}", session=100 + n)
    world.advance(slow_ms)
    for n in range(8):
        world.outcome(f"b{n}", AttemptStatus.PREFILLED, latency_ms=slow_ms)
    if quick:
        world.serve("good", session=99)
    noes = sent = 0
    for n in range(60):  # at readers of which nothing is known, or long ago
        world.request(f"c{n}", session=1000 + n)
        noes += len(final_answers(world.last_actions))
        sent += len(sent_to(world.last_actions))
    return noes, sent


def test_an_unknown_prefill_server_is_not_taken_for_idle_while_all_others_are_congested() -> None:
    noes, sent = refused(slow_ms=450, quick=False)  # under what sheds by one reader's own wait
    assert noes > 40  # 0 without the limit: each was sent at once
    assert sent == 60 - noes  # refused at once, nothing held back
    assert sent > 0


def test_nobody_is_turned_away_where_one_reader_reads_soon() -> None:
    assert refused(slow_ms=450, quick=True)[0] < refused(slow_ms=450, quick=False)[0]
    assert refused(slow_ms=50, quick=False)[0] == 0


def test_a_read_given_up_at_once_is_no_sign_of_calm() -> None:
    world = RouterHarness(FLEET, routers=40)
    world.serve("a")
    world.advance(2 * RECENT_MS)
    soon_ms = world.policy.concurrency_limit.uncongested_ms
    world.request("b", session=1)
    world.abandon("b")
    assert world.policy.concurrency_limit.uncongested_ms == soon_ms
