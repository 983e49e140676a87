"""Which idle connections a request gets."""

from __future__ import annotations

from dataclasses import dataclass

import pytest

from ringledge.memory import connection_pool as pooling
from ringledge.memory.connection_pool import MIN_SAFE_IDLE_S, ConnectionPool
from ringledge.observe.metrics import Metrics

ADDRESS = "127.0.0.1:1"


@dataclass(eq=False)
class Idle:
    """A connection as the pool sees it."""

    idle_since: float = 0.0
    reused: bool = False
    streamed: bool = False
    closed: bool = False

    def readable(self) -> bool:
        return False

    def close(self) -> None:
        self.closed = True


class Clock:
    """Stands in for the module's monotonic clock."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(pooling, "time", clock)
    return clock


def test_what_must_not_run_twice_gets_no_connection_on_which_a_second_answer_may_be_due(clock: Clock) -> None:
    """A second answer "turned away" came under a booking, which was then sent to another server as well."""
    pool, conn = ConnectionPool[Idle](8, 30.0, Metrics()), Idle()
    pool.release(ADDRESS, conn)
    clock.now_s += MIN_SAFE_IDLE_S / 2
    assert pool.acquire(ADDRESS, at_most_once=True) is None
    assert pool.acquire(ADDRESS) is conn
    pool.release(ADDRESS, conn)
    clock.now_s += MIN_SAFE_IDLE_S * 1.01
    assert pool.acquire(ADDRESS, at_most_once=True) is conn
    assert pool.acquire(ADDRESS) is None


def test_of_several_the_youngest_settled_one_is_taken(clock: Clock) -> None:
    pool, first, second, third = ConnectionPool[Idle](8, 30.0, Metrics()), Idle(), Idle(), Idle()
    for conn in (first, second, third):
        pool.release(ADDRESS, conn)
        clock.now_s += MIN_SAFE_IDLE_S * 0.7
    assert pool.acquire(ADDRESS, at_most_once=True) is second
    assert pool.acquire(ADDRESS) is third
    assert pool.acquire(ADDRESS) is first


def test_a_connection_that_carried_a_stream_rests_before_any_request_gets_it(clock: Clock) -> None:
    """A second answer behind a stream came under a query, whose client was given it."""
    pool, conn = ConnectionPool[Idle](8, 30.0, Metrics()), Idle(streamed=True)
    pool.release(ADDRESS, conn)
    clock.now_s += MIN_SAFE_IDLE_S / 2
    assert pool.acquire(ADDRESS) is None
    clock.now_s += MIN_SAFE_IDLE_S
    assert pool.acquire(ADDRESS) is conn
