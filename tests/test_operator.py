"""The operators' front: its responses, and that clients cannot use up its connections."""

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


def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until the condition holds."""
    deadline_s = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline_s


def test_healthcheck_succeeds_once_the_list_is_received_and_fails_after_sigterm(node: Node) -> None:
    node.watches.get(timeout=WAIT_S).chunk("\n")
    wait_until(lambda: node.call("GET", "/healthcheck").status == 200)
    client = node.post("a1")  # delays the end of the shutdown
    node.reader[0].next()
    node.process.send_signal(signal.SIGTERM)
    wait_until(lambda: node.call("GET", "/healthcheck").status == 503)
    client.close()


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("POST", "/healthcheck", 405), ("POST", "/stats", 405), ("GET", "/", 404), ("GET", "/ready", 404)],
)
def test_an_unknown_path_or_method_is_rejected(node: Node, method: str, path: str, status: int) -> None:
    assert node.call(method, path).status == status


def test_the_connection_closes_after_one_request(node: Node) -> None:
    assert node.call("GET", "/stats").headers["connection"] == "close"


def test_stats_count_requests_by_outcome(node: Node) -> None:
    expected = {"relay.sends": "0|c", "relay.current": "0|g", "relay.cluster_size": "2|g"}
    expected |= {"relay.cluster_unhealthy": "0|g"}
    for how in ("answered", "deferred", "errored"):
        expected |= {f"relay.{how}.query": "0|c", f"relay.{how}.booking": "0|c"}
    assert node.stats() == expected
    client = node.post("a1")
    reader = node.reader[0].next()
    assert node.stats() == expected | {"relay.sends": "1|c", "relay.current": "1|g"}
    reader.read()
    node.writer[0].next().serve("x")
    take(client)
    after_one = expected | {"relay.sends": "2|c", "relay.answered.query": "1|c"}
    assert node.stats() == after_one
    client = node.post("a2", X_Call_Class="booking")
    node.reader[0].next().read()
    node.writer[0].next().answer(500)
    assert take(client).status == 500
    assert node.stats() == after_one | {"relay.sends": "4|c", "relay.errored.booking": "1|c"}
    client = node.post("a3", X_Budget_Ms="300")
    node.reader[0].next()
    assert take(client).status == 503
    stats = node.stats()
    assert stats["relay.deferred.query"] == "1|c" and stats["relay.current"] == "0|g"


def test_a_request_rejected_for_too_many_connections_counts_as_deferred(tmp_path: Path) -> None:
    # 104 sockets leave room for 7 clients.
    with Node(tmp_path, operator=True, sockets=104) as node, contextlib.ExitStack() as stack:
        open_requests = [stack.enter_context(contextlib.closing(node.post(f"a{n}"))) for n in range(7)]
        for _ in open_requests:
            node.reader[0].next()
        answer = take(node.post("b1", X_Call_Class="booking"))
        assert answer.status == 503 and b"too many connections" in answer.body
        assert node.stats()["relay.deferred.booking"] == "1|c"


def test_clients_cannot_use_up_the_operators_connections(node: Node) -> None:
    with contextlib.ExitStack() as stack:
        for _ in range(300):  # more than the limit on descriptors allows
            client = stack.enter_context(socket.create_connection(node.address()))
            with contextlib.suppress(OSError):
                client.sendall(b"POST /v1/chat")
        assert node.call("GET", "/stats").status == 200


def test_requests_are_answered_beside_incomplete_ones(node: Node) -> None:
    with contextlib.ExitStack() as stack:
        incomplete = [
            stack.enter_context(socket.create_connection(node.address("operator"))) for _ in range(60)
        ]
        for connection in incomplete:
            connection.sendall(b"GET /stats HT")
        started_s = time.monotonic()
        assert node.call("GET", "/stats").status == 200
        assert time.monotonic() - started_s < 1
        incomplete[-1].settimeout(WAIT_S)
        assert incomplete[-1].recv(100).startswith(b"HTTP/1.1 408")  # each connection has its own timeout
        assert time.monotonic() - started_s < 2


def test_a_server_in_maintenance_gets_no_requests_even_after_a_new_list(tmp_path: Path) -> None:
    with Node(tmp_path, operator=True, writers=2) as node:
        for _ in range(2):  # repeating the override changes nothing
            assert node.call("POST", "/instances/w0/maint").status == 200
        assert node.stats()["relay.cluster_unhealthy"] == "1|g"
        node.watches.get(timeout=WAIT_S).chunk(json.dumps(node.listing(8)) + "\n")
        node.logged("endpoint_list_received")
        for number in range(8):
            client = node.post(f"a{number}")
            node.reader[0].next().read()
            node.writer[1].next().serve("x")
            assert take(client).status == 200
        assert node.call("POST", "/instances/w0/ready").status == 200
        assert node.stats()["relay.cluster_unhealthy"] == "0|g"
        client = node.post("b1")
        node.reader[0].next().read()
        node.writer[0].next().serve("x")  # used at once after the override is removed
        assert take(client).status == 200


def test_a_server_stays_in_maintenance_across_a_restart(tmp_path: Path) -> None:
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
@pytest.mark.parametrize("action", ["maint", "ready"])
def test_an_override_of_an_unknown_server_is_rejected(node: Node, name: str, action: str) -> None:
    assert node.call("POST", f"/instances/{name}/{action}").status == 404


def test_an_override_that_cannot_be_stored_fails(node: Node) -> None:
    lock = next(iter(node.folder.glob("*.lock")), node.folder / "ringledge-n1.out.lock")
    with lock.open("ab") as file:  # held by another process
        fcntl.flock(file, fcntl.LOCK_EX)
        assert node.call("POST", "/instances/r0/maint").status == 503
    assert node.call("POST", "/instances/r0/maint").status == 200
