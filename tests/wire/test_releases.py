"""What servers hold for a request that is over is let go, played at the real program."""

from __future__ import annotations

import queue
import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.loopback import Call, Node, take

PATH = "/internal/reservations/a1"


@pytest.fixture
def node(tmp_path: Path) -> Iterator[Node]:
    with Node(tmp_path, readers=2) as node:
        yield node


def first_read(node: Node) -> tuple[int, Call]:
    """The reader that got the request, whichever it is, and its call."""
    client = node.post("a1")
    node.clients = [client]
    while True:
        for place, reader in enumerate(node.reader):
            try:
                return place, reader.calls.get(timeout=0.01)
            except queue.Empty:
                continue


def test_a_holder_that_accepts_and_never_answers_does_not_keep_the_state(node: Node) -> None:
    place, call = first_read(node)
    call.read()
    writing = node.writer[0].next()
    node.reader[place].deaf = True
    node.clients[0].close()
    assert writing.closed()
    writing.drop()
    assert node.deleted.get(timeout=10).path == PATH
    told = node.logged("release_ended")
    assert told["how"] == "done" and told["asked"] == 2 and not told["holder"]
    assert node.reader[place].next().path == PATH  # it was asked first


def test_no_release_is_sent_while_a_second_read_is_under_way(node: Node) -> None:
    """Heard anywhere, it would let go of the second read's state too, and its writer had to read anew.

    The first read may have left a state as its answer was lost, so one goes out once the request has ended.
    """
    place, call = first_read(node)
    call.drop()
    second = node.reader[1 - place].next()
    second.read()
    writing = node.writer[0].next()
    assert node.deleted.empty()
    writing.serve("x")
    assert take(node.clients[0]).status == 200
    assert node.logged("request_ended")["how"] == "served"
    assert node.logged("release_ended")["holder"]
    assert node.deleted.get(timeout=10).path == PATH


def test_a_process_told_to_end_lets_go_first(node: Node) -> None:
    place, call = first_read(node)
    call.read()
    writing = node.writer[0].next()
    for each in node.reader:
        each.deaf = True
    node.writer[0].deaf = True
    node.clients[0].close()
    assert writing.closed()
    writing.drop()
    assert node.reader[place].next().path == PATH  # the release is open
    node.process.send_signal(signal.SIGTERM)
    for each in node.reader:
        each.deaf = False
    node.writer[0].deaf = False
    assert node.logged("release_ended")["how"] == "done"
    assert node.process.wait(timeout=10) == 0
