"""The bytes that responses buffer, and which of them are evicted when memory runs short."""

from __future__ import annotations

import pytest

from ringledge.memory.buffered_bytes import BufferedBytes
from ringledge.wire.clients.chat.stream_sessions import SessionEnd, StreamSession, StreamSessionStore


class ConnectedClient:
    """A client that follows an answer."""

    def peer_disconnected(self) -> bool:
        return False


def session(
    name: str, size: int, last_used_s: float, end: SessionEnd | None, followers: int = 0
) -> StreamSession:
    followed = {ConnectedClient() for _ in range(followers)}
    return StreamSession(
        name, {}, 0, 100.0, size_bytes=size, last_used_s=last_used_s, end=end, followers={*followed}
    )


def test_evict_removes_ended_responses_oldest_first_and_never_running_ones() -> None:
    sessions, buffered = StreamSessionStore(10, 1e9, 1e9), BufferedBytes()
    buffered.register(sessions)
    for each in (
        session("running", 500, 1.0, None),
        session("followed", 500, 2.0, SessionEnd.SERVED, followers=1),
        session("young", 100, 9.0, SessionEnd.SERVED),
        session("old", 100, 3.0, SessionEnd.BROKEN),
        session("middle", 100, 5.0, SessionEnd.SERVED),
    ):
        sessions.add(each, None)
    buffered.stream_bytes = 40
    assert buffered.total_bytes == 1340
    assert buffered.evict(150) == 200
    assert sessions.get("old") is sessions.get("middle") is None and sessions.get("young")
    assert buffered.evict(10_000) == 100 and buffered.total_bytes == 1040
    assert sessions.get("running") and sessions.get("followed")


@pytest.mark.parametrize("size", [0, -5])
def test_evict_of_nothing_removes_nothing(size: int) -> None:
    sessions = StreamSessionStore(10, 1e9, 1e9)
    sessions.add(session("old", 100, 3.0, SessionEnd.SERVED), None)
    assert sessions.evict(size) == 0 and len(sessions) == 1
