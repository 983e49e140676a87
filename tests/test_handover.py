"""Replacing the process: the door is handed over, and both processes keep the rules as one."""

import contextlib
import http.client
import json
import os
import select
import signal
import socket
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.loopback import WAIT_S, Node, Process, take

BODY = b'{"model":"chat","stream":true,"messages":[]}'


@pytest.fixture
def node(tmp_path: Path) -> Iterator[Node]:
    with Node(tmp_path, operator=True) as node:
        yield node


def upgrade(node: Node) -> Process:
    """Start a successor and wait until the old process knows that it serves."""
    new = node.successor()
    node.logged("successor_serves")
    return new


def serve(node: Node, name: str) -> int:
    """One request from a new connection; give its status."""
    client = node.post(name)
    node.reader[0].next().read()
    node.writer[0].next().serve("x")
    return take(client).status


def again(client: http.client.HTTPConnection, name: str) -> None:
    """Another request on the same connection."""
    told = {"X-Call-Id": name, "X-Call-Class": "query", "X-Caller": "farm", "X-Budget-Ms": "4800"}
    client.request("POST", "/v1/chat/completions", BODY, told)


def test_the_successor_gets_new_connections_and_the_old_one_finishes(node: Node) -> None:
    running = node.post("a1", X_Call_Class="booking", X_Budget_Ms="60000")  # it waits at its writer
    node.reader[0].next().read()
    call = node.writer[0].next()
    new = upgrade(node)
    assert new.listening["platform"] == node.listening["platform"]
    assert serve(node, "b1") == 200
    assert new.figures()["relay.answered.query"] == "1|c" and node.figures()["relay.current"] == "1|g"
    node.process.send_signal(signal.SIGTERM)
    call.serve("x")
    answer = take(running)
    assert answer.status == 200 and answer.headers["connection"] == "close"
    assert node.process.wait(WAIT_S) == 0
    assert new.logged("predecessor_gone") and serve(node, "b2") == 200


def test_a_kept_connection_ends_with_its_next_answer(node: Node) -> None:
    client = node.client()
    client.request("GET", "/ready")
    assert "connection" not in take(client).headers
    upgrade(node)
    again(client, "a1")
    node.reader[0].next().read()
    node.writer[0].next().serve("x")
    answer = take(client)
    assert answer.status == 200 and answer.headers["connection"] == "close"


def test_what_waits_at_the_door_is_not_lost(node: Node) -> None:
    """The old process stands still with a connection in its queue; the successor takes it from there."""
    new = node.successor()
    node.process.send_signal(signal.SIGSTOP)
    clients = [node.post(f"a{number}") for number in range(3)]
    for _ in clients:
        node.reader[0].next().read()
        node.writer[0].next().serve("x")
    assert [take(client).status for client in clients] == [200] * 3
    assert new.figures()["relay.answered.query"] == "3|c"


@pytest.mark.parametrize("at", ["old", "new"])
def test_a_request_open_at_one_process_is_a_duplicate_at_the_other(node: Node, at: str) -> None:
    kept = node.client()
    kept.request("GET", "/ready")
    take(kept)
    upgrade(node)
    if at == "old":
        again(kept, "a1")
        call = node.reader[0].next()  # it was taken, and the other process told
        first, second = kept, node.post("a1")
    else:
        first, second = node.post("a1"), kept
        call = node.reader[0].next()
        again(second, "a1")
    answer = take(second)
    assert answer.status == 400 and b"open already" in answer.body
    call.read()
    node.writer[0].next().serve("x")
    assert take(first).status == 200


def test_a_successor_that_dies_gives_the_door_back(node: Node) -> None:
    new = upgrade(node)
    new.kill()
    assert node.logged("successor_gone")["served"] is True
    assert serve(node, "a1") == 200
    assert upgrade(node).listening["platform"] == node.listening["platform"]  # and another may come


@pytest.mark.parametrize("how", [signal.SIGKILL, signal.SIGSTOP])
def test_a_missing_or_hung_predecessor_stops_no_start(node: Node, how: signal.Signals) -> None:
    node.configure(listen=node.listening["platform"])
    node.process.send_signal(how)
    if how == signal.SIGKILL:
        node.process.wait()
    new = node.successor()
    assert new.listening["platform"] == node.listening["platform"]


@pytest.mark.parametrize("called", ["old", "new"])
def test_a_call_to_either_process_binds_both(node: Node, called: str) -> None:
    new = upgrade(node)
    one, other = (node, new) if called == "old" else (new, node)
    assert one.call("POST", "/instances/r0/maint").status == 200
    assert other.logged("by_hand")["out"] is True
    assert take(node.post("a1")).status == 503
    assert other.call("POST", "/instances/r0/ready").status == 200
    assert one.logged("by_hand")["out"] is True and one.logged("by_hand")["out"] is False


def test_the_two_divide_the_limits_between_them(node: Node) -> None:
    new = upgrade(node)
    held = f"/proc/{new.process.pid}/fd"
    before, most, closed = len(os.listdir(held)), 0, 0
    host, port = new.listening["platform"].split(":")
    with contextlib.ExitStack() as stack:
        clients = [stack.enter_context(socket.create_connection((host, int(port)))) for _ in range(90)]
        end = time.monotonic() + WAIT_S
        while closed < len(clients) - 45 and time.monotonic() < end:  # of 256 descriptors 37 a process
            closed = len(select.select(clients, [], [], 0)[0])
            most = max(most, len(os.listdir(held)) - before)
    assert 20 < most < 45


def test_an_ended_watch_of_the_old_list_does_not_delay_the_successor(node: Node) -> None:
    """It accepts once the list is received or timed out; until then the old one does."""
    begun = time.monotonic()
    new = node.successor()
    assert new.figures()["relay.cluster_size"] == "2|g" and time.monotonic() - begun < WAIT_S
    node.told = lambda node: json.dumps(node.listing(8))  # to each watch that is asked for from here on
    while not node.watches.empty():  # a watch that told nothing yet was perhaps given up for the next
        with contextlib.suppress(OSError):
            node.watches.get().chunk(json.dumps(node.listing(8)) + "\n")
    assert new.logged("list")["form"] == "full"


def test_the_successor_knows_what_the_old_one_has_learned(node: Node) -> None:
    clients = [node.post(name, X_Budget_Ms="60000") for name in ("a1", "a2")]
    for _ in range(4):  # a request tries one server twice
        node.reader[0].next().drop()
    assert [take(client).status for client in clients] == [503, 503]
    assert node.figures()["relay.cluster_unhealthy"] == "1|g"
    assert upgrade(node).figures()["relay.cluster_unhealthy"] == "1|g"
