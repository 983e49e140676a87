"""What hundreds of clients send and leave unread stays within the memory limit of the settings."""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterator
from contextlib import ExitStack, suppress
from pathlib import Path

import pytest

from ringledge.lab.deployment import SETTINGS
from ringledge.lab.stage import start_lab
from tests.loopback import WAIT_S, Call, Node, take

MEMORY_MB = 192
NAMES = "query", "farm"  # of a class and a tenant
LAB_NAMES = SETTINGS["classes"][0]["name"], SETTINGS["tenants"][0]["name"]
LARGE_BYTES = 250_000
SHORT_FIELDS = b"aa:bb\r\n" * 4_400
STREAMS, STREAMS_AT_ONCE = 400, 10  # a request has to be complete within 2.5 s of its first byte
ROUNDS, CLIENTS = 4, 100


def request(name: str, names: tuple[str, str] = NAMES, size: int = 10, fields: bytes = b"") -> bytes:
    body = b'{"messages":["%s"]}' % (b"y" * size)
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Call-Id: {name}\r\n"
        f"X-Call-Class: {names[0]}\r\nX-Caller: {names[1]}\r\nX-Budget-Ms: 60000\r\n"
        f"Content-Length: {len(body)}\r\n"
    )
    return head.encode() + fields + b"\r\n" + body


def peak_mb(pid: int) -> float:
    status = Path(f"/proc/{pid}/status").read_text()
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


def test_heads_of_many_short_fields_are_not_kept_until_their_streams_end() -> None:
    """Guards against a process that is killed for memory: the parsed form of such a head takes up to 1 MB."""
    servers = ("--read-ms", "1", "--stream-ms", "30000", "--events", "150", "--memory-mb", str(MEMORY_MB))
    with start_lab(servers, {}) as stage, ExitStack() as stack:
        host, _, port = stage.listening["platform"].rpartition(":")
        for first in range(0, STREAMS, STREAMS_AT_ONCE):
            clients = []
            for number in range(first, first + STREAMS_AT_ONCE):
                client = stack.enter_context(socket.create_connection((host, int(port)), WAIT_S))
                client.sendall(request(f"a{number}", LAB_NAMES, fields=SHORT_FIELDS))
                clients.append(client)
            assert {client.recv(12) for client in clients} == {b"HTTP/1.1 200"}
        assert peak_mb(stage.pid) < MEMORY_MB


def test_large_requests_in_quick_succession_leave_no_memory_behind(node: Node) -> None:
    for writer in node.writer:
        writer.answer_calls(lambda call: call.serve("x"))
    statuses = list[bytes]()

    def send_rounds(client: socket.socket, number: int) -> None:
        for round_number in range(ROUNDS):
            client.sendall(request(f"a{number}-{round_number}", size=LARGE_BYTES))
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
        assert peak_mb(node.process.pid) < MEMORY_MB


@pytest.mark.parametrize("sent", [LARGE_BYTES // 2, 1_000])
def test_clients_that_stop_within_a_large_request_do_not_keep_others_out(node: Node, sent: int) -> None:
    for writer in node.writer:
        writer.answer_calls(lambda call: call.serve("x"))
    with ExitStack() as stack:
        for number, client in enumerate(connect(node, stack, 400)):
            with suppress(OSError):
                client.sendall(request(f"a{number}", size=LARGE_BYTES)[:sent])
        assert take(node.post("beside")).status == 200
        assert peak_mb(node.process.pid) < MEMORY_MB
