"""Idle connections watched by the event loop itself, and others on an epoll nested in the loop's own."""

from __future__ import annotations

import asyncio
import contextlib
import os
import selectors
import socket
from typing import Any

import pytest

from ringledge.wire.clients import idle_connections as idle_module
from ringledge.wire.clients.idle_connections import IdleConnection, IdleConnections
from tests.loopback import WAIT_S


class NestedEpollIgnoringSelector(selectors.EpollSelector):
    """Simulates a host that reports no events of an epoll nested in the loop's own."""

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        fd = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        is_nested = os.readlink(f"/proc/self/fd/{fd}") == "anon_inode:[eventpoll]"
        # An epoll is never writable.
        return super().register(fileobj, selectors.EVENT_WRITE if is_nested else events, data)


async def _activate_all(count: int, by_sweep: bool) -> int:
    """Send data on `count` idle connections; return how many are activated before their timeouts."""
    activated = list[IdleConnection]()
    done = asyncio.Event()

    def on_readable(connection: IdleConnection) -> None:
        activated.append(connection)
        if len(activated) == count:
            done.set()

    idle, pairs = IdleConnections(on_readable, lambda *_: None), [socket.socketpair() for _ in range(count)]
    for server_end, _ in pairs:
        idle.add(IdleConnection(server_end, 0.0, True, False), 60.0)
    for _, client_end in pairs:
        client_end.send(b"GET")
    if by_sweep:
        idle.sweep()
    else:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(done.wait(), WAIT_S)
    for pair in pairs:
        for sock in pair:
            sock.close()
    return len(activated)


@pytest.mark.parametrize(("max_loop_watched", "by_sweep"), [(128, False), (0, True)])
def test_nested_epoll_without_events_misses_no_readable_connection(
    max_loop_watched: int, by_sweep: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Requests on idle connections were noticed only when the timeouts expired, up to 1.8 s later."""
    monkeypatch.setattr(idle_module, "MAX_LOOP_WATCHED", max_loop_watched)
    loop = asyncio.SelectorEventLoop(NestedEpollIgnoringSelector())
    try:
        assert loop.run_until_complete(_activate_all(20, by_sweep)) == 20
    finally:
        loop.close()


@pytest.mark.parametrize("max_loop_watched", [0, 5])
def test_connections_not_watched_by_loop_are_activated(
    max_loop_watched: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(idle_module, "MAX_LOOP_WATCHED", max_loop_watched)
    assert asyncio.run(_activate_all(20, by_sweep=False)) == 20
