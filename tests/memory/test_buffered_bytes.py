"""Counts of buffered response bytes, and the order in which retained responses are evicted."""

from __future__ import annotations

import pytest

from ringledge.memory.buffered_bytes import BufferedBytes
from ringledge.wire.clients.chat.stream_sessions import (
    RetainedRequest,
    SessionEnd,
    StreamSession,
    StreamSessionStore,
)


class ConnectedClient:
    """A client that is connected and receives the stream of a session."""

    def peer_disconnected(self) -> bool:
        return False


def session(
    name: str, size: int, last_used_s: float, end: SessionEnd | None, followers: int = 0
) -> StreamSession:
    clients = {ConnectedClient() for _ in range(followers)}
    request = RetainedRequest(b"", "yard", True, False)
    return StreamSession(
        name, "farm", request, 0, 100.0, size, last_used_s=last_used_s, end=end, followers={*clients}
    )


def test_evict_removes_ended_responses_oldest_first_and_keeps_running_and_followed_ones() -> None:
    sessions, buffered = StreamSessionStore(10, 1e9, 1e9), BufferedBytes()
    buffered.register(sessions)
    for stream_session in (
        session("running", 500, 1.0, None),
        session("followed", 500, 2.0, SessionEnd.SERVED, followers=1),
        session("newest", 100, 9.0, SessionEnd.SERVED),
        session("oldest", 100, 3.0, SessionEnd.BROKEN),
        session("middle", 100, 5.0, SessionEnd.SERVED),
    ):
        sessions.add(stream_session, None)
    buffered.stream_bytes = 40
    assert buffered.total_bytes == 1340
    assert buffered.evict(150) == 200
    assert sessions.get("farm", "oldest") is sessions.get("farm", "middle") is None and sessions.get(
        "farm", "newest"
    )
    assert buffered.evict(10_000) == 100 and buffered.total_bytes == 1040
    assert sessions.get("farm", "running") and sessions.get("farm", "followed")


@pytest.mark.parametrize("size", [0, -5])
def test_evict_of_zero_or_negative_size_removes_nothing(size: int) -> None:
    sessions = StreamSessionStore(10, 1e9, 1e9)
    sessions.add(session("old", 100, 3.0, SessionEnd.SERVED), None)
    assert sessions.evict(size) == 0 and len(sessions) == 1
