"""Idle clients that use all descriptors they may do not prevent connections to discovery and servers."""

from __future__ import annotations

import json
import queue
import selectors
import signal
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

import pytest

from tests.loopback import WAIT_S, Node, StandIn, take

DESCRIPTORS = 128
IDLE_CLIENTS = 300
EXHAUSTION_EVENTS = {
    "idle_connections_evicted", "accept_failed", "connect_failed", "endpoint_watch_failed",
    "server_sockets_exhausted",
}  # fmt: skip


@contextmanager
def reconnecting_idle_clients(node: Node) -> Iterator[threading.Event]:
    """Keep hundreds of idle connections open, each reopened as soon as it is closed.

    Yields an event that is set after more closed connections were reopened than there are clients.
    """
    stop, saturated = threading.Event(), threading.Event()

    def open_connection(selector: selectors.BaseSelector) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(node.address())
        selector.register(sock, selectors.EVENT_READ)

    def keep_connections_open() -> None:
        with selectors.DefaultSelector() as selector:
            for _ in range(IDLE_CLIENTS):
                open_connection(selector)
            reconnect_count = 0
            while not stop.is_set():
                for key, _ in selector.select(0.05):
                    selector.unregister(key.fileobj)
                    key.fileobj.close()  # type: ignore[union-attr]
                    open_connection(selector)
                    reconnect_count += 1
                if reconnect_count > IDLE_CLIENTS:
                    saturated.set()
            for key in list(selector.get_map().values()):
                key.fileobj.close()  # type: ignore[union-attr]

    thread = threading.Thread(target=keep_connections_open)
    thread.start()
    try:
        yield saturated
    finally:
        stop.set()
        thread.join()


def is_request_served(node: Node) -> bool:
    """Whether a request is served; it is retried because its connection may be evicted unread."""
    for number in range(200):
        with suppress(OSError):
            client = node.post(f"a{number}")
            with suppress(queue.Empty):
                node.reader[0].calls.get(timeout=0.2).read()
                node.writer[0].next().serve("x")
            return take(client).status == 200
    return False


@pytest.mark.parametrize("sockets", [DESCRIPTORS, 4096], ids=["as many as settings", "fewer"])
def test_discovery_and_servers_are_reachable_while_idle_clients_use_all_their_descriptors(
    tmp_path: Path, sockets: int
) -> None:
    with (
        Node(tmp_path, sockets=sockets, descriptors=DESCRIPTORS) as node,
        reconnecting_idle_clients(node) as saturated,
    ):
        assert saturated.wait(WAIT_S)
        new_discovery = StandIn()  # requires a new connection, as after an outage of discovery
        node.configure(discovery=new_discovery.address)
        node.process.send_signal(signal.SIGHUP)
        new_discovery.next().begin().chunk(json.dumps(node.listing(9)) + "\n")
        events = list[str]()
        while node.logged("endpoint_list_received")["index"] != 9:
            events += [line["event"] for line in node.skipped_lines]
        events += [line["event"] for line in node.skipped_lines]
        assert is_request_served(node)
        node.logged("request_ended")
        events += [line["event"] for line in node.skipped_lines]
        assert not EXHAUSTION_EVENTS & set(events)


def test_shutdown_ends_while_clients_keep_reconnecting(node: Node) -> None:
    """The shutdown used to wait for each new connection as well, until the process was killed."""
    with reconnecting_idle_clients(node) as saturated:
        assert saturated.wait(WAIT_S)
        node.process.terminate()
        assert node.process.wait(WAIT_S) == 0
