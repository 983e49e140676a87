"""Unit tests of the receive buffer, the flattening of settings, the clock and the connection pool."""

import pytest

from ringledge.core.clock import Clock
from ringledge.lifecycle.config import flatten_settings
from ringledge.memory.connection_pool import ConnectionPool
from ringledge.observe.metrics import Metrics
from ringledge.wire.http.receive_buffer import ReceiveBuffer


def fill(buffer: ReceiveBuffer, data: bytes) -> None:
    with buffer.free_space(len(data)) as free_space:
        free_space[: len(data)] = data
    buffer.commit(len(data))


@pytest.mark.parametrize("sizes", [[1], [4, 4, 4], [100], [3, 50, 3], [16] * 9])
def test_the_receive_buffer_returns_what_was_received_and_grows(sizes: list[int]) -> None:
    buffer = ReceiveBuffer(8)
    for _ in range(2):
        received = b""
        for number, size in enumerate(sizes):
            fill(buffer, bytes([number]) * size)
            received += bytes([number]) * size
        assert len(buffer) == len(received) and buffer.take(len(received)) == received and len(buffer) == 0


def test_settings_are_flattened_to_paths() -> None:
    classes = [{"name": "x y"}, {"name": "z"}]
    settings = {"a": {"b": True, "c": [1, 2]}, "classes": classes, "none": None, "empty": []}
    assert dict(flatten_settings(settings)) == {
        "a.b": "true", "a.c": "1,2", "classes.count": "2", "classes.0.name": "x_y", "classes.1.name": "z",
        "empty": "",
    }  # fmt: skip


def test_the_clock_is_unix_time_and_monotonic(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = Clock()
    first = clock.now_ms()
    assert first > 1_600_000_000_000
    monkeypatch.setattr("time.time", lambda: 0.0)  # the system clock is set back
    assert clock.now_ms() >= first


class FakeConnection:
    idle_since_s = 0.0
    reused = streamed = False

    def __init__(self) -> None:
        self.has_unread_data = self.closed = False

    def readable(self) -> bool:
        return self.has_unread_data

    def close(self) -> None:
        self.closed = True


def test_the_pool_returns_the_last_used_connection_and_closes_readable_and_expired_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now = [100.0]
    monkeypatch.setattr("time.monotonic", lambda: now[0])
    pool: ConnectionPool[FakeConnection] = ConnectionPool(3, 15.0, Metrics())
    conns = [FakeConnection() for _ in range(3)]
    for conn in conns:
        assert pool.reserve()
        pool.release("a", conn)
        now[0] += 1
    assert pool.reserve() and conns[0].closed  # closed to make room for the new connection
    assert pool.open_count == 3
    pool.cancel_reservation()
    conns[2].has_unread_data = True
    assert pool.acquire("a") is conns[1] and conns[2].closed
    pool.release("a", conns[1])
    pool.on_reused_connection_broken("b")
    assert pool.acquire("a", at_most_once=True) is None and pool.acquire("a") is conns[1] and conns[1].reused
    pool.release("a", conns[1])
    now[0] += 15
    assert pool.acquire("a") is None and conns[1].closed and pool.open_count == 0
    pool.close_idle()
    assert len(pool) == 0  # addresses without connections are deleted
