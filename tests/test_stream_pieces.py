"""Events of a stream that arrive in pieces are relayed in one piece each, and are never delayed for long."""

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


def read_until(client: socket.socket, text: bytes) -> bytes:
    received = b""
    while text not in received:
        piece = client.recv(65536)
        assert piece, received
        received += piece
    return received


@pytest.mark.parametrize("size", [1, 7])
def test_event_in_many_chunks_is_relayed_in_one_chunk(node: Node, size: int) -> None:
    client, call = begin(node)
    with client:
        read_until(client, b"first")
        for position in range(0, len(EVENT), size):
            call.chunk(EVENT[position : position + size])
        received = read_until(client, EVENT.encode())
        assert b"%x\r\n%s\r\n" % (len(EVENT), EVENT.encode()) in received
        call.end()
        assert read_until(client, b"0\r\n\r\n").endswith(b"0\r\n\r\n")


def test_part_of_an_event_is_relayed_if_the_rest_does_not_arrive(node: Node) -> None:
    client, call = begin(node)
    with client:
        read_until(client, b"first")
        call.chunk(EVENT[:9])
        read_until(client, EVENT[:9].encode())
        call.chunk(EVENT[9:])
        read_until(client, EVENT[9:].encode())


def test_events_before_a_malformed_chunk_are_relayed(node: Node) -> None:
    client, call = begin(node)
    with client:
        read_until(client, b"first")
        complete = EVENT.encode()
        call.say(b"%x\r\n%s\r\nnonsense\r\n" % (len(complete), complete))
        assert b"0\r\n\r\n" not in read_until(client, complete)
        assert client.recv(1) == b""  # the stream is cut off


def test_stream_that_is_cut_off_after_its_last_event_has_no_last_chunk(node: Node) -> None:
    client, call = begin(node)
    with client:
        read_until(client, b"first")
        call.chunk("data: [DONE]\n\n").drop()
        received = read_until(client, b"[DONE]\n\n")
        while piece := client.recv(65536):
            received += piece
        assert not received.endswith(b"0\r\n\r\n")


def test_client_that_does_not_read_delays_no_event_of_another(node: Node) -> None:
    """Both streams come from one server; the slow client's stream is far larger than any buffer."""
    slow, slow_call = begin(node)
    fast, call = begin(node, "a2")
    with slow, fast:
        read_until(fast, b"first")

        def fill() -> None:
            with suppress(OSError):
                for _ in range(2_000):
                    slow_call.chunk(event("x" * 8_000))

        filler = threading.Thread(target=fill, daemon=True)
        filler.start()
        for number in range(50):
            call.token(f"piece{number}")
            read_until(fast, event(f"piece{number}").encode())
        call.end()
        read_until(fast, b"0\r\n\r\n")
        assert filler.is_alive()  # the program reads no more of a stream whose client does not read
