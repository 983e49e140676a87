"""Records the hand-over messages of two processes of a router, and the file of operator overrides."""

from __future__ import annotations

import socket
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import orjson

from tests.compatibility.golden import path
from tests.compatibility.handover_peer import Peer, Predecessor, connect
from tests.loopback import WAIT_S, Node, take

OPERATORS_FILE = "ringledge-n1.out.json"
CLOCK_OFFSET_MS = 1_700_000_000_000.0


def learned_messages() -> list[bytes]:
    """The snapshot that an older process hands over: a golden file of a router with other servers."""
    return path("snapshot-0.jsonl").read_bytes().splitlines()


def shape(value: Any) -> Any:
    """Replaces the values of a JSON value by their types; a list of lists keeps its first item only."""
    if isinstance(value, dict):
        return {key: shape(each) for key, each in sorted(value.items())}
    if isinstance(value, list):
        rows = [shape(each) for each in value]
        return rows[:1] if rows and isinstance(rows[0], list) else rows
    return "number" if isinstance(value, int | float) else type(value).__name__


def serve_one(node: Node, name: str) -> int:
    """Serves one request through prefill and decode; returns the status."""
    client = node.post(name)
    node.reader[0].next().read()
    node.writer[0].next().serve("x")
    return take(client).status


def connect_as_successor(node: Node, question: bytes) -> tuple[Peer, dict[str, Any], list[dict[str, Any]]]:
    """Requests the node's listeners as a successor; returns the channel, the answer and the learned state."""
    peer = connect(node.folder)
    peer.send(question)
    data, descriptors = peer.receive()
    answer = orjson.loads(data)
    listeners = [socket.socket(fileno=each) for each in descriptors]
    assert len(listeners) == len(answer["listeners"])
    for listener in listeners:
        listener.close()
    learned = list[dict[str, Any]]()
    peer.sock.settimeout(1.0)
    try:
        while True:
            learned.append(orjson.loads(peer.receive()[0]))
    except TimeoutError:
        peer.sock.settimeout(WAIT_S)
    return peer, answer, learned


class ServedByPredecessor(Node):
    """The program, started as successor of a process that the test stands in for."""

    def start(self, folder: Path, *flags: str) -> None:
        """Starts with a stand-in predecessor that listens on the platform address."""
        if hasattr(self, "predecessor"):
            super().start(folder, *flags)
            return
        self.predecessor = Predecessor(folder)
        self.listener = socket.create_server(("127.0.0.1", 0))
        address = "{}:{}".format(*self.listener.getsockname())
        self.configure(listen=address)
        super().start_process(folder, *flags)
        self.peer = self.predecessor.accept()
        self.question, _ = self.peer.receive()
        answer = {
            "listeners": [address],
            "settings": orjson.loads(self.question)["settings"],
            "clock_offset_ms": CLOCK_OFFSET_MS,
        }
        self.peer.send(orjson.dumps(answer), (self.listener,))
        for message in learned_messages() if path("snapshot-0.jsonl").exists() else ():
            self.peer.send(message)
        self.wait_until_ready()
        self.serving = self.peer.message("serving")

    def close(self) -> None:
        """Ends the stand-in predecessor."""
        self.peer.close()
        self.predecessor.close()
        self.listener.close()


@contextmanager
def started_beside_predecessor(folder: Path) -> Iterator[ServedByPredecessor]:
    """The program after it has taken over the listeners."""
    node = ServedByPredecessor(folder)
    with node:
        try:
            yield node
        finally:
            node.close()


def _as_predecessor(folder: Path) -> dict[str, Any]:
    with Node(folder, operator=True) as node:
        assert serve_one(node, "a1") == 200
        assert node.call("POST", "/instances/w0/maint").status == 200
        file = (folder / OPERATORS_FILE).read_bytes()
        digest = orjson.loads(file)["settings"]
        question = orjson.dumps({"want": "listeners", "settings": digest})
        peer, answer, learned = connect_as_successor(node, question)
        answer["listeners"] = len(answer["listeners"])
        recorded = {
            "fingerprint": digest,
            "answer": shape(answer),
            "learned": [shape(each) for each in learned if "learned" in each],
            "operators_file": file.decode(),
        }
        client = node.post("b1")
        recorded["opened"] = peer.message("open")
        peer.close()
        client.close()
        return recorded


def _as_successor(folder: Path) -> dict[str, Any]:
    with started_beside_predecessor(folder) as node:
        return {"question": node.question.decode(), "serving": shape(node.serving)}


def write_exchange() -> dict[str, bytes]:
    """The golden file, by name."""
    with tempfile.TemporaryDirectory() as one, tempfile.TemporaryDirectory() as other:
        recorded = _as_predecessor(Path(one)) | _as_successor(Path(other))
    return {
        "exchange.json": orjson.dumps(recorded, option=orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS) + b"\n"
    }
