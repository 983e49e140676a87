"""Connections at rest: woken, closed in time, never at the cost of a request."""

from __future__ import annotations

import resource
import socket
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.loopback import WAIT_S, Node, take

READY = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"


@pytest.fixture
def node(tmp_path: Path) -> Iterator[Node]:
    with Node(tmp_path, sockets=4096) as each:
        yield each


def answer(sock: socket.socket, whole: bytes = b'"ready":true}') -> bytes:
    """What comes until the answer is whole, or the connection ends."""
    told = b""
    while whole not in told and (data := sock.recv(4096)):
        told += data
    return told


def ends(sock: socket.socket) -> bool:
    """Wait until the other side closes it."""
    try:
        return not sock.recv(1)
    except ConnectionResetError:
        return True


def test_idle_connection_is_activated_by_request_and_by_partial_head(node: Node) -> None:
    with node.connect() as sock:
        for pause_s in (0.0, 0.8, 1.2):  # kept active, parked, parked again
            time.sleep(pause_s)
            sock.sendall(READY[:20])
            sock.sendall(READY[20:])
            assert answer(sock).startswith(b"HTTP/1.1 200")
        time.sleep(0.8)
        sock.sendall(READY[:9])
        time.sleep(0.7)  # half a head is no rest
        sock.sendall(READY[9:] + READY)
        assert answer(sock).startswith(b"HTTP/1.1 200")


def test_pipelined_requests_on_idle_connection_are_all_answered(node: Node) -> None:
    with node.connect() as sock:
        sock.sendall(READY)
        assert answer(sock)
        time.sleep(0.9)
        sock.sendall(READY * 3)
        told = b""
        while told.count(b'"ready":true}') < 3:
            told += sock.recv(4096)
        assert told.count(b"HTTP/1.1 200") == 3


def test_thousands_of_silent_connections_time_out_without_delaying_others(node: Node) -> None:
    silent = [node.connect() for _ in range(1500)]
    with node.connect() as sock:
        sock.sendall(READY)
        assert answer(sock).startswith(b"HTTP/1.1 200")
    client = node.post("a1")
    node.reader[0].next().read()
    node.writer[0].next().serve("ok")
    assert take(client).status == 200
    assert all(ends(sock) for sock in silent)
    for sock in silent:
        sock.close()


def test_request_crossing_idle_close_is_answered_or_never_read(node: Node) -> None:
    """Sent at every moment round the keep-alive's end: none is read and left without an answer."""
    socks = [node.connect() for _ in range(120)]
    for sock in socks:
        sock.sendall(READY)
        assert answer(sock)
    began = time.monotonic()
    answered = closed = 0
    for number, sock in enumerate(socks):
        at = began + 1.7 + number * 0.006
        time.sleep(max(0.0, at - time.monotonic()))
        try:
            sock.sendall(READY)
            told = answer(sock)
        except (BrokenPipeError, ConnectionResetError):
            told = b""
        answered += told.startswith(b"HTTP/1.1 200") and told.endswith(b"}")
        closed += told == b""
        sock.close()
    assert answered + closed == len(socks) and answered > 0


def test_flood_is_evicted_before_connection_with_request(tmp_path: Path) -> None:
    with Node(tmp_path, sockets=128) as node:  # 28 connections of clients, and three more
        asked = node.connect()
        asked.sendall(READY)
        assert answer(asked)
        flood = [node.connect() for _ in range(60)]
        asked.sendall(READY)
        assert answer(asked).startswith(b"HTTP/1.1 200")
        with node.connect() as new:
            new.sendall(READY)
            assert answer(new).startswith(b"HTTP/1.1 200")
        for sock in (asked, *flood):
            sock.close()


def test_exhausted_descriptors_evict_idle_connections(tmp_path: Path) -> None:
    with Node(tmp_path, sockets=4096) as node:
        limits = resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (120, limits[1]))
        flood = [node.connect() for _ in range(300)]
        assert node.logged("idle_connections_evicted")
        with node.connect() as new:
            new.sendall(READY)
            assert answer(new).startswith(b"HTTP/1.1 200")
        for sock in flood:
            sock.close()


def test_shutdown_with_thousands_of_idle_connections_ends_in_time(node: Node) -> None:
    socks = [node.connect() for _ in range(1500)]
    for sock in socks[:200]:
        sock.sendall(READY)
        assert answer(sock)
    node.process.terminate()
    assert node.process.wait(WAIT_S) == 0
    assert all(ends(sock) for sock in socks)
    for sock in socks:
        sock.close()


DOORS = """enabled = true
keep_alive_s = 3.0
jitter = 0.0
[[rules]]
networks = ["127.0.9.0/24"]
deny = true
[[rules]]
networks = ["127.0.8.0/24"]
most_each = 2
keep_alive_s = 60.0
"""


def test_keep_alive_and_connection_limits_by_network(tmp_path: Path) -> None:
    with Node(tmp_path, files={"doors.toml": DOORS}) as node:

        def come(source: str) -> socket.socket:
            return socket.create_connection(node.address(), WAIT_S, source_address=(source, 0))

        with come("127.0.0.1") as sock, come("127.0.8.1") as long:
            for each, told in ((sock, b"keep-alive: timeout=3"), (long, b"keep-alive: timeout=60")):
                each.sendall(READY)
                assert told in answer(each).lower()
            began = time.monotonic()
            assert ends(sock) and 2.5 < time.monotonic() - began < 8
            long.sendall(READY)
            assert answer(long).startswith(b"HTTP/1.1 200")
            assert ends(come("127.0.9.1")) and node.logged("connection_denied")["why"] == "denied"
            with come("127.0.8.1") as second:
                second.sendall(READY)
                assert answer(second).startswith(b"HTTP/1.1 200")
                assert ends(come("127.0.8.1")) and node.logged("connection_denied")["why"] == "most_each"


def test_simultaneous_requests_are_all_answered_and_slow_sender_is_closed(tmp_path: Path) -> None:
    with Node(tmp_path, sockets=8192, files={"doors.toml": "enabled = true\nkeep_alive_s = 60.0\n"}) as node:
        socks = [node.connect() for _ in range(500)]
        for sock in socks:
            sock.sendall(READY)
            assert answer(sock)
        time.sleep(1.0)  # all are parked
        for sock in socks:
            sock.sendall(READY)
        with node.connect() as other:
            other.sendall(READY)
            assert answer(other).startswith(b"HTTP/1.1 200")
        assert all(answer(sock).startswith(b"HTTP/1.1 200") for sock in socks)
        for sock in socks:
            sock.close()
        with node.connect() as drip:  # a byte now and then keeps nobody's place for long
            told = b""
            for byte in READY[:8]:
                drip.sendall(bytes([byte]))
                time.sleep(0.4)
            while data := drip.recv(4096):
                told += data
            assert told.startswith(b"HTTP/1.1 408")
