"""Invalid input from clients and connections past the limit, over real sockets."""

import contextlib
import json
import socket
import time
from pathlib import Path
from typing import Any

import pytest

from tests.loopback import Node, read, take


@pytest.mark.parametrize(
    ("change", "status"),
    [
        ({"X_Call_Id": "-"}, 400),
        ({"X_Call_Id": "a/../b"}, 400),
        ({"X_Budget_Ms": "soon"}, 400),
        ({"X_Budget_Ms": "nan"}, 400),
        ({"X_Budget_Ms": "4_800"}, 400),
        ({"X_Budget_Ms": "-1"}, 400),
        ({"X_Route_Hash": "f" * 65}, 400),
        ({"X_Budget_Ms": "0"}, 400),
        ({"X_Call_Class": "nobody"}, 400),
        ({"X_Caller": "nobody"}, 400),
        ({"X_Route_Hash": "xyz"}, 400),
        ({"X_Call_Info": "prompt_len=many"}, 400),
        ({"X_Call_Info": "prompt_len=nan"}, 400),
        ({"body": b"{"}, 400),
        ({"body": b"[]"}, 400),
        pytest.param({"body": b"x" * (256 * 1024 + 1)}, 413, id="too long"),
    ],
)
def test_invalid_request_is_rejected_without_affecting_others(
    node: Node, change: dict[str, Any], status: int
) -> None:
    assert take(node.post("a1", **change)).status == status
    client, call = read(node, "a2")
    call.serve("x")
    assert take(client).status == 200


@pytest.mark.parametrize(
    ("text", "status"),
    [
        (b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", 404),
        (b"GET /v1/chat/completions HTTP/1.1\r\nHost: a\r\n\r\n", 405),
        (b"DELETE /ready HTTP/1.1\r\nHost: a\r\n\r\n", 405),
        (b"nonsense\r\n\r\n", 400),
        (b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", 400),
        (b"GET /ready HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 40_000, 431),
    ],
)
def test_invalid_http_is_rejected(node: Node, text: bytes, status: int) -> None:
    with node.connect() as sock:
        sock.sendall(text)
        assert sock.recv(4096).startswith(f"HTTP/1.1 {status} ".encode())


def test_connections_past_the_limit_are_rejected_after_idle_ones_are_evicted(tmp_path: Path) -> None:
    with Node(tmp_path, sockets=82) as node:
        busy = [node.post(f"a{number}") for number in range(7)]
        calls = [node.reader[0].next() for _ in busy]
        idle = node.client()
        for _ in range(2):  # the second one evicts the first, which is idle
            idle.request("GET", "/ready")
            assert take(idle).status == 200
            idle = node.client()
        last = node.post("a7")
        calls.append(node.reader[0].next())
        answer = take(node.post("a8"))
        assert answer.status == 503 and "retry-after" in answer.headers
        for call in calls:
            call.read()
            node.writer[0].next().serve("x")
        assert [take(client).status for client in (*busy, last)] == [200] * 8


def read_to_end(sock: socket.socket) -> bytes:
    """Read until the peer closes or resets the connection."""
    received = b""
    try:
        while data := sock.recv(65536):
            received += data
    except ConnectionError:
        pass
    return received


POST = b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
SMUGGLED = b"0\r\n\r\n" + POST + b"X-Call-Id: hidden\r\nContent-Length: 2\r\n\r\n{}"


@pytest.mark.parametrize(
    ("text", "status"),
    [
        (POST + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" + SMUGGLED, b"400"),
        (POST.replace(b"1.1", b"1.0") + b"Transfer-Encoding: chunked\r\n\r\n" + SMUGGLED, b"400"),
        (POST + b"Content-Length: 2\r\nContent-Length: 9\r\n\r\n{}" + SMUGGLED, b"400"),
        (POST + b"Content-Length: -1\r\n\r\n" + SMUGGLED, b"400"),
        (POST + b"Content-Length: " + b"9" * 5000 + b"\r\n\r\n" + SMUGGLED, b"400"),
        (POST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n" + SMUGGLED, b"400"),
        (POST + b"Transfer-Encoding: chunked, gzip\r\n\r\n" + SMUGGLED, b"501"),
        (POST + b"Content-Length: 60000000\r\n\r\n" + b"x" * 2_000_000, b"413"),
        (POST + b"Content-Length: 50\r\n\r\nhalf", b"408"),
        (POST[:30], b"408"),
        (b"", b""),
    ],
    ids="both chunked-1.0 conflict negative huge no-size coding 60-MB half-body half-head silent".split(),
)
def test_unreadable_input_closes_its_connection_in_time(node: Node, text: bytes, status: bytes) -> None:
    with node.connect() as sock:
        started = time.monotonic()
        with contextlib.suppress(ConnectionError):  # the connection may be closed during the send
            sock.sendall(text)
        received = read_to_end(sock)
        assert received.startswith(b"HTTP/1.1 " + status) if status else not received
        assert received.count(b"HTTP/1.1 ") == bool(status)  # input after it is not answered as a request
        assert time.monotonic() - started < 3
    assert not node.reader[0].seen


def test_client_that_retries_immediately_after_rejection_is_slowed(node: Node) -> None:
    """Such a client could otherwise take up the program's CPU time; others are served meanwhile."""
    with node.connect() as sock:
        sock.sendall(b"GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n" * 50)
        assert sock.recv(1)
        client, call = read(node)
        call.serve("x")
        assert take(client).status == 200
        sock.setblocking(False)
        assert sock.recv(65536).count(b" 404 ") < 10


def test_body_memory_is_limited_and_returned(tmp_path: Path) -> None:
    with Node(tmp_path, memory_mb=3) as node:
        body = json.dumps({"text": "x" * 250_000}).encode()
        clients = [node.post(f"a{number}", body) for number in range(2)]
        calls = sorted((node.reader[0].next() for _ in clients), key=lambda call: call.id)
        for _ in range(2):
            refused = take(node.post("more", body))
            assert refused.status == 503 and "retry-after" in refused.headers
        for client, call in zip(clients, calls, strict=True):
            call.read()
            node.writer[0].next().serve("x")
            assert take(client).status == 200
        client, call = read(node, "a3", body=body)
        call.serve("x")
        assert take(client).status == 200


def test_silent_connections_are_evicted_and_closed(tmp_path: Path) -> None:
    with Node(tmp_path, sockets=82) as node:
        silent = [node.connect() for _ in range(40)]
        client, call = read(node)
        call.serve("x")
        assert take(client).status == 200
        assert [read_to_end(sock) for sock in silent] == [b""] * 40
