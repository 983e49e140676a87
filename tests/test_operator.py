"""The operators' address: what it answers, and that no client can crowd it."""

import contextlib
import fcntl
import json
import signal
import socket
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from tests.loopback import WAIT_S, Node, take


@pytest.fixture
def node(tmp_path: Path) -> Iterator[Node]:
    with Node(tmp_path, operator=True) as node:
        yield node


def until(what: Callable[[], bool]) -> None:
    """Wait until that holds."""
    end = time.monotonic() + WAIT_S
    while not what():
        assert time.monotonic() < end


def test_healthcheck_says_yes_once_the_list_is_heard_and_no_after_a_stop(node: Node) -> None:
    node.watches.get(timeout=WAIT_S).chunk("\n")
    until(lambda: node.call("GET", "/healthcheck").status == 200)
    client = node.post("a1")  # keeps it from ending
    node.reader[0].next()
    node.process.send_signal(signal.SIGTERM)
    until(lambda: node.call("GET", "/healthcheck").status == 503)
    client.close()


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("POST", "/healthcheck", 405), ("POST", "/stats", 405), ("GET", "/", 404), ("GET", "/ready", 404)],
)
def test_what_is_no_call_is_a_no(node: Node, method: str, path: str, status: int) -> None:
    assert node.call(method, path).status == status


def test_a_call_ends_its_connection(node: Node) -> None:
    assert node.call("GET", "/stats").headers["connection"] == "close"


def test_figures_count_where_each_thing_ends(node: Node) -> None:
    zero = {"relay.sends": "0|c", "relay.current": "0|g", "relay.cluster_size": "2|g"}
    zero |= {"relay.cluster_unhealthy": "0|g"}
    for how in ("answered", "deferred", "errored"):
        zero |= {f"relay.{how}.query": "0|c", f"relay.{how}.booking": "0|c"}
    assert node.figures() == zero
    client = node.post("a1")
    reader = node.reader[0].next()
    assert node.figures() == zero | {"relay.sends": "1|c", "relay.current": "1|g"}
    reader.read()
    node.writer[0].next().serve("x")
    take(client)
    one = zero | {"relay.sends": "2|c", "relay.answered.query": "1|c"}
    assert node.figures() == one
    client = node.post("a2", X_Call_Class="booking")
    node.reader[0].next().read()
    node.writer[0].next().answer(500)
    assert take(client).status == 500
    assert node.figures() == one | {"relay.sends": "4|c", "relay.errored.booking": "1|c"}
    client = node.post("a3", X_Budget_Ms="300")
    node.reader[0].next()
    assert take(client).status == 503
    figures = node.figures()
    assert figures["relay.deferred.query"] == "1|c" and figures["relay.current"] == "0|g"


def test_who_is_turned_away_at_the_door_counts_as_refused(tmp_path: Path) -> None:
    with Node(tmp_path, operator=True, sockets=104) as node, contextlib.ExitStack() as stack:  # 7 clients
        busy = [stack.enter_context(contextlib.closing(node.post(f"a{n}"))) for n in range(7)]
        for _ in busy:
            node.reader[0].next()
        answer = take(node.post("b1", X_Call_Class="booking"))
        assert answer.status == 503 and b"too many connections" in answer.body
        assert node.figures()["relay.deferred.booking"] == "1|c"


def test_no_client_takes_the_operators_connections(node: Node) -> None:
    with contextlib.ExitStack() as stack:
        for _ in range(300):  # past all that the limit on descriptors lets in
            client = stack.enter_context(socket.create_connection(node.address()))
            with contextlib.suppress(OSError):
                client.sendall(b"POST /v1/chat")
        assert node.call("GET", "/stats").status == 200


def test_calls_are_answered_beside_half_ones(node: Node) -> None:
    with contextlib.ExitStack() as stack:
        halves = [stack.enter_context(socket.create_connection(node.address("operator"))) for _ in range(60)]
        for half in halves:
            half.sendall(b"GET /stats HT")
        begun = time.monotonic()
        assert node.call("GET", "/stats").status == 200
        assert time.monotonic() - begun < 1
        halves[-1].settimeout(WAIT_S)
        assert halves[-1].recv(100).startswith(b"HTTP/1.1 408")  # it has a time of its own
        assert time.monotonic() - begun < 2


def test_an_instance_out_by_hand_gets_nothing_whatever_the_list_says(tmp_path: Path) -> None:
    with Node(tmp_path, operator=True, writers=2) as node:
        for _ in range(2):  # twice is the same as once
            assert node.call("POST", "/instances/w0/maint").status == 200
        assert node.figures()["relay.cluster_unhealthy"] == "1|g"
        node.watches.get(timeout=WAIT_S).chunk(json.dumps(node.listing(8)) + "\n")
        node.logged("endpoint_list_received")
        for number in range(8):
            client = node.post(f"a{number}")
            node.reader[0].next().read()
            node.writer[1].next().serve("x")
            assert take(client).status == 200
        assert node.call("POST", "/instances/w0/ready").status == 200
        assert node.figures()["relay.cluster_unhealthy"] == "0|g"
        client = node.post("b1")
        node.reader[0].next().read()
        node.writer[0].next().serve("x")  # called back, it is used at once
        assert take(client).status == 200


def test_an_instance_stays_out_across_a_restart(tmp_path: Path) -> None:
    with Node(tmp_path, operator=True) as node:
        assert node.call("POST", "/instances/r0/maint").status == 200
        node.process.kill()
    with Node(tmp_path, operator=True) as node:
        assert take(node.post("a1")).status == 503
        node.call("POST", "/instances/r0/ready")
        client = node.post("a2")
        node.reader[0].next().read()
        node.writer[0].next().serve("x")
        assert take(client).status == 200


@pytest.mark.parametrize("name", ["nobody", "r0%2Fx", "r0/x"])
@pytest.mark.parametrize("what", ["maint", "ready"])
def test_an_instance_that_nobody_has_is_a_no(node: Node, name: str, what: str) -> None:
    assert node.call("POST", f"/instances/{name}/{what}").status == 404


def test_a_call_that_can_not_be_written_down_is_a_no(node: Node) -> None:
    lock = next(iter(node.folder.glob("*.lock")), node.folder / "ringledge-n1.out.lock")
    with lock.open("ab") as file:  # another process never lets go
        fcntl.flock(file, fcntl.LOCK_EX)
        assert node.call("POST", "/instances/r0/maint").status == 503
    assert node.call("POST", "/instances/r0/maint").status == 200
