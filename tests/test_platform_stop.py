"""Shutdown while servers hang or clients read slowly: all accepted requests are answered before the exit."""

from __future__ import annotations

import http.client
import signal
import socket
import threading
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from ringledge.lifecycle.drain import KILL_GRACE_S, MAX_DEADLINE_S
from tests.loopback import WAIT_S, Call, Node, StandIn, event, take
from tests.standins import answer_in_background
from tests.test_client_pace import request

SLACK_S = 1.0  # delay that a busy machine may add
MAX_REQUESTS = 60  # maximum number sent until each hanging server has one
LONG_MS = "60000"
POLL_INTERVAL_S = 0.01


def has_received(server: StandIn, name: str) -> bool:
    """Whether a server has received a call for that request."""
    return any(call.headers["X-Call-Id"] == name for call in server.seen)


@dataclass
class WaitingClient:
    """A client that waits for its response in its own thread."""

    node: Node
    name: str
    request_class: str
    status: int = 0
    was_running: bool = False  # the process was still running when the response arrived

    def __post_init__(self) -> None:
        self.thread = threading.Thread(target=self._wait_for_response, daemon=True)
        self.thread.start()

    def _wait_for_response(self) -> None:
        session = f"{int(self.name):016x}"
        connection = self.node.post(
            self.name, X_Call_Class=self.request_class, X_Budget_Ms=LONG_MS, X_Route_Hash=session
        )
        self.status = take(connection).status
        self.was_running = self.node.process.poll() is None


def test_shutdown_answers_all_requests_while_half_of_the_servers_hang(tmp_path: Path) -> None:
    with Node(tmp_path, readers=2, writers=4) as node:
        answer_in_background(node.reader[0], Call.read)
        for server in node.writer[2:]:
            answer_in_background(server, lambda call: call.serve("x"))
        hanging = [node.reader[1], *node.writer[:2]]
        clients = list[WaitingClient]()
        deadline_s = time.monotonic() + WAIT_S
        while not all(server.calls.qsize() for server in hanging):
            assert time.monotonic() < deadline_s and len(clients) < MAX_REQUESTS
            clients.append(WaitingClient(node, str(len(clients)), "booking" if len(clients) % 2 else "query"))
            while not any(has_received(server, clients[-1].name) for server in node.reader):
                assert time.monotonic() < deadline_s
                time.sleep(POLL_INTERVAL_S)
        node.process.send_signal(signal.SIGTERM)
        began = time.monotonic()
        assert node.process.wait(WAIT_S) == 0
        assert time.monotonic() - began < MAX_DEADLINE_S + KILL_GRACE_S + SLACK_S
        for client in clients:
            client.thread.join(WAIT_S)
        runs = Counter(call.id for server in node.writer for call in server.seen if call.method == "POST")
        hung = {call.id for server in node.writer[:2] for call in server.seen if call.method == "POST"}
        for client in clients:
            assert client.was_running
            if client.request_class == "query":
                assert client.status in (200, 503)
            else:
                assert runs[client.name] <= 1
                assert client.status == 500 if client.name in hung else client.status in (200, 500, 503)


TOKENS = 1600  # of a stream that a slow client reads
TOKEN = "x" * 2000
READ_BYTES = 2000  # bytes that the slow client reads at a time


def slow_client(node: Node) -> socket.socket:
    """Connect a client with a small receive buffer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.settimeout(WAIT_S)
    sock.connect(node.address())
    return sock


def refuses_connections(node: Node) -> bool:
    """Whether the process no longer accepts connections."""
    try:
        node.client().connect()
    except ConnectionRefusedError:
        return True
    return False


def write_stream(call: Call) -> None:
    """Write a complete stream after its first token."""
    for _ in range(TOKENS):
        call.token(TOKEN)
    call.end()


def test_stream_finished_by_its_server_is_forwarded_completely_after_shutdown(tmp_path: Path) -> None:
    """The client reads nothing until requests without a stream are given up, then reads small pieces."""
    with Node(tmp_path, writers=1) as node, slow_client(node) as sock:
        sock.sendall(request("slow"))
        node.reader[0].next().read()
        call = node.writer[0].next().begin()
        call.token("first")
        answer = http.client.HTTPResponse(sock, method="POST")
        answer.begin()
        received = answer.read(len(event("first")))
        threading.Thread(target=write_stream, args=(call,), daemon=True).start()
        assert call.done.wait(WAIT_S)  # the server has written everything; most is unsent to the client
        silent = node.post("a2", X_Call_Class="booking", X_Budget_Ms=LONG_MS)
        node.reader[0].next().read()
        node.writer[0].next()
        node.process.send_signal(signal.SIGTERM)
        assert take(silent).status == 500  # the shutdown deadline has passed
        assert refuses_connections(node)
        assert node.process.poll() is None
        while chunk := answer.read(READ_BYTES):  # raises IncompleteRead without the last chunk
            received += chunk
        assert received.decode().startswith(event("first") + event(TOKEN) * TOKENS)
        assert b"data: [DONE]" in received
        assert node.process.wait(WAIT_S) == 0
