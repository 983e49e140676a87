"""A request that must not run twice, while its servers hang, are reset long after, or have lost its state."""

from __future__ import annotations

import time

import pytest

from tests.loopback import Call, Node, event, read, take

BUDGET_S = 1.0  # that the client waits
SLACK_S = 0.5  # past its time an answer still counts
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
HALF = {"nothing": b"", "half-a-head": HEAD[:20], "head": HEAD, "half-an-event": HEAD + b"ff\r\ndata: {"}


def runs(node: Node, name: str = "a1") -> list[Call]:
    """The calls at writers that carried the request."""
    return [call for each in node.writer for call in each.seen if call.method == "POST" and call.id == name]


def serves_another(node: Node) -> None:
    """Whether the next request is served: what was due before it has been done by then."""
    client, call = read(node, "next", X_Call_Class="booking")
    call.serve("x")
    assert take(client).status == 200


@pytest.mark.parametrize("end", ["reset", "closed"])
@pytest.mark.parametrize("said", HALF)
def test_a_booking_whose_writer_hangs_fails_once_in_time_and_runs_no_second_time(
    node: Node, said: str, end: str
) -> None:
    began = time.monotonic()
    client, call = read(node, X_Call_Class="booking", X_Budget_Ms=str(int(BUDGET_S * 1000)))
    call.say(HALF[said])
    assert take(client).status == 500
    assert time.monotonic() - began < BUDGET_S + SLACK_S
    assert call.closed()  # given up
    assert node.deleted.get(timeout=10).path.endswith("/a1")
    if end == "reset":
        call.reset()
    else:
        call.drop()
    serves_another(node)
    assert len(runs(node)) == 1
    client.request("GET", "/ready")  # nothing more was said on the client's connection
    assert take(client).status == 200


@pytest.mark.parametrize("said", HALF)
def test_a_booking_that_is_reset_while_it_hangs_fails_at_once(node: Node, said: str) -> None:
    client, call = read(node, X_Call_Class="booking")
    call.say(HALF[said])
    call.reset()
    assert take(client).status == 500
    serves_another(node)
    assert len(runs(node)) == 1


def test_a_booking_without_its_read_state_is_read_anew_and_run_once(node: Node) -> None:
    client, call = read(node, X_Call_Class="booking")
    call.answer(410, X_Rejected="1")
    anew = node.reader[0].next()
    assert anew.id == "a1" and anew.method == "POST"
    assert len(runs(node)) == 1  # nothing goes to a writer before the prompt is read
    anew.read()
    again = node.writer[0].next()
    again.serve("one")
    answer = take(client)
    assert answer.status == 200 and answer.body.startswith(event("one").encode())
    serves_another(node)
    assert len(runs(node)) == 2  # the first was turned away, which never ran


def test_a_booking_that_hangs_behind_a_lost_state_fails_and_runs_once(node: Node) -> None:
    began = time.monotonic()
    client, call = read(node, X_Call_Class="booking", X_Budget_Ms=str(int(BUDGET_S * 1000)))
    call.answer(410, X_Rejected="1")
    node.reader[0].next().read()
    again = node.writer[0].next()
    assert take(client).status == 500
    assert time.monotonic() - began < BUDGET_S + SLACK_S
    again.reset()
    serves_another(node)
    assert len(runs(node)) == 2
