"""Idle connections are activated by input and closed in time, without losing a request."""

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


def read_response(sock: socket.socket, end: bytes = b'"ready":true}') -> bytes:
    """Read until the response is complete or the connection ends."""
    received = b""
    while end not in received and (data := sock.recv(4096)):
        received += data
    return received


def wait_for_close(sock: socket.socket) -> bool:
    """Wait until the peer closes the connection; return whether it sent nothing before."""
    try:
        return not sock.recv(1)
    except ConnectionResetError:
        return True


def test_idle_connection_is_activated_by_request_and_by_partial_head(node: Node) -> None:
    with node.connect() as sock:
        for pause_s in (0.0, 0.8, 1.2):  # still active, idle, idle again
            time.sleep(pause_s)
            sock.sendall(READY[:20])
            sock.sendall(READY[20:])
            assert read_response(sock).startswith(b"HTTP/1.1 200")
        time.sleep(0.8)
        sock.sendall(READY[:9])
        time.sleep(0.7)  # longer than a connection without a request stays active
        sock.sendall(READY[9:] + READY)
        assert read_response(sock).startswith(b"HTTP/1.1 200")


def test_pipelined_requests_on_idle_connection_are_all_answered(node: Node) -> None:
    with node.connect() as sock:
        sock.sendall(READY)
        assert read_response(sock)
        time.sleep(0.9)
        sock.sendall(READY * 3)
        received = b""
        while received.count(b'"ready":true}') < 3:
            received += sock.recv(4096)
        assert received.count(b"HTTP/1.1 200") == 3


def test_thousands_of_silent_connections_time_out_without_delaying_others(node: Node) -> None:
    silent = [node.connect() for _ in range(1500)]
    with node.connect() as sock:
        sock.sendall(READY)
        assert read_response(sock).startswith(b"HTTP/1.1 200")
    client = node.post("a1")
    node.reader[0].next().read()
    node.writer[0].next().serve("ok")
    assert take(client).status == 200
    assert all(wait_for_close(sock) for sock in silent)
    for sock in silent:
        sock.close()


def test_request_crossing_idle_close_is_answered_or_never_read(node: Node) -> None:
    """Requests are sent at many times around the keep-alive timeout; none is read but left unanswered."""
    socks = [node.connect() for _ in range(120)]
    for sock in socks:
        sock.sendall(READY)
        assert read_response(sock)
    began = time.monotonic()
    answered = closed = 0
    for number, sock in enumerate(socks):
        send_s = began + 1.7 + number * 0.006
        time.sleep(max(0.0, send_s - time.monotonic()))
        try:
            sock.sendall(READY)
            received = read_response(sock)
        except (BrokenPipeError, ConnectionResetError):
            received = b""
        answered += received.startswith(b"HTTP/1.1 200") and received.endswith(b"}")
        closed += received == b""
        sock.close()
    assert answered + closed == len(socks) and answered > 0


def test_flood_is_evicted_before_connection_with_request(tmp_path: Path) -> None:
    with Node(tmp_path, sockets=128) as node:  # 28 client connections, and three more to be rejected
        client = node.connect()
        client.sendall(READY)
        assert read_response(client)
        flood = [node.connect() for _ in range(60)]
        client.sendall(READY)
        assert read_response(client).startswith(b"HTTP/1.1 200")
        with node.connect() as new:
            new.sendall(READY)
            assert read_response(new).startswith(b"HTTP/1.1 200")
        for sock in (client, *flood):
            sock.close()


def test_exhausted_descriptors_evict_idle_connections(tmp_path: Path) -> None:
    with Node(tmp_path, sockets=4096) as node:
        limits = resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (120, limits[1]))
        flood = [node.connect() for _ in range(300)]
        assert node.logged("idle_connections_evicted")
        with node.connect() as new:
            new.sendall(READY)
            assert read_response(new).startswith(b"HTTP/1.1 200")
        for sock in flood:
            sock.close()


def test_shutdown_with_thousands_of_idle_connections_ends_in_time(node: Node) -> None:
    socks = [node.connect() for _ in range(1500)]
    for sock in socks[:200]:
        sock.sendall(READY)
        assert read_response(sock)
    node.process.terminate()
    assert node.process.wait(WAIT_S) == 0
    assert all(wait_for_close(sock) for sock in socks)
    for sock in socks:
        sock.close()


CONNECTION_SETTINGS = """enabled = true
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
    with Node(tmp_path, files={"doors.toml": CONNECTION_SETTINGS}) as node:

        def connect_from(source: str) -> socket.socket:
            return socket.create_connection(node.address(), WAIT_S, source_address=(source, 0))

        with connect_from("127.0.0.1") as sock, connect_from("127.0.8.1") as long_lived:
            for each, expected in ((sock, b"keep-alive: timeout=3"), (long_lived, b"keep-alive: timeout=60")):
                each.sendall(READY)
                assert expected in read_response(each).lower()
            began = time.monotonic()
            assert wait_for_close(sock) and 2.5 < time.monotonic() - began < 8
            long_lived.sendall(READY)
            assert read_response(long_lived).startswith(b"HTTP/1.1 200")
            assert (
                wait_for_close(connect_from("127.0.9.1"))
                and node.logged("connection_denied")["why"] == "denied"
            )
            with connect_from("127.0.8.1") as second:
                second.sendall(READY)
                assert read_response(second).startswith(b"HTTP/1.1 200")
                assert (
                    wait_for_close(connect_from("127.0.8.1"))
                    and node.logged("connection_denied")["why"] == "most_each"
                )


def test_simultaneous_requests_are_all_answered_and_slow_sender_is_closed(tmp_path: Path) -> None:
    with Node(tmp_path, sockets=8192, files={"doors.toml": "enabled = true\nkeep_alive_s = 60.0\n"}) as node:
        socks = [node.connect() for _ in range(500)]
        for sock in socks:
            sock.sendall(READY)
            assert read_response(sock)
        time.sleep(1.0)  # until all are idle
        for sock in socks:
            sock.sendall(READY)
        with node.connect() as other:
            other.sendall(READY)
            assert read_response(other).startswith(b"HTTP/1.1 200")
        assert all(read_response(sock).startswith(b"HTTP/1.1 200") for sock in socks)
        for sock in socks:
            sock.close()
        with node.connect() as slow_sender:  # sending single bytes does not extend the time limit
            received = b""
            for byte in READY[:8]:
                slow_sender.sendall(bytes([byte]))
                time.sleep(0.4)
            while data := slow_sender.recv(4096):
                received += data
            assert received.startswith(b"HTTP/1.1 408")
