"""What hundreds of clients send and leave unread stays within the memory limit of the settings."""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterator
from contextlib import ExitStack, suppress
from pathlib import Path

import pytest

from tests.loopback import WAIT_S, Call, Node, take

MEMORY_MB = 192
LARGE_BYTES = 250_000
ROUNDS, CLIENTS = 4, 100


def request(name: str, size: int = 10) -> bytes:
    body = b'{"messages":["%s"]}' % (b"y" * size)
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Call-Id: {name}\r\nX-Call-Class: query\r\n"
        f"X-Caller: farm\r\nX-Budget-Ms: 60000\r\nContent-Length: {len(body)}\r\n"
    )
    return head.encode() + b"\r\n" + body


def peak_mb(node: Node) -> float:
    status = Path(f"/proc/{node.process.pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) / 1024


def connect(node: Node, stack: ExitStack, count: int) -> list[socket.socket]:
    return [stack.enter_context(node.connect()) for _ in range(count)]


def read_prompts(call: Call) -> None:
    if call.method == "POST":
        call.read()


@pytest.fixture
def node(tmp_path: Path) -> Iterator[Node]:
    with Node(tmp_path, writers=6, sockets=1024, memory_mb=MEMORY_MB) as node:
        node.reader[0].answer_calls(read_prompts)
        yield node


def test_large_requests_in_quick_succession_leave_no_memory_behind(node: Node) -> None:
    for writer in node.writer:
        writer.answer_calls(lambda call: call.serve("x"))
    statuses = list[bytes]()

    def send_rounds(client: socket.socket, number: int) -> None:
        for round_number in range(ROUNDS):
            client.sendall(request(f"a{number}-{round_number}", LARGE_BYTES))
            received = b""
            while not received.endswith((b"0\r\n\r\n", b'"}')):
                received += client.recv(65536)
            statuses.append(received[9:12])

    with ExitStack() as stack:
        clients = connect(node, stack, CLIENTS)
        threads = [
            threading.Thread(target=send_rounds, args=(client, number), daemon=True)
            for number, client in enumerate(clients)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(3 * WAIT_S)
        assert len(statuses) == ROUNDS * CLIENTS and statuses.count(b"200") > ROUNDS
        assert peak_mb(node) < MEMORY_MB


@pytest.mark.parametrize("sent", [LARGE_BYTES // 2, 1_000])
def test_clients_that_stop_within_a_large_request_do_not_keep_others_out(node: Node, sent: int) -> None:
    for writer in node.writer:
        writer.answer_calls(lambda call: call.serve("x"))
    with ExitStack() as stack:
        for number, client in enumerate(connect(node, stack, 400)):
            with suppress(OSError):
                client.sendall(request(f"a{number}", LARGE_BYTES)[:sent])
        assert take(node.post("beside")).status == 200
        assert peak_mb(node) < MEMORY_MB
