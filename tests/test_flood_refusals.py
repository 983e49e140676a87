"""A client that floods its connection is rejected with a status that is true of its request."""

from __future__ import annotations

import socket
import threading
from contextlib import suppress

import pytest

from tests.loopback import Node, read

FLOOD_BYTES = 4 * 1024 * 1024  # more than is ever read ahead of a response


def flood(sock: socket.socket) -> None:
    """Send far more than is read ahead, or until the connection ends."""
    with suppress(OSError):
        sock.sendall(b"x" * FLOOD_BYTES)


@pytest.mark.parametrize(("name", "status"), [("query", 429), ("booking", 500)])
def test_flood_behind_request_that_may_have_run_is_not_told_that_a_retry_is_safe(
    node: Node, name: str, status: int
) -> None:
    client, call = read(node, "a1", X_Call_Class=name)
    sender = threading.Thread(target=flood, args=(client.sock,))
    sender.start()
    answer = client.getresponse()
    assert answer.status == status
    call.drop()
    sender.join()
    assert node.logged("request_ended")["how"] == "gone"
    assert not [line for line in node.skipped_lines if line["event"] == "invariant_violated"]


def test_flood_behind_booking_in_prefill_is_rejected(node: Node) -> None:
    client = node.post("a1", X_Call_Class="booking")
    call = node.reader[0].next()
    sender = threading.Thread(target=flood, args=(client.sock,))
    sender.start()
    assert client.getresponse().status == 429
    call.drop()
    sender.join()
