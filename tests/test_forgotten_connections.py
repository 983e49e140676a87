"""Idle upstream connections whose state the network has dropped: data on them is lost without an error.

The server itself works, and new connections to it succeed. To the program, such a connection looks like a
decode server that is slow to answer.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from ringledge.memory.connection_pool import MIN_SAFE_IDLE_S
from tests.loopback import WAIT_S, Call, Node, read, take

MAX_HOLD_S = 0.8  # how long an entry may be held while no attempt of its request has arrived
SLACK_S = 0.4  # delay that the machine which runs the tests may add


@pytest.fixture
def node(tmp_path: Path) -> Iterator[Node]:
    with Node(tmp_path) as node:
        yield node


def open_idle_connection(node: Node) -> Call:
    """Serve a booking, and keep its decode connection idle beyond the age at which it is safe to use."""
    client, call = read(node, "first", X_Call_Class="booking")
    call.serve("x")
    assert take(client).status == 200
    time.sleep(2 * MIN_SAFE_IDLE_S)
    return call


def test_entry_is_released_if_the_decode_of_a_booking_may_not_have_arrived(node: Node) -> None:
    first_call = open_idle_connection(node)
    client, call = read(node, "a1", X_Call_Class="booking")
    prefilled_s = time.monotonic()
    assert call.port == first_call.port  # it was reused, and may be dead
    assert node.deleted.get(timeout=WAIT_S).path.endswith("/a1")
    assert time.monotonic() - prefilled_s < MAX_HOLD_S + SLACK_S
    call.serve("late")  # the request had arrived after all, and its response is forwarded
    assert take(client).status == 200


def test_booking_is_not_sent_again_if_its_decode_may_not_have_arrived(node: Node) -> None:
    open_idle_connection(node)
    client, call = read(node, "a1", X_Call_Class="booking", X_Budget_Ms="1500")
    assert node.deleted.get(timeout=WAIT_S).path.endswith("/a1")
    assert take(client).status == 500
    call.drop()
    assert [each.id for each in node.writer[0].seen if each.method == "POST"] == ["first", "a1"]
