"""When all clients of a chat response count as disconnected, which is checked right before an attempt."""

from __future__ import annotations

import signal
from types import SimpleNamespace
from typing import Any

import pytest

from ringledge.wire.clients.chat.answer import SessionSink
from ringledge.wire.clients.chat.stream_sessions import RetainedRequest, SessionEnd, StreamSession
from tests.loopback import Node
from tests.wire.clients.chat.helpers import CHAT_REQUEST


class Follower:
    """A connection that follows a session."""

    def __init__(self, disconnected: bool) -> None:
        self.disconnected = disconnected

    def peer_disconnected(self) -> bool:
        return self.disconnected


def session(*disconnected: bool, is_streaming: bool = False, end: SessionEnd | None = None) -> StreamSession:
    record: Any = SimpleNamespace(streaming=is_streaming)
    return StreamSession(
        "a",
        "farm",
        RetainedRequest(b"", "yard", True, False),
        0,
        100.0,
        record=record,
        end=end,
        followers={Follower(each) for each in disconnected},
    )


@pytest.mark.parametrize(
    ("followed", "expected"),
    [
        (session(True), True),
        (session(True, True), True),
        (session(True, False), False),
        (session(False), False),
        (session(True, is_streaming=True), False),  # it continues, and can be resumed
        (session(True, end=SessionEnd.SERVED), False),
        (session(), False),  # the client's connection is not yet added
    ],
    ids="left both-left one-left stays begun ended nobody-yet".split(),
)
def test_client_is_disconnected_once_all_followers_left_before_the_stream(
    followed: StreamSession, expected: bool
) -> None:
    assert SessionSink(followed).is_disconnected() is expected


def test_no_decode_is_sent_for_chat_client_that_disconnected_during_prefill(node: Node) -> None:
    for _ in range(4):
        client = node.chat(CHAT_REQUEST)
        call = node.reader[0].next()
        node.process.send_signal(signal.SIGSTOP)  # so that it sees both events at once
        call.read()
        client.close()
        node.process.send_signal(signal.SIGCONT)
        assert node.logged("request_ended")["how"] == "gone"
    assert not [call for call in node.writer[0].seen if call.method == "POST"]
