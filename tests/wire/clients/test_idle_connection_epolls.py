"""Connections at rest on two epolls: those that the loop watches, and the others."""

from __future__ import annotations

import asyncio
import contextlib
import os
import selectors
import socket
from typing import Any

import pytest

from ringledge.wire.clients import idle_connections as parking
from ringledge.wire.clients.idle_connections import IdleConnection, IdleConnections
from tests.loopback import WAIT_S


class DeafToNested(selectors.EpollSelector):
    """A host that never tells of an epoll inside the loop's own."""

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        number = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        nested = os.readlink(f"/proc/self/fd/{number}") == "anon_inode:[eventpoll]"
        return super().register(fileobj, selectors.EVENT_WRITE if nested else events, data)  # it never is


async def _wake_all(count: int, sweeps: bool) -> int:
    """Let so many rest, have each say something; how many are woken without their time being over."""
    woken = list[IdleConnection]()
    done = asyncio.Event()

    def wake(parked: IdleConnection) -> None:
        woken.append(parked)
        if len(woken) == count:
            done.set()

    rest, pairs = IdleConnections(wake, lambda *_: None), [socket.socketpair() for _ in range(count)]
    for ours, _ in pairs:
        rest.add(IdleConnection(ours, 0.0, True, False), 60.0)
    for _, theirs in pairs:
        theirs.send(b"GET")
    if sweeps:
        rest.sweep()
    else:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(done.wait(), WAIT_S)
    for pair in pairs:
        for sock in pair:
            sock.close()
    return len(woken)


@pytest.mark.parametrize(("watched", "sweeps"), [(128, False), (0, True)])
def test_nested_epoll_without_events_misses_no_readable_connection(
    watched: int, sweeps: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Requests on connections that had rested were found only when their time was over, up to 1.8 s later."""
    monkeypatch.setattr(parking, "MAX_LOOP_WATCHED", watched)
    loop = asyncio.SelectorEventLoop(DeafToNested())
    try:
        assert loop.run_until_complete(_wake_all(20, sweeps)) == 20
    finally:
        loop.close()


@pytest.mark.parametrize("watched", [0, 5])
def test_connections_not_watched_by_loop_are_activated(watched: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(parking, "MAX_LOOP_WATCHED", watched)
    assert asyncio.run(_wake_all(20, sweeps=False)) == 20
