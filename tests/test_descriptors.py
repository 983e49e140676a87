"""Idle clients that fill the descriptors: discovery and servers are still reached."""

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
IDLE = 300
OUT_OF_THEM = {
    "idle_connections_evicted", "accept_failed", "connect_failed", "endpoint_watch_failed",
    "server_sockets_exhausted",
}  # fmt: skip


@contextmanager
def crowd(node: Node) -> Iterator[threading.Event]:
    """Hundreds of connections that never speak, each opened again as soon as it is closed.

    Gives an event that is set once each was opened, and closed ones again.
    """
    over, full = threading.Event(), threading.Event()

    def dial(watched: selectors.BaseSelector) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(node.address())
        watched.register(sock, selectors.EVENT_READ)

    def hold() -> None:
        with selectors.DefaultSelector() as watched:
            for _ in range(IDLE):
                dial(watched)
            again = 0
            while not over.is_set():
                for key, _ in watched.select(0.05):
                    watched.unregister(key.fileobj)
                    key.fileobj.close()  # type: ignore[union-attr]
                    dial(watched)
                    again += 1
                if again > IDLE:
                    full.set()
            for key in list(watched.get_map().values()):
                key.fileobj.close()  # type: ignore[union-attr]

    thread = threading.Thread(target=hold)
    thread.start()
    try:
        yield full
    finally:
        over.set()
        thread.join()


def served(node: Node) -> bool:
    """Whether a request is served; its connection may be closed unread while there are so many."""
    for number in range(200):
        with suppress(OSError):
            client = node.post(f"a{number}")
            with suppress(queue.Empty):
                node.reader[0].calls.get(timeout=0.2).read()
                node.writer[0].next().serve("x")
            return take(client).status == 200
    return False


@pytest.mark.parametrize("sockets", [DESCRIPTORS, 4096], ids=["as many as settings", "fewer"])
def test_discovery_and_servers_are_reached_though_idle_clients_hold_all_they_may(
    tmp_path: Path, sockets: int
) -> None:
    with Node(tmp_path, sockets=sockets, descriptors=DESCRIPTORS) as node, crowd(node) as full:
        assert full.wait(WAIT_S)
        moved = StandIn()  # as after an outage: a new connection to discovery is wanted
        node.configure(discovery=moved.address)
        node.process.send_signal(signal.SIGHUP)
        moved.next().begin().chunk(json.dumps(node.listing(9)) + "\n")
        events = list[str]()
        while node.logged("endpoint_list_received")["index"] != 9:
            events += [line["event"] for line in node.passed]
        events += [line["event"] for line in node.passed]
        assert served(node)
        node.logged("request_ended")
        events += [line["event"] for line in node.passed]
        assert not OUT_OF_THEM & set(events)


def test_a_stop_ends_though_clients_come_again_and_again(node: Node) -> None:
    """Each new connection was one more to wait for, up to the kill."""
    with crowd(node) as full:
        assert full.wait(WAIT_S)
        node.process.terminate()
        assert node.process.wait(WAIT_S) == 0
