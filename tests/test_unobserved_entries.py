"""Entries that a prefill or a decode has left behind unseen, while the next attempt does not arrive.

A KV cache entry may be held for 500 ms while no attempt of its request is out, and 350 ms more on sockets. A
send that has not arrived is not out: here the next server's connection takes it, and nothing comes back.
"""

from __future__ import annotations

import queue
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from ringledge.memory.connection_pool import MIN_SAFE_IDLE_S
from tests.loopback import WAIT_S, Call, Node, StandIn, take

HELD_S = 0.85
STALL_S = 0.15  # that a conductor may be held up for beside


@pytest.fixture
def node(tmp_path: Path) -> Iterator[Node]:
    with Node(tmp_path, readers=3, writers=2) as node:
        yield node


def next_attempt(servers: list[StandIn]) -> tuple[StandIn, Call]:
    """The next call at any of these servers."""
    until_s = time.monotonic() + WAIT_S
    while time.monotonic() < until_s:
        for server in servers:
            try:
                return server, server.calls.get(timeout=0.005)
            except queue.Empty:
                continue
    raise AssertionError("no server got a call")


def released_after_s(node: Node, since_s: float) -> float:
    """How long after that moment the next release came."""
    assert node.deleted.get(timeout=WAIT_S).path.endswith("/a1")
    return time.monotonic() - since_s


def keep_connections(node: Node) -> None:
    """Have a request served by each decode server, so that each has a trusted idle connection."""
    node.clients = [node.post("first"), node.post("second")]
    for _ in node.clients:
        next_attempt(node.reader)[1].read()
    calls = [next_attempt(node.writer)[1] for _ in node.clients]
    for call in calls:
        call.serve("x")
    assert [take(client).status for client in node.clients] == [200, 200]
    time.sleep(2 * MIN_SAFE_IDLE_S)


def test_entry_of_a_prefill_that_was_reset_is_released_though_the_next_prefill_never_arrives(
    node: Node,
) -> None:
    node.clients = [node.post("a1")]
    next_attempt(node.reader)[1].reset()
    reset_s = time.monotonic()
    assert released_after_s(node, reset_s) < HELD_S


def test_entry_of_a_prefill_that_timed_out_is_released_though_the_next_prefill_never_arrives(
    node: Node,
) -> None:
    node.clients = [node.post("a1")]
    call = next_attempt(node.reader)[1]
    assert call.closed()  # the decisions have given it up
    ended_s = time.monotonic()
    call.drop()
    assert released_after_s(node, ended_s) < HELD_S


def test_entry_is_released_again_once_the_decode_that_waited_for_it_has_ended(node: Node) -> None:
    keep_connections(node)
    node.clients = [node.post("a1")]
    next_attempt(node.reader)[1].read()
    call = next_attempt(node.writer)[1]
    released_after_s(node, time.monotonic())  # in vain: the entry is kept for the decode that waits for it
    assert call.closed()
    ended_s = time.monotonic()
    call.drop()
    assert released_after_s(node, ended_s) < HELD_S


@pytest.mark.parametrize("status", [503, 500])
def test_entry_is_released_again_once_the_decode_that_waited_for_it_was_rejected(
    node: Node, status: int
) -> None:
    keep_connections(node)
    node.clients = [node.post("a1")]
    next_attempt(node.reader)[1].read()
    call = next_attempt(node.writer)[1]
    released_after_s(node, time.monotonic())  # in vain: the entry is kept for the decode that waits for it
    node.logged("release_ended")
    call.answer(status, X_Rejected="1")
    next_attempt(node.reader)[1].read()
    next_attempt(node.writer)[1].serve("x")
    assert take(node.clients[0]).status == 200
    assert [node.deleted.get(timeout=WAIT_S).path.rpartition("/")[2], node.deleted.qsize()] == ["a1", 0]


def test_entry_is_released_in_time_over_two_decodes_that_never_arrive(node: Node) -> None:
    node.clients = [node.post("a1")]
    next_attempt(node.reader)[1].read()
    prefilled_s = time.monotonic()
    assert released_after_s(node, prefilled_s) < HELD_S
    assert next_attempt(node.writer)


def test_release_reaches_a_third_server_in_time_though_two_do_not_answer(node: Node) -> None:
    for server in [*node.reader, *node.writer]:
        server.deaf = True
    node.clients = [node.post("a1")]
    next_attempt(node.reader)[1].read()
    prefilled_s = time.monotonic()
    next_attempt(node.writer)
    for _ in range(3):
        assert next_attempt([*node.reader, *node.writer])[1].method == "DELETE"
    reached_s = time.monotonic() - prefilled_s
    assert reached_s < HELD_S - STALL_S


def test_server_that_hung_is_told_to_release_soon_after_it_goes_on(node: Node) -> None:
    node.clients = [node.post("a1", X_Call_Class="booking")]
    server, call = next_attempt(node.reader)
    server.deaf = True
    assert call.closed()  # the decisions have given it up
    call.drop()
    others = [each for each in node.reader if each is not server]
    next_attempt(others)  # never arrives either
    server.deaf = False
    goes_on_s = time.monotonic()
    while time.monotonic() - goes_on_s < HELD_S:
        released = [each for each in server.seen if each.method == "DELETE" and each.done.is_set()]
        if released:
            break
        time.sleep(0.01)
    assert [each.id or each.path.rpartition("/")[2] for each in released] == ["a1"]
