"""Waits between tries: bounded, spread, and let go of once a call goes through."""

import random
from heapq import heapify, heappop

from ringledge.decide.backoff import Backoff
from ringledge.wire.discovery.watcher import FIRST_AT_MOST_S, FIRST_RETRY_S, MOST_RETRY_S


def test_the_bound_doubles_and_starts_anew() -> None:
    backoff = Backoff(0.05, 2.0, random.Random(1))
    waits = [backoff.next_s() for _ in range(200)]
    for number, wait_s in enumerate(waits):
        assert 0 <= wait_s <= min(2.0, 0.05 * 2**number)
    assert max(waits) > 1.8 and min(waits[10:]) < 0.2  # drawn from the whole of it
    backoff.reset()
    assert backoff.next_s() <= 0.05


def test_what_the_other_side_asks_for_comes_on_top() -> None:
    backoff = Backoff(0.5, 30.0, random.Random(1))
    assert 7.0 <= backoff.next_s(least_s=7.0) <= 7.5


def _through(callers: list[Backoff], until_s: float) -> int:
    """How many that ask in the same second get an answer from a discovery that serves eight a second.

    Calls wait in turn; who has waited 2 s is told no, and yet the call is worked off when its turn comes.
    """
    rng, free_s, through = random.Random(7), 0.0, 0
    calls = [(rng.random(), number) for number in range(len(callers))]
    while calls:
        heapify(calls)
        at_s, number = heappop(calls)
        if at_s > until_s:
            break
        free_s = max(free_s, at_s) + 1 / 8
        if free_s - at_s <= 2.0:
            through += 1
        else:
            calls.append((at_s + 2.0 + callers[number].next_s(), number))
    return through


def test_a_tier_that_restarts_in_the_same_second_gets_its_lists_only_if_it_gives_way() -> None:
    def tier(first_s: float, most_s: float) -> list[Backoff]:
        return [Backoff(first_s, most_s, random.Random(seed)) for seed in range(40)]

    assert _through(tier(0.05, 0.05), 40.0) < 20  # at a steady pace only those that came first
    assert _through(tier(0.05, 2.0), 40.0) < 20
    assert _through(tier(min(FIRST_AT_MOST_S, FIRST_RETRY_S * 40), MOST_RETRY_S * 40), 40.0) >= 38
