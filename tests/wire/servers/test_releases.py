"""KV cache entries of finished requests are released; runs the real program."""

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


def first_prefill(node: Node) -> tuple[int, Call]:
    """Send a request; returns the index of the prefill server that got it, and its call."""
    node.clients = [node.post("a1")]
    return next_prefill(node)


def next_prefill(node: Node) -> tuple[int, Call]:
    deadline_s = time.monotonic() + WAIT_S
    while time.monotonic() < deadline_s:
        for index, server in enumerate(node.reader):
            try:
                return index, server.calls.get(timeout=0.01)
            except queue.Empty:
                continue
    raise AssertionError("no prefill server got a call")


def test_entry_is_released_by_another_server_if_its_holder_does_not_answer(node: Node) -> None:
    index, call = first_prefill(node)
    call.read()
    decode_call = node.writer[0].next()
    node.reader[index].ignores_releases = True
    node.clients[0].close()
    assert decode_call.closed()
    decode_call.drop()
    assert node.deleted.get(timeout=10).path == PATH
    fields = node.logged("release_ended")
    assert fields["how"] == "done" and fields["asked"] == 2 and fields["where"] != f"r{index}"
    assert node.reader[index].next().path == PATH  # the holder was called first


def test_no_release_is_sent_while_a_second_prefill_is_in_flight(node: Node) -> None:
    """Guards against a release that takes away the second entry too, so that the prompt is prefilled again.

    The first prefill may have reserved an entry although its response was lost. That entry is released before
    the second prefill is sent, since any server that answers a release frees all entries of the request.
    """
    index, call = first_prefill(node)
    call.drop()
    second_prefill = node.reader[1 - index].next()
    assert node.deleted.get(timeout=WAIT_S).path == PATH
    assert node.logged("cache_entry_released")["unobserved"] == [f"r{index}"]
    assert node.logged("release_ended")["holder"]
    second_prefill.read()
    decode_call = node.writer[0].next()
    assert node.deleted.empty()
    decode_call.serve("x")
    assert take(node.clients[0]).status == 200
    assert node.logged("request_ended")["how"] == "served"
    assert node.deleted.empty()


def test_process_releases_entries_before_it_stops(node: Node) -> None:
    index, call = first_prefill(node)
    call.read()
    decode_call = node.writer[0].next()
    for server in node.reader:
        server.ignores_releases = True
    node.writer[0].ignores_releases = True
    node.clients[0].close()
    assert decode_call.closed()
    decode_call.drop()
    assert node.reader[index].next().path == PATH  # the release is in progress
    node.process.send_signal(signal.SIGTERM)
    for server in node.reader:
        server.ignores_releases = False
    node.writer[0].ignores_releases = False
    assert node.logged("release_ended")["how"] == "done"
    assert node.process.wait(timeout=10) == 0


def test_entry_is_released_in_time_and_prefilled_anew_if_no_decode_server_is_reachable(
    tmp_path: Path,
) -> None:
    """Guards against holding the entry while connections to several unreachable servers time out in turn."""
    with Node(tmp_path, readers=2, writers=0, unreachable=4) as node:
        index, call = first_prefill(node)
        call.read()
        assert node.logged("cache_entry_released")["servers"] == [f"r{index}"]
        fields = node.logged("release_ended")
        assert fields["how"] == "done" and fields["where"] == f"r{index}"
        next_prefill(node)[1].drop()  # the prompt is prefilled again


def test_outstanding_updates_are_applied_before_the_first_request_is_accepted(tmp_path: Path) -> None:
    """Clients that know the address connect as soon as a router restarts, while its list may be old."""
    with Node(tmp_path, initial_listing=lambda node: json.dumps(node.listing(8, r0="leaving"))) as node:
        lists = [
            (line["form"], line["index"])
            for line in node.skipped_lines
            if line["event"] == "endpoint_list_received"
        ]
        assert lists == [("kept", 7), ("full", 8)]


def test_entry_that_a_decode_server_reports_missing_is_released_all_the_same(node: Node) -> None:
    """An abandoned decode may have fetched it; only a first token releases all entries by itself."""
    first_prefill(node)[1].read()
    node.writer[0].next().answer(410, X_Rejected="1")
    for _ in range(3):  # six attempts at most, and a prefill needs one more for its decode
        next_prefill(node)[1].answer(503, X_Rejected="1")
    assert take(node.clients[0]).status == 503
    assert node.deleted.get(timeout=10).path == PATH
