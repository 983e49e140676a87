"""Which idle connections of the pool a request may reuse."""

from __future__ import annotations

from dataclasses import dataclass

import pytest

from ringledge.memory import connection_pool
from ringledge.memory.connection_pool import MIN_SAFE_IDLE_S, ConnectionPool
from ringledge.observe.metrics import Metrics

ADDRESS = "127.0.0.1:1"


@dataclass(eq=False)
class FakeConnection:
    """A connection with the interface that the pool uses."""

    idle_since_s: float = 0.0
    reused: bool = False
    streamed: bool = False
    closed: bool = False

    def readable(self) -> bool:
        return False

    def close(self) -> None:
        self.closed = True


class Clock:
    """Replaces the `time` module of the pool with a simulated clock."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(connection_pool, "time", clock)
    return clock


def test_at_most_once_request_gets_no_connection_with_a_duplicate_response_pending(clock: Clock) -> None:
    """Guards against a late duplicate rejection that is taken for the response to a booking.

    The booking would then be sent to a second server although the first one may run it.
    """
    pool, conn = ConnectionPool[FakeConnection](8, 30.0, Metrics()), FakeConnection()
    pool.release(ADDRESS, conn)
    clock.now_s += MIN_SAFE_IDLE_S / 2
    assert pool.acquire(ADDRESS, at_most_once=True) is None
    assert pool.acquire(ADDRESS) is conn
    pool.release(ADDRESS, conn)
    clock.now_s += MIN_SAFE_IDLE_S * 1.01
    assert pool.acquire(ADDRESS, at_most_once=True) is conn
    assert pool.acquire(ADDRESS) is None


def test_acquire_prefers_the_most_recently_used_safe_connection(clock: Clock) -> None:
    pool = ConnectionPool[FakeConnection](8, 30.0, Metrics())
    first, second, third = FakeConnection(), FakeConnection(), FakeConnection()
    for conn in (first, second, third):
        pool.release(ADDRESS, conn)
        clock.now_s += MIN_SAFE_IDLE_S * 0.7
    assert pool.acquire(ADDRESS, at_most_once=True) is second
    assert pool.acquire(ADDRESS) is third
    assert pool.acquire(ADDRESS) is first


def test_connection_that_carried_a_stream_is_reused_only_after_a_safe_idle_time(clock: Clock) -> None:
    """Guards against a late duplicate response after a stream that is relayed to the next query's client."""
    pool, conn = ConnectionPool[FakeConnection](8, 30.0, Metrics()), FakeConnection(streamed=True)
    pool.release(ADDRESS, conn)
    clock.now_s += MIN_SAFE_IDLE_S / 2
    assert pool.acquire(ADDRESS) is None
    clock.now_s += MIN_SAFE_IDLE_S
    assert pool.acquire(ADDRESS) is conn
