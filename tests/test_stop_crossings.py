"""Requests that arrive during a shutdown, on idle, new, partly read and busy connections."""

from __future__ import annotations

import signal
import socket

import pytest

from tests.loopback import WAIT_S, Node
from tests.test_client_pace import END, read_until, request, serve


def send_sigterm(node: Node) -> None:
    """Send SIGTERM, and wait until the process has received it."""
    node.process.send_signal(signal.SIGTERM)
    node.logged("stopping")


def wait_for_drain(node: Node) -> None:
    """Wait until the drain has begun and the process no longer listens."""
    while True:
        try:
            node.connect().close()
        except (ConnectionRefusedError, ConnectionResetError):
            return


@pytest.mark.parametrize("connection", ["idle", "new", "partly read"])
def test_a_request_just_after_sigterm_is_served(node: Node, connection: str) -> None:
    text = request("a2")
    with node.connect() as client:
        if connection == "idle":
            client.sendall(request("a1"))
            serve(node, "a1")
            read_until(client, END)
        elif connection == "partly read":
            client.sendall(text[:40])
        send_sigterm(node)
        client.sendall(text[40:] if connection == "partly read" else text)
        serve(node, "a2")
        assert read_until(client, END).startswith(b"HTTP/1.1 200")
    assert node.process.wait(WAIT_S) == 0


def test_a_request_completed_during_the_drain_is_rejected_with_a_response(node: Node) -> None:
    text = request("a1")
    with node.connect() as client:
        client.sendall(text[:40])
        send_sigterm(node)
        wait_for_drain(node)
        client.sendall(text[40:])
        assert read_until(client, b"nothing has run").startswith(b"HTTP/1.1 503")
        assert client.recv(1) == b""
    assert node.process.wait(WAIT_S) == 0
    assert not node.reader[0].seen


def test_a_request_pipelined_behind_a_stream_is_answered_during_the_drain(node: Node) -> None:
    """Regression: the request was read ahead, but the connection closed after the stream with no response."""
    with node.connect() as client:
        client.sendall(request("a1"))
        node.reader[0].next().read()
        call = node.writer[0].next().begin().token("x")
        read_until(client, b"x")
        client.sendall(request("a2"))
        send_sigterm(node)
        wait_for_drain(node)
        call.end()
        received = read_until(client, b"nothing has run")
        assert END in received and received.index(END) < received.index(b"HTTP/1.1 503")
    assert node.process.wait(WAIT_S) == 0
    assert [each.id for each in node.reader[0].seen] == ["a1"]


def test_a_connection_closed_by_the_drain_is_not_reset(node: Node) -> None:
    """A request that crosses the close of an idle connection must not cause a reset, only an orderly end."""
    with node.connect() as client:
        client.sendall(request("a1"))
        serve(node, "a1")
        read_until(client, END)
        send_sigterm(node)
        assert client.recv(1) == b""  # the process has shut down its sending side
        client.sendall(request("a2"))
        client.shutdown(socket.SHUT_WR)
        assert client.recv(1) == b""
    assert node.process.wait(WAIT_S) == 0
    assert [each.id for each in node.reader[0].seen] == ["a1"]
