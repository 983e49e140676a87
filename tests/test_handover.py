"""Replacement of the process: listening sockets are handed over, and both processes act as one router."""

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


def start_successor(node: Node) -> Process:
    """Start a successor, and wait until it has notified its predecessor that it serves."""
    new = node.successor()
    node.logged("successor_started_serving")
    return new


def serve_request(node: Node, name: str) -> int:
    """Send one request on a new connection and serve it; returns the status."""
    client = node.post(name)
    node.reader[0].next().read()
    node.writer[0].next().serve("x")
    return take(client).status


def send_request(client: http.client.HTTPConnection, name: str) -> None:
    """Send one request on the given connection."""
    headers = {"X-Call-Id": name, "X-Call-Class": "query", "X-Caller": "farm", "X-Budget-Ms": "4800"}
    client.request("POST", "/v1/chat/completions", BODY, headers)


def test_the_successor_accepts_connections_and_the_predecessor_completes_its_requests(node: Node) -> None:
    running = node.post("a1", X_Call_Class="booking", X_Budget_Ms="60000")  # waits for its decode server
    node.reader[0].next().read()
    call = node.writer[0].next()
    new = start_successor(node)
    assert new.listening["platform"] == node.listening["platform"]
    assert serve_request(node, "b1") == 200
    assert new.stats()["relay.answered.query"] == "1|c" and node.stats()["relay.current"] == "1|g"
    node.process.send_signal(signal.SIGTERM)
    call.serve("x")
    answer = take(running)
    assert answer.status == 200 and answer.headers["connection"] == "close"
    assert node.process.wait(WAIT_S) == 0
    assert new.logged("predecessor_ended") and serve_request(node, "b2") == 200


def test_a_persistent_connection_closes_after_its_next_response(node: Node) -> None:
    client = node.client()
    client.request("GET", "/ready")
    assert "connection" not in take(client).headers
    start_successor(node)
    send_request(client, "a1")
    node.reader[0].next().read()
    node.writer[0].next().serve("x")
    answer = take(client)
    assert answer.status == 200 and answer.headers["connection"] == "close"


def test_connections_in_the_backlog_are_accepted_by_the_successor(node: Node) -> None:
    """The predecessor is stopped by SIGSTOP while connections arrive in the shared backlog."""
    new = node.successor()
    node.process.send_signal(signal.SIGSTOP)
    clients = [node.post(f"a{number}") for number in range(3)]
    for _ in clients:
        node.reader[0].next().read()
        node.writer[0].next().serve("x")
    assert [take(client).status for client in clients] == [200] * 3
    assert new.stats()["relay.answered.query"] == "3|c"


@pytest.mark.parametrize("at", ["old", "new"])
def test_a_request_open_in_one_process_is_a_duplicate_in_the_other(node: Node, at: str) -> None:
    persistent = node.client()
    persistent.request("GET", "/ready")
    take(persistent)
    start_successor(node)
    if at == "old":
        send_request(persistent, "a1")
        call = node.reader[0].next()  # the request was accepted, and the other process notified
        first, second = persistent, node.post("a1")
    else:
        first, second = node.post("a1"), persistent
        call = node.reader[0].next()
        send_request(second, "a1")
    answer = take(second)
    assert answer.status == 400 and b"open already" in answer.body
    call.read()
    node.writer[0].next().serve("x")
    assert take(first).status == 200


def test_the_predecessor_accepts_again_after_its_successor_was_killed(node: Node) -> None:
    new = start_successor(node)
    new.kill()
    assert node.logged("successor_ended")["served"] is True
    assert serve_request(node, "a1") == 200
    second_successor = start_successor(node)
    assert second_successor.listening["platform"] == node.listening["platform"]


@pytest.mark.parametrize("how", [signal.SIGKILL, signal.SIGSTOP])
def test_a_start_succeeds_with_a_missing_or_hung_predecessor(node: Node, how: signal.Signals) -> None:
    node.configure(listen=node.listening["platform"])
    node.process.send_signal(how)
    if how == signal.SIGKILL:
        node.process.wait()
    new = node.successor()
    assert new.listening["platform"] == node.listening["platform"]


@pytest.mark.parametrize("called", ["old", "new"])
def test_an_operator_override_at_one_process_applies_to_both(node: Node, called: str) -> None:
    new = start_successor(node)
    one, other = (node, new) if called == "old" else (new, node)
    assert one.call("POST", "/instances/r0/maint").status == 200
    assert other.logged("server_override_changed")["out"] is True
    assert take(node.post("a1")).status == 503
    assert other.call("POST", "/instances/r0/ready").status == 200
    assert (
        one.logged("server_override_changed")["out"] is True
        and one.logged("server_override_changed")["out"] is False
    )


def test_two_processes_divide_the_limits(node: Node) -> None:
    new = start_successor(node)
    descriptors = f"/proc/{new.process.pid}/fd"
    before, max_opened, closed = len(os.listdir(descriptors)), 0, 0
    with contextlib.ExitStack() as stack:
        clients = [stack.enter_context(socket.create_connection(new.address())) for _ in range(90)]
        end = time.monotonic() + WAIT_S
        while (
            closed < len(clients) - 45 and time.monotonic() < end
        ):  # of 256 descriptors each process gets 37 for clients
            closed = len(select.select(clients, [], [], 0)[0])
            max_opened = max(max_opened, len(os.listdir(descriptors)) - before)
    assert 20 < max_opened < 45


def test_an_ended_watch_does_not_delay_the_successor(node: Node) -> None:
    """A successor accepts once the list is received or timed out; until then its predecessor does."""
    started_s = time.monotonic()
    new = node.successor()
    assert new.stats()["relay.cluster_size"] == "2|g" and time.monotonic() - started_s < WAIT_S
    # sent to each watch that begins from now on
    node.initial_listing = lambda node: json.dumps(node.listing(8))
    while not node.watches.empty():  # a watch without events may have been closed for the next one
        with contextlib.suppress(OSError):
            node.watches.get().chunk(json.dumps(node.listing(8)) + "\n")
    assert new.logged("endpoint_list_received")["form"] == "full"


def test_the_successor_loads_the_snapshot_of_its_predecessor(node: Node) -> None:
    clients = [node.post(name, X_Budget_Ms="60000") for name in ("a1", "a2")]
    for _ in range(4):  # each request is attempted twice at the server
        node.reader[0].next().drop()
    assert [take(client).status for client in clients] == [503, 503]
    assert node.stats()["relay.cluster_unhealthy"] == "1|g"
    assert start_successor(node).stats()["relay.cluster_unhealthy"] == "1|g"
