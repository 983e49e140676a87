"""A request whose id comes again, at the same process or at its successor, runs at most once."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.loopback import Node, Process, read, take


def runs(node: Node, name: str) -> int:
    """How often a request was sent to the writer."""
    return sum(call.method == "POST" and call.id == name for call in node.writer[0].seen)


def post_to(process: Process, node: Node, name: str, request_class: str) -> int:
    """Send a request to one of the processes; returns the status of the response."""
    listening, node.listening = node.listening, process.listening
    try:
        return take(node.post(name, X_Call_Class=request_class)).status
    finally:
        node.listening = listening


def leave_during_decode(node: Node) -> None:
    client, call = read(node, "a1", X_Call_Class="booking")
    client.close()
    assert call.closed()
    call.drop()
    assert node.logged("request_ended")["how"] == "gone"


def test_booking_whose_client_left_is_not_run_again(node: Node) -> None:
    leave_during_decode(node)
    assert take(node.post("a1", X_Call_Class="booking")).status == 400
    assert runs(node, "a1") == 1


def test_booking_that_was_served_is_not_run_again(node: Node) -> None:
    client, call = read(node, "a1", X_Call_Class="booking")
    call.serve("x")
    assert take(client).status == 200
    assert take(node.post("a1", X_Call_Class="booking")).status == 400
    assert runs(node, "a1") == 1


def test_booking_whose_client_left_before_it_was_sent_is_served(node: Node) -> None:
    client = node.post("a1", X_Call_Class="booking")
    call = node.reader[0].next()
    client.close()
    assert call.closed()
    call.drop()
    assert node.logged("request_ended")["how"] == "gone"
    client, call = read(node, "a1", X_Call_Class="booking")
    call.serve("x")
    assert take(client).status == 200


@pytest.mark.parametrize("left", ["before the upgrade", "during the upgrade"])
def test_booking_whose_client_left_is_not_run_by_the_successor(tmp_path: Path, left: str) -> None:
    with Node(tmp_path, operator=True) as node:
        if left == "before the upgrade":
            leave_during_decode(node)
            successor = node.successor()
        else:
            client, call = read(node, "a1", X_Call_Class="booking")
            successor = node.successor()
            client.close()
            assert call.closed()
            call.drop()
            assert node.logged("request_ended")["how"] == "gone"
        assert post_to(successor, node, "a1", "booking") == 400
        assert runs(node, "a1") == 1


def test_booking_of_a_predecessor_that_died_is_not_run_by_the_successor(tmp_path: Path) -> None:
    with Node(tmp_path, operator=True) as node:
        _, call = read(node, "a1", X_Call_Class="booking")
        successor = node.successor()
        node.kill()
        successor.logged("predecessor_ended")
        assert call.closed()
        call.drop()
        assert post_to(successor, node, "a1", "booking") == 400
        assert runs(node, "a1") == 1
