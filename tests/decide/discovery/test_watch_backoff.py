"""The delays between watches where lists are asked for: behind an outage, and behind an overload."""

from __future__ import annotations

import random
from heapq import heapify, heappop

import pytest

from ringledge.decide.discovery.watch_backoff import WatchBackoff

OUTAGE_S = 8.0  # in which connections are refused
RESPONSES_PER_S = 20  # of the discovery service, which also serves calls whose routers have given up
TIMEOUT_S = 3.0  # of a call
MAX_STALENESS_S = 6.0  # a change is known this long after the service has it and can be reached


def list_times_s(routers: int, seed: int) -> list[float]:
    """When each router has the list, counted from the end of an outage that has broken all watches."""
    backoffs = [WatchBackoff(False, routers, random.Random(f"{seed} {number}")) for number in range(routers)]
    calls = [(backoff.next_delay_s(), number) for number, backoff in enumerate(backoffs)]
    received_s, free_s = list[float](), OUTAGE_S
    while calls:
        heapify(calls)
        at_s, number = heappop(calls)
        if at_s < OUTAGE_S:
            calls.append((at_s + backoffs[number].next_delay_s(refused=True), number))
            continue
        free_s = max(free_s, at_s) + 1 / RESPONSES_PER_S
        if free_s - at_s <= TIMEOUT_S:
            received_s.append(free_s - OUTAGE_S)
        else:
            calls.append((at_s + TIMEOUT_S + backoffs[number].next_delay_s(), number))
    return received_s


@pytest.mark.parametrize("routers", [1, 4, 20, 80])
def test_all_routers_have_the_list_in_time_after_an_outage(routers: int) -> None:
    """Guards against a fleet so large that its delays exceed the time in which a change must be known."""
    for seed in range(50):
        assert max(list_times_s(routers, seed)) <= MAX_STALENESS_S


def test_refused_connections_do_not_lengthen_the_delays_after_an_overload() -> None:
    first, after_outage = (WatchBackoff(False, 40, random.Random(1)) for _ in range(2))
    for _ in range(10):
        after_outage.next_delay_s(refused=True)
    assert after_outage.next_delay_s() <= 2.0
    delays = [first.next_delay_s() for _ in range(50)]
    assert max(delays) > 20.0  # an overloaded service is asked less and less
