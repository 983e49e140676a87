"""A restart with a stale endpoint list in its configuration, while discovery is slow or silent."""

from __future__ import annotations

import json
import socket
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from ringledge.lifecycle.serve import ENDPOINT_LIST_TIMEOUT_S
from tests.loopback import WAIT_S, Call, Node, Process, StandIn
from tests.standins import answer_in_background
from tests.test_client_pace import request

REQUEST_COUNT = 8
SLACK_S = 2.0  # delay that a busy machine may add
POLL_INTERVAL_S = 0.01


@pytest.fixture
def node(tmp_path: Path) -> Iterator[Node]:
    """The program after a kill; its configuration still has the endpoint list of its first start."""
    with Node(tmp_path, readers=2, writers=2) as node:
        node.configure(listen=node.listening["platform"])
        node.kill()
        yield node


class Restart:
    """A new process of the program while it starts."""

    def __init__(self, node: Node, discovery: StandIn) -> None:
        node.configure(discovery=discovery.address)
        self.node, self.process = node, Process()
        node.extra_processes.append(self.process)
        self._began = time.monotonic()
        self._thread = threading.Thread(target=self.process.start, args=(node.folder,), daemon=True)
        self._thread.start()

    def wait_ready(self) -> list[str]:
        """Wait until the process is ready; return the events that it has logged until then."""
        self._thread.join(WAIT_S)
        assert not self._thread.is_alive()
        self.took_s = time.monotonic() - self._began
        return [line["event"] for line in self.process.skipped_lines]

    def open_client(self) -> socket.socket:
        """Connect a client as soon as the process listens at its former address."""
        deadline_s = time.monotonic() + WAIT_S
        while True:
            try:
                return self.node.connect()
            except ConnectionRefusedError:
                assert time.monotonic() < deadline_s
                time.sleep(POLL_INTERVAL_S)

    def send_requests(self) -> list[socket.socket]:
        """Send requests of different sessions, each on its own connection."""
        clients = [self.open_client() for _ in range(REQUEST_COUNT)]
        for number, client in enumerate(clients):
            session = f"{number:016x}".encode()
            client.sendall(request(f"a{number}").replace(b"7f3a9c21e0b4d655", session))
        return clients


def first_listing(node: Node, how: str) -> str:
    """Discovery's endpoint list, by which r1 and w0 may no longer be used."""
    status = "left" if how == "left" else "leaving"
    endpoint_list = node.listing(9, r1=status, w0=status)
    if how == "absent":
        endpoint_list["endpoints"] = [
            each for each in endpoint_list["endpoints"] if each["status"] == "active"
        ]
    endpoint_list["snapshot"] = how != "left"
    return json.dumps(endpoint_list) + "\n"


def all_served_by_remaining_servers(node: Node, clients: list[socket.socket]) -> bool:
    """Whether all requests are served, and none was sent to a server that may no longer be used."""
    answer_in_background(node.reader[0], Call.read)
    answer_in_background(node.writer[1], lambda call: call.serve("x"))
    for client in clients:
        with client:
            if not client.recv(65536).startswith(b"HTTP/1.1 200"):
                return False
    return not (node.reader[1].seen or node.writer[0].seen)


@pytest.mark.parametrize("how", ["leaving", "absent", "left"])
def test_early_requests_wait_for_a_slow_endpoint_list(node: Node, how: str) -> None:
    discovery = StandIn()
    restart = Restart(node, discovery)
    clients = restart.send_requests()
    watch = discovery.next().begin()
    watch.chunk(first_listing(node, how)[:30])  # an incomplete list has no effect
    watch.chunk(first_listing(node, how)[30:])
    assert all_served_by_remaining_servers(node, clients)
    assert "endpoint_list_late" not in restart.wait_ready()
    assert restart.took_s < ENDPOINT_LIST_TIMEOUT_S + SLACK_S


def test_early_requests_wait_for_the_second_discovery_call_if_the_first_is_silent(node: Node) -> None:
    discovery = StandIn()
    restart = Restart(node, discovery)
    clients = restart.send_requests()
    discovery.next()  # accepted but never answered
    discovery.next().begin().chunk(first_listing(node, "leaving"))
    assert all_served_by_remaining_servers(node, clients)
    assert "endpoint_list_late" not in restart.wait_ready()
    assert restart.took_s < ENDPOINT_LIST_TIMEOUT_S + SLACK_S


def test_process_without_discovery_becomes_ready_in_time_and_applies_a_later_endpoint_list(
    node: Node,
) -> None:
    discovery = StandIn()
    restart = Restart(node, discovery)
    assert "endpoint_list_late" in restart.wait_ready()
    assert ENDPOINT_LIST_TIMEOUT_S < restart.took_s < ENDPOINT_LIST_TIMEOUT_S + SLACK_S
    while not discovery.calls.empty():  # calls that were not answered
        call = discovery.next()
    assert call.closed()
    discovery.next().begin().chunk(first_listing(node, "leaving"))
    while restart.process.logged("endpoint_list_received")["index"] != 9:
        pass
    assert all_served_by_remaining_servers(node, restart.send_requests())
