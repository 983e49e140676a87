"""What answers hold, and what of it is given up when memory runs short."""

from __future__ import annotations

import pytest

from ringledge.memory.buffered_bytes import BufferedBytes
from ringledge.wire.clients.chat.stream_sessions import SessionEnd, StreamSession, StreamSessionStore


class There:
    """A client that follows an answer."""

    def peer_gone(self) -> bool:
        return False


def session(
    name: str, size: int, touched: float, end: SessionEnd | None, followers: int = 0
) -> StreamSession:
    followed = {There() for _ in range(followers)}
    return StreamSession(
        name, {}, 0, 100.0, size_bytes=size, last_used_s=touched, end=end, followers={*followed}
    )


def test_kept_answers_go_oldest_first_and_running_ones_never() -> None:
    sessions, held = StreamSessionStore(10, 1e9, 1e9), BufferedBytes()
    held.register(sessions)
    for each in (
        session("running", 500, 1.0, None),
        session("followed", 500, 2.0, SessionEnd.SERVED, followers=1),
        session("young", 100, 9.0, SessionEnd.SERVED),
        session("old", 100, 3.0, SessionEnd.BROKEN),
        session("middle", 100, 5.0, SessionEnd.SERVED),
    ):
        sessions.add(each, None)
    held.stream_bytes = 40
    assert held.total_bytes == 1340
    assert held.evict(150) == 200
    assert sessions.get("old") is sessions.get("middle") is None and sessions.get("young")
    assert held.evict(10_000) == 100 and held.total_bytes == 1040
    assert sessions.get("running") and sessions.get("followed")


@pytest.mark.parametrize("size", [0, -5])
def test_nothing_is_given_up_where_nothing_is_wanted(size: int) -> None:
    sessions = StreamSessionStore(10, 1e9, 1e9)
    sessions.add(session("old", 100, 3.0, SessionEnd.SERVED), None)
    assert sessions.evict(size) == 0 and len(sessions) == 1
