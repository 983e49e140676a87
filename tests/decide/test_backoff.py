"""Delays between attempts are bounded, spread, and reset by a success."""

import random
from heapq import heapify, heappop

from ringledge.decide.backoff import Backoff
from ringledge.decide.discovery.watch_backoff import (
    INITIAL_BACKOFF_PER_ROUTER_S,
    MAX_BACKOFF_PER_ROUTER_S,
    MAX_INITIAL_BACKOFF_S,
)


def test_bound_doubles_up_to_the_maximum_and_is_reset_by_a_success() -> None:
    backoff = Backoff(0.05, 2.0, random.Random(1))
    delays = [backoff.next_delay_s() for _ in range(200)]
    for number, delay_s in enumerate(delays):
        assert 0 <= delay_s <= min(2.0, 0.05 * 2**number)
    assert max(delays) > 1.8 and min(delays[10:]) < 0.2  # drawn from the whole interval
    backoff.reset()
    assert backoff.next_delay_s() <= 0.05


def test_delay_asked_for_by_the_peer_is_added() -> None:
    backoff = Backoff(0.5, 30.0, random.Random(1))
    assert 7.0 <= backoff.next_delay_s(min_s=7.0) <= 7.5


def _count_answered(callers: list[Backoff], until_s: float) -> int:
    """The number of callers that get an answer from a discovery server which serves eight calls a second.

    All begin within the same second. Calls are queued in order; a caller gives up after 2 s, but the server
    processes its call all the same.
    """
    rng = random.Random(7)
    free_s = 0.0
    answered = 0
    calls = [(rng.random(), number) for number in range(len(callers))]
    while calls:
        heapify(calls)
        at_s, number = heappop(calls)
        if at_s > until_s:
            break
        free_s = max(free_s, at_s) + 1 / 8
        if free_s - at_s <= 2.0:
            answered += 1
        else:
            calls.append((at_s + 2.0 + callers[number].next_delay_s(), number))
    return answered


def test_routers_that_restart_together_get_their_lists_only_with_a_growing_backoff() -> None:
    def make_callers(initial_s: float, max_s: float) -> list[Backoff]:
        return [Backoff(initial_s, max_s, random.Random(seed)) for seed in range(40)]

    assert (
        _count_answered(make_callers(0.05, 0.05), 40.0) < 20
    )  # a constant rate serves only the first callers
    assert _count_answered(make_callers(0.05, 2.0), 40.0) < 20
    assert (
        _count_answered(
            make_callers(
                min(MAX_INITIAL_BACKOFF_S, INITIAL_BACKOFF_PER_ROUTER_S * 40), MAX_BACKOFF_PER_ROUTER_S * 40
            ),
            40.0,
        )
        >= 38
    )
