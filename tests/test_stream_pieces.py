"""A stream whose events come in pieces: each goes to the client in one, and no part is held for long."""

from __future__ import annotations

import socket
import threading
from contextlib import suppress

import pytest

from tests.loopback import Call, Node, event
from tests.test_client_pace import request

EVENT = event("abcdefgh")


def begin(node: Node, name: str = "a1") -> tuple[socket.socket, Call]:
    client = node.connect()
    client.sendall(request(name))
    node.reader[0].next().read()
    return client, node.writer[0].next().begin().token("first")


def until(client: socket.socket, text: bytes) -> bytes:
    got = b""
    while text not in got:
        piece = client.recv(65536)
        assert piece, got
        got += piece
    return got


@pytest.mark.parametrize("size", [1, 7])
def test_an_event_in_many_chunks_reaches_the_client_in_one(node: Node, size: int) -> None:
    client, call = begin(node)
    with client:
        until(client, b"first")
        for place in range(0, len(EVENT), size):
            call.chunk(EVENT[place : place + size])
        got = until(client, EVENT.encode())
        assert b"%x\r\n%s\r\n" % (len(EVENT), EVENT.encode()) in got
        call.end()
        assert until(client, b"0\r\n\r\n").endswith(b"0\r\n\r\n")


def test_a_part_of_an_event_is_passed_on_though_the_rest_does_not_come(node: Node) -> None:
    client, call = begin(node)
    with client:
        until(client, b"first")
        call.chunk(EVENT[:9])
        until(client, EVENT[:9].encode())
        call.chunk(EVENT[9:])
        until(client, EVENT[9:].encode())


def test_what_came_before_a_spoilt_chunk_is_passed_on(node: Node) -> None:
    client, call = begin(node)
    with client:
        until(client, b"first")
        whole = EVENT.encode()
        call.say(b"%x\r\n%s\r\nnonsense\r\n" % (len(whole), whole))
        assert b"0\r\n\r\n" not in until(client, whole)
        assert client.recv(1) == b""  # the stream broke


def test_a_stream_that_breaks_off_behind_its_last_event_has_no_last_chunk(node: Node) -> None:
    client, call = begin(node)
    with client:
        until(client, b"first")
        call.chunk("data: [DONE]\n\n").drop()
        got = until(client, b"[DONE]\n\n")
        while piece := client.recv(65536):
            got += piece
        assert not got.endswith(b"0\r\n\r\n")


def test_a_client_that_takes_nothing_holds_up_no_event_of_another(node: Node) -> None:
    """Both streams come from one server; the slow one's is far more than any buffer takes."""
    slow, filling = begin(node)
    fast, call = begin(node, "a2")
    with slow, fast:
        until(fast, b"first")

        def fill() -> None:
            with suppress(OSError):
                for _ in range(2_000):
                    filling.chunk(event("x" * 8_000))

        filler = threading.Thread(target=fill, daemon=True)
        filler.start()
        for number in range(50):
            call.token(f"piece{number}")
            until(fast, event(f"piece{number}").encode())
        call.end()
        until(fast, b"0\r\n\r\n")
        assert filler.is_alive()  # its client has taken nothing, so neither has the program
