"""When nobody follows a chat answer any more, as it is asked in the turn in which an attempt is written."""

from __future__ import annotations

import signal
from types import SimpleNamespace
from typing import Any

import pytest

from ringledge.wire.clients.chat.answer import SessionSink
from ringledge.wire.clients.chat.stream_sessions import SessionEnd, StreamSession
from tests.loopback import Node
from tests.wire.clients.chat.helpers import HELLO


class Client:
    """A connection that follows an answer."""

    def __init__(self, left: bool) -> None:
        self.left = left

    def peer_disconnected(self) -> bool:
        return self.left


def session(*left: bool, began: bool = False, end: SessionEnd | None = None) -> StreamSession:
    record: Any = SimpleNamespace(streaming=began)
    return StreamSession("a", {}, 0, 100.0, record=record, end=end, followers={Client(each) for each in left})


@pytest.mark.parametrize(
    ("told", "gone"),
    [
        (session(True), True),
        (session(True, True), True),
        (session(True, False), False),
        (session(False), False),
        (session(True, began=True), False),  # it runs on, and may be come back for
        (session(True, end=SessionEnd.SERVED), False),
        (session(), False),  # its connection is about to follow it
    ],
    ids="left both-left one-left stays begun ended nobody-yet".split(),
)
def test_a_client_has_gone_once_all_that_follow_an_answer_that_has_not_begun_have(
    told: StreamSession, gone: bool
) -> None:
    assert SessionSink(told).is_disconnected() is gone


def test_nothing_follows_for_a_chat_client_that_left_between_prefill_and_decode(node: Node) -> None:
    for _ in range(4):
        client = node.chat(HELLO)
        call = node.reader[0].next()
        node.process.send_signal(signal.SIGSTOP)  # both are there when it goes on
        call.read()
        client.close()
        node.process.send_signal(signal.SIGCONT)
        assert node.logged("request_ended")["how"] == "gone"
    assert not [call for call in node.writer[0].seen if call.method == "POST"]
