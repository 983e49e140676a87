"""What servers hold for a request that is over is let go, played at the real program."""

from __future__ import annotations

import json
import queue
import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.loopback import WAIT_S, Call, Node, take

PATH = "/internal/reservations/a1"


@pytest.fixture
def node(tmp_path: Path) -> Iterator[Node]:
    with Node(tmp_path, readers=2) as node:
        yield node


def first_read(node: Node) -> tuple[int, Call]:
    """Send a request; the reader that got it, whichever it is, and its call."""
    node.clients = [node.post("a1")]
    return next_read(node)


def next_read(node: Node) -> tuple[int, Call]:
    until = time.monotonic() + WAIT_S
    while time.monotonic() < until:
        for place, reader in enumerate(node.reader):
            try:
                return place, reader.calls.get(timeout=0.01)
            except queue.Empty:
                continue
    raise AssertionError("no reader was asked")


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
    assert told["how"] == "done" and told["asked"] == 2 and told["where"] != f"r{place}"
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


def test_a_state_that_no_writer_is_reached_for_is_let_go_in_time_and_read_anew(tmp_path: Path) -> None:
    """Writers that are cut off: each connection to them waits, and the state must not wait for several."""
    with Node(tmp_path, readers=2, writers=0, hung=4) as node:
        place, call = first_read(node)
        call.read()
        assert node.logged("state_let_go")["servers"] == [f"r{place}"]
        told = node.logged("release_ended")
        assert told["how"] == "done" and told["where"] == f"r{place}"
        next_read(node)[1].drop()  # it is read anew


def test_what_discovery_has_to_tell_is_known_before_the_first_request_is_taken(tmp_path: Path) -> None:
    """Clients that knew the address come as soon as a conductor is back, with an old list."""
    with Node(tmp_path, told=lambda node: json.dumps(node.listing(8, r0="leaving"))) as node:
        lists = [(line["form"], line["index"]) for line in node.passed if line["event"] == "list"]
        assert lists == [("kept", 7), ("full", 8)]


def test_a_state_that_a_writer_says_is_gone_is_let_go_all_the_same(node: Node) -> None:
    """Another writer that was given up may have fetched it; only the first token lets go of all by itself."""
    first_read(node)[1].read()
    node.writer[0].next().answer(410, X_Rejected="1")
    for _ in range(3):  # of the six attempts a read needs one more, for the writer
        next_read(node)[1].answer(503, X_Rejected="1")
    assert take(node.clients[0]).status == 503
    assert node.deleted.get(timeout=10).path == PATH
