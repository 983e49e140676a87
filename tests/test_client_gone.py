"""After a client's disconnect nothing more is sent for its request, whatever stage it has reached."""

import http.client
import signal
import socket
import threading
from contextlib import suppress
from pathlib import Path

import pytest

from tests.loopback import WAIT_S, Node, read, take
from tests.test_client_pace import END, read_until, request

ROUNDS = 8  # the kernel determines in which order two simultaneous events are reported


def suspend(node: Node) -> None:
    node.process.send_signal(signal.SIGSTOP)


def resume(node: Node) -> None:
    node.process.send_signal(signal.SIGCONT)


def logged_outcome(node: Node) -> str:
    return str(node.logged("request_ended")["how"])


def attempt_count(node: Node, name: str) -> int:
    """The number of attempts that the servers received for a request."""
    servers = (*node.reader, *node.writer)
    return sum(call.method == "POST" and call.id == name for each in servers for call in each.seen)


def open_upstream_connections(node: Node) -> None:
    client, call = read(node, "first")
    call.serve("x")
    assert take(client).status == 200
    assert logged_outcome(node) == "served"


@pytest.mark.parametrize("first", ["answer", "client"])
@pytest.mark.parametrize("status", [202, 503])
def test_no_attempt_follows_disconnect_that_coincides_with_a_response(
    node: Node, first: str, status: int
) -> None:
    """A busy event loop sees both at once, between prefill and decode or before a retry."""
    open_upstream_connections(node)
    for number in range(ROUNDS):
        client = node.post(f"a{number}")
        call = node.reader[0].next()
        suspend(node)
        if first == "client":
            client.close()
        if status == 202:
            call.read()
        else:
            call.answer(status, X_Rejected="1")
        client.close()
        resume(node)
        assert logged_outcome(node) == "gone" and attempt_count(node, f"a{number}") == 1


def test_no_attempt_is_sent_after_disconnect_during_connection_setup(tmp_path: Path) -> None:
    with Node(tmp_path, writers=0, unreachable=1) as node:
        client = node.post("a1")
        node.reader[0].next().read()
        client.close()
        assert logged_outcome(node) == "gone"
        assert node.deleted.get(timeout=10).path.endswith("/a1") and attempt_count(node, "a1") == 1


@pytest.mark.parametrize("size", [1_000, 40_000, 300_000, 900_000])
def test_disconnect_is_detected_behind_pipelined_input(node: Node, size: int) -> None:
    """Input beyond what is read ahead stays in the socket, in front of the client's close.

    The request is a booking at a silent decode server, so that nothing else ends the attempt.
    """
    client, call = read(node, X_Call_Class="booking", X_Budget_Ms="60000")
    send_ahead(client, size)
    client.close()
    assert call.closed()
    call.drop()
    assert logged_outcome(node) == "gone"


def test_flood_ahead_of_response_is_closed_without_harm_to_others(node: Node) -> None:
    """A disconnect behind the flood could not be detected, so the request is cancelled and rejected."""
    with node.connect() as flood:
        flood.sendall(request("flood"))
        call = node.reader[0].next()
        sender = threading.Thread(target=pipeline_until_closed, args=(flood,))
        sender.start()
        assert read_until(flood, b"sent ahead").startswith(b"HTTP/1.1 429")
        assert call.closed()
        call.drop()
        assert logged_outcome(node) == "gone" and attempt_count(node, "flood") == 1
        client, other_call = read(node, "beside")
        other_call.serve("x")
        assert take(client).status == 200
        sender.join(WAIT_S)
        assert not sender.is_alive()


def test_flood_behind_started_stream_does_not_truncate_it(node: Node) -> None:
    with node.connect() as flood:
        flood.sendall(request("flood"))
        node.reader[0].next().read()
        call = node.writer[0].next().begin().token("first")
        read_until(flood, b"first")
        sender = threading.Thread(target=pipeline_until_closed, args=(flood,))
        sender.start()
        client, other_call = read(node, "beside")
        other_call.serve("x")
        assert take(client).status == 200
        call.token("last").end()
        assert b"last" in read_until(flood, END)
        flood.shutdown(socket.SHUT_RDWR)
        sender.join(WAIT_S)


def pipeline_until_closed(sock: socket.socket) -> None:
    """Send further requests until the connection ends, or until far more than all buffers hold is sent."""
    with suppress(OSError):
        for number in range(200):
            sock.sendall(request(f"more{number}").replace(b"Host: a", b"Host: " + b"a" * 20_000) * 5)


def send_ahead(client: http.client.HTTPConnection, size: int) -> None:
    head = f"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: {2 * size}\r\n\r\n"
    client.sock.sendall(head.encode() + b"x" * size)
