"""What clients send that can't be read, and more connections than there may be, over real sockets."""

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
def test_bad_input_is_told_and_costs_nothing_else(node: Node, change: dict[str, Any], status: int) -> None:
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
def test_bad_http_is_told(node: Node, text: bytes, status: int) -> None:
    with node.connect() as sock:
        sock.sendall(text)
        assert sock.recv(4096).startswith(f"HTTP/1.1 {status} ".encode())


def test_connections_past_the_limit_are_refused_but_resting_ones_make_room(tmp_path: Path) -> None:
    with Node(tmp_path, sockets=82) as node:
        busy = [node.post(f"a{number}") for number in range(7)]
        calls = [node.reader[0].next() for _ in busy]
        resting = node.client()
        for _ in range(2):  # the second one takes the place of the first, which rests
            resting.request("GET", "/ready")
            assert take(resting).status == 200
            resting = node.client()
        last = node.post("a7")
        calls.append(node.reader[0].next())
        answer = take(node.post("a8"))
        assert answer.status == 503 and "retry-after" in answer.headers
        for call in calls:
            call.read()
            node.writer[0].next().serve("x")
        assert [take(client).status for client in (*busy, last)] == [200] * 8


def everything(sock: socket.socket) -> bytes:
    """All that comes until the other side closes; a reset is a close as well."""
    got = b""
    try:
        while data := sock.recv(65536):
            got += data
    except ConnectionError:
        pass
    return got


POST = b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
HIDDEN = b"0\r\n\r\n" + POST + b"X-Call-Id: hidden\r\nContent-Length: 2\r\n\r\n{}"


@pytest.mark.parametrize(
    ("text", "status"),
    [
        (POST + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" + HIDDEN, b"400"),
        (POST.replace(b"1.1", b"1.0") + b"Transfer-Encoding: chunked\r\n\r\n" + HIDDEN, b"400"),
        (POST + b"Content-Length: 2\r\nContent-Length: 9\r\n\r\n{}" + HIDDEN, b"400"),
        (POST + b"Content-Length: -1\r\n\r\n" + HIDDEN, b"400"),
        (POST + b"Content-Length: " + b"9" * 5000 + b"\r\n\r\n" + HIDDEN, b"400"),
        (POST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n" + HIDDEN, b"400"),
        (POST + b"Transfer-Encoding: chunked, gzip\r\n\r\n" + HIDDEN, b"501"),
        (POST + b"Content-Length: 60000000\r\n\r\n" + b"x" * 2_000_000, b"413"),
        (POST + b"Content-Length: 50\r\n\r\nhalf", b"408"),
        (POST[:30], b"408"),
        (b"", b""),
    ],
    ids="both chunked-1.0 conflict negative huge no-size coding 60-MB half-body half-head silent".split(),
)
def test_what_cannot_be_read_ends_its_connection_in_time(node: Node, text: bytes, status: bytes) -> None:
    with node.connect() as sock:
        started = time.monotonic()
        with contextlib.suppress(ConnectionError):  # it may be cut off while it still sends
            sock.sendall(text)
        got = everything(sock)
        assert got.startswith(b"HTTP/1.1 " + status) if status else not got
        assert got.count(b"HTTP/1.1 ") == bool(status)  # what stood behind it is not answered
        assert time.monotonic() - started < 3
    assert not node.reader[0].seen


def test_a_client_that_asks_again_as_soon_as_it_is_turned_away_is_slowed(node: Node) -> None:
    """Without end it would cost all others the program's time; others go on meanwhile."""
    with node.connect() as sock:
        sock.sendall(b"GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n" * 50)
        assert sock.recv(1)
        client, call = read(node)
        call.serve("x")
        assert take(client).status == 200
        sock.setblocking(False)
        assert sock.recv(65536).count(b" 404 ") < 10


def test_bodies_take_their_part_of_the_memory_and_give_it_back(tmp_path: Path) -> None:
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


def test_silent_connections_make_room_and_close(tmp_path: Path) -> None:
    with Node(tmp_path, sockets=82) as node:
        silent = [node.connect() for _ in range(40)]
        client, call = read(node)
        call.serve("x")
        assert take(client).status == 200
        assert [everything(sock) for sock in silent] == [b""] * 40
