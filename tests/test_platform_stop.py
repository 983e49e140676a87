"""The stop while servers hang or clients read slowly: all that was taken is answered before the end."""

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
from tests.standins import play
from tests.test_client_pace import request

BUSY_S = 1.0  # that a busy machine may add to a bound
MOST = 60  # requests until each server that hangs has one
LONG_MS = "60000"
LOOK_S = 0.01  # how often a condition is looked at


def asked(server: StandIn, name: str) -> bool:
    """Whether a server has had a call for that request."""
    return any(call.headers["X-Call-Id"] == name for call in server.seen)


@dataclass
class Asker:
    """A client that waits for its answer on a thread of its own."""

    node: Node
    name: str
    kind: str
    status: int = 0
    running: bool = False  # the process still ran when the answer was there

    def __post_init__(self) -> None:
        self.thread = threading.Thread(target=self._ask, daemon=True)
        self.thread.start()

    def _ask(self) -> None:
        session = f"{int(self.name):016x}"
        client = self.node.post(self.name, X_Call_Class=self.kind, X_Budget_Ms=LONG_MS, X_Route_Hash=session)
        self.status = take(client).status
        self.running = self.node.process.poll() is None


def test_a_stop_while_half_of_the_servers_hang_answers_all_and_ends_in_time(tmp_path: Path) -> None:
    with Node(tmp_path, readers=2, writers=4) as node:
        play(node.reader[0], Call.read)
        for server in node.writer[2:]:
            play(server, lambda call: call.serve("x"))
        hanging = [node.reader[1], *node.writer[:2]]
        askers = list[Asker]()
        until = time.monotonic() + WAIT_S
        while not all(server.calls.qsize() for server in hanging):
            assert time.monotonic() < until and len(askers) < MOST
            askers.append(Asker(node, str(len(askers)), "booking" if len(askers) % 2 else "query"))
            while not any(asked(server, askers[-1].name) for server in node.reader):
                assert time.monotonic() < until
                time.sleep(LOOK_S)
        node.process.send_signal(signal.SIGTERM)
        began = time.monotonic()
        assert node.process.wait(WAIT_S) == 0
        assert time.monotonic() - began < MAX_DEADLINE_S + KILL_GRACE_S + BUSY_S
        for asker in askers:
            asker.thread.join(WAIT_S)
        runs = Counter(call.id for server in node.writer for call in server.seen if call.method == "POST")
        hung = {call.id for server in node.writer[:2] for call in server.seen if call.method == "POST"}
        for asker in askers:
            assert asker.running
            if asker.kind == "query":
                assert asker.status in (200, 503)
            else:
                assert runs[asker.name] <= 1
                assert asker.status == 500 if asker.name in hung else asker.status in (200, 500, 503)


TOKENS = 1600  # of a stream that a slow client reads
TOKEN = "x" * 2000
PIECE = 2000  # bytes that it takes at once


def slow_client(node: Node) -> socket.socket:
    """A client whose system takes little at once."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.settimeout(WAIT_S)
    sock.connect(node.address())
    return sock


def refused(node: Node) -> bool:
    """Whether the process accepts no more."""
    try:
        node.client().connect()
    except ConnectionRefusedError:
        return True
    return False


def finish(call: Call) -> None:
    """Write a stream to its end."""
    for _ in range(TOKENS):
        call.token(TOKEN)
    call.end()


def test_a_stream_that_its_server_finished_is_passed_on_to_its_end_after_the_stop(tmp_path: Path) -> None:
    """The client reads nothing until what has not begun is given up, and takes the rest in small pieces."""
    with Node(tmp_path, writers=1) as node, slow_client(node) as sock:
        sock.sendall(request("slow"))
        node.reader[0].next().read()
        call = node.writer[0].next().begin()
        call.token("first")
        answer = http.client.HTTPResponse(sock, method="POST")
        answer.begin()
        told = answer.read(len(event("first")))
        threading.Thread(target=finish, args=(call,), daemon=True).start()
        assert call.done.wait(WAIT_S)  # the server has written all of it: most waits for the client
        silent = node.post("a2", X_Call_Class="booking", X_Budget_Ms=LONG_MS)
        node.reader[0].next().read()
        node.writer[0].next()
        node.process.send_signal(signal.SIGTERM)
        assert take(silent).status == 500  # the stop has run out
        assert refused(node)
        assert node.process.poll() is None
        while piece := answer.read(PIECE):  # IncompleteRead without the last chunk
            told += piece
        assert told.decode().startswith(event("first") + event(TOKEN) * TOKENS)
        assert b"data: [DONE]" in told
        assert node.process.wait(WAIT_S) == 0
