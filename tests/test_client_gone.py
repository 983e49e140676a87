"""A client that leaves: nothing more is sent for it, wherever its request stands."""

import http.client
import signal
import socket
import threading
from contextlib import suppress
from pathlib import Path

import pytest

from tests.loopback import WAIT_S, Node, read, take
from tests.test_client_pace import END, read_until, request

ROUNDS = 8  # the order in which the loop hears of two things is the system's


def stopped(node: Node) -> None:
    node.process.send_signal(signal.SIGSTOP)


def goes_on(node: Node) -> None:
    node.process.send_signal(signal.SIGCONT)


def ended(node: Node) -> str:
    return str(node.logged("request_ended")["how"])


def sent(node: Node, name: str) -> int:
    """How many attempts of a request there were."""
    servers = (*node.reader, *node.writer)
    return sum(call.method == "POST" and call.id == name for each in servers for call in each.seen)


def keep_connections(node: Node) -> None:
    client, call = read(node, "first")
    call.serve("x")
    assert take(client).status == 200
    assert ended(node) == "served"


@pytest.mark.parametrize("first", ["answer", "client"])
@pytest.mark.parametrize("status", [202, 503])
def test_nothing_follows_for_a_client_that_left_as_an_answer_came(
    node: Node, first: str, status: int
) -> None:
    """Between prefill and decode, and before a retry: a busy loop hears of both at once."""
    keep_connections(node)
    for number in range(ROUNDS):
        client = node.post(f"a{number}")
        call = node.reader[0].next()
        stopped(node)
        if first == "client":
            client.close()
        if status == 202:
            call.read()
        else:
            call.answer(status, X_Rejected="1")
        client.close()
        goes_on(node)
        assert ended(node) == "gone" and sent(node, f"a{number}") == 1


def test_nothing_is_sent_for_a_client_that_left_while_a_connection_was_waited_for(tmp_path: Path) -> None:
    with Node(tmp_path, writers=0, hung=1) as node:
        client = node.post("a1")
        node.reader[0].next().read()
        client.close()
        assert ended(node) == "gone"
        assert node.deleted.get(timeout=10).path.endswith("/a1") and sent(node, "a1") == 1


@pytest.mark.parametrize("size", [1_000, 40_000, 300_000, 900_000])
def test_the_end_is_heard_behind_what_a_client_sent_ahead(node: Node, size: int) -> None:
    """More than is read ahead stays in the socket, and with it the end.

    A booking, whose silent writer is left to answer: nothing else would end the attempt.
    """
    client, call = read(node, X_Call_Class="booking", X_Budget_Ms="60000")
    send_ahead(client, size)
    client.close()
    assert call.closed()
    call.drop()
    assert ended(node) == "gone"


def test_a_flood_ahead_of_an_answer_is_cut_off_and_harms_no_other(node: Node) -> None:
    """Its end could not be heard behind it, so nothing more is sent on for it, and it is told so."""
    with node.connect() as flood:
        flood.sendall(request("flood"))
        call = node.reader[0].next()
        sender = threading.Thread(target=send_without_end, args=(flood,))
        sender.start()
        assert read_until(flood, b"sent ahead").startswith(b"HTTP/1.1 429")
        assert call.closed()
        call.drop()
        assert ended(node) == "gone" and sent(node, "flood") == 1
        client, beside = read(node, "beside")
        beside.serve("x")
        assert take(client).status == 200
        sender.join(WAIT_S)
        assert not sender.is_alive()


def test_a_flood_behind_a_begun_stream_takes_nothing_of_it(node: Node) -> None:
    with node.connect() as flood:
        flood.sendall(request("flood"))
        node.reader[0].next().read()
        call = node.writer[0].next().begin().token("first")
        read_until(flood, b"first")
        sender = threading.Thread(target=send_without_end, args=(flood,))
        sender.start()
        client, beside = read(node, "beside")
        beside.serve("x")
        assert take(client).status == 200
        call.token("last").end()
        assert b"last" in read_until(flood, END)
        flood.shutdown(socket.SHUT_RDWR)
        sender.join(WAIT_S)


def send_without_end(sock: socket.socket) -> None:
    """Further requests until the connection ends, or far more than any buffer takes is sent."""
    with suppress(OSError):
        for number in range(200):
            sock.sendall(request(f"more{number}").replace(b"Host: a", b"Host: " + b"a" * 20_000) * 5)


def send_ahead(client: http.client.HTTPConnection, size: int) -> None:
    head = f"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: {2 * size}\r\n\r\n"
    client.sock.sendall(head.encode() + b"x" * size)
