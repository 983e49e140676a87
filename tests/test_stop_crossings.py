"""Requests that cross the decision to stop, on connections that rest, are new, half read or at work."""

from __future__ import annotations

import signal
import socket

import pytest

from tests.loopback import WAIT_S, Node
from tests.test_client_pace import END, read_until, request, serve


def stopping(node: Node) -> None:
    """SIGTERM, and the process has heard it."""
    node.process.send_signal(signal.SIGTERM)
    node.logged("stopping")


def drained(node: Node) -> None:
    """The drain has begun: nobody listens any more."""
    while True:
        try:
            node.connect().close()
        except (ConnectionRefusedError, ConnectionResetError):
            return


@pytest.mark.parametrize("how", ["resting", "new", "half read"])
def test_a_request_just_after_sigterm_is_served(node: Node, how: str) -> None:
    text = request("a2")
    with node.connect() as client:
        if how == "resting":
            client.sendall(request("a1"))
            serve(node, "a1")
            read_until(client, END)
        elif how == "half read":
            client.sendall(text[:40])
        stopping(node)
        client.sendall(text[40:] if how == "half read" else text)
        serve(node, "a2")
        assert read_until(client, END).startswith(b"HTTP/1.1 200")
    assert node.process.wait(WAIT_S) == 0


def test_one_whose_last_byte_comes_in_the_drain_is_refused_not_dropped(node: Node) -> None:
    text = request("a1")
    with node.connect() as client:
        client.sendall(text[:40])
        stopping(node)
        drained(node)
        client.sendall(text[40:])
        assert read_until(client, b"nothing has run").startswith(b"HTTP/1.1 503")
        assert client.recv(1) == b""
    assert node.process.wait(WAIT_S) == 0
    assert not node.reader[0].seen


def test_one_that_was_read_behind_a_stream_is_answered_in_the_drain(node: Node) -> None:
    """It was read ahead, and its connection was closed behind the stream without a word."""
    with node.connect() as client:
        client.sendall(request("a1"))
        node.reader[0].next().read()
        call = node.writer[0].next().begin().token("x")
        read_until(client, b"x")
        client.sendall(request("a2"))
        stopping(node)
        drained(node)
        call.end()
        got = read_until(client, b"nothing has run")
        assert END in got and got.index(END) < got.index(b"HTTP/1.1 503")
    assert node.process.wait(WAIT_S) == 0
    assert [each.id for each in node.reader[0].seen] == ["a1"]


def test_a_connection_that_ends_in_the_drain_ends_in_order(node: Node) -> None:
    """What crosses the end of an idle one takes nothing with it: its client sees an end, never a reset."""
    with node.connect() as client:
        client.sendall(request("a1"))
        serve(node, "a1")
        read_until(client, END)
        stopping(node)
        assert client.recv(1) == b""  # our side is shut
        client.sendall(request("a2"))
        client.shutdown(socket.SHUT_WR)
        assert client.recv(1) == b""
    assert node.process.wait(WAIT_S) == 0
    assert [each.id for each in node.reader[0].seen] == ["a1"]
