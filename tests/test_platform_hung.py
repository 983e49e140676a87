"""Requests that must not run twice: their server hangs, resets the connection late, or has lost the entry."""

from __future__ import annotations

import time

import pytest

from tests.loopback import Call, Node, event, read, take

BUDGET_S = 1.0  # how long the client waits
LATE_RESPONSE_LIMIT_S = 0.5  # a response this long after the deadline still counts
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
PARTIAL_RESPONSES = {
    "nothing": b"",
    "half-a-head": HEAD[:20],
    "head": HEAD,
    "half-an-event": HEAD + b"ff\r\ndata: {",
}


def decode_calls(node: Node, name: str = "a1") -> list[Call]:
    """The attempts of a request that writers received."""
    return [call for each in node.writer for call in each.seen if call.method == "POST" and call.id == name]


def serve_another_request(node: Node) -> None:
    """Serve another request, by which time everything due before it has been done."""
    client, call = read(node, "next", X_Call_Class="booking")
    call.serve("x")
    assert take(client).status == 200


@pytest.mark.parametrize("end", ["reset", "closed"])
@pytest.mark.parametrize("partial", PARTIAL_RESPONSES)
def test_at_most_once_request_fails_in_time_and_is_not_repeated_if_its_writer_hangs(
    node: Node, partial: str, end: str
) -> None:
    started_s = time.monotonic()
    client, call = read(node, X_Call_Class="booking", X_Budget_Ms=str(int(BUDGET_S * 1000)))
    call.say(PARTIAL_RESPONSES[partial])
    assert take(client).status == 500
    assert time.monotonic() - started_s < BUDGET_S + LATE_RESPONSE_LIMIT_S
    assert call.closed()  # the attempt was abandoned
    assert node.deleted.get(timeout=10).path.endswith("/a1")
    if end == "reset":
        call.reset()
    else:
        call.drop()
    serve_another_request(node)
    assert len(decode_calls(node)) == 1
    client.request("GET", "/ready")  # the connection is usable: nothing followed the response
    assert take(client).status == 200


@pytest.mark.parametrize("partial", PARTIAL_RESPONSES)
def test_at_most_once_request_fails_at_once_if_its_connection_is_reset(node: Node, partial: str) -> None:
    client, call = read(node, X_Call_Class="booking")
    call.say(PARTIAL_RESPONSES[partial])
    call.reset()
    assert take(client).status == 500
    serve_another_request(node)
    assert len(decode_calls(node)) == 1


def test_at_most_once_request_whose_entry_is_missing_is_prefilled_again_and_runs_once(node: Node) -> None:
    client, call = read(node, X_Call_Class="booking")
    call.answer(410, X_Rejected="1")
    second_prefill = node.reader[0].next()
    assert second_prefill.id == "a1" and second_prefill.method == "POST"
    assert len(decode_calls(node)) == 1  # no decode is sent before the prompt is prefilled again
    second_prefill.read()
    second_decode = node.writer[0].next()
    second_decode.serve("one")
    answer = take(client)
    assert answer.status == 200 and answer.body.startswith(event("one").encode())
    serve_another_request(node)
    assert len(decode_calls(node)) == 2  # the first attempt was rejected and never ran


def test_at_most_once_request_fails_if_its_writer_hangs_after_a_second_prefill(node: Node) -> None:
    started_s = time.monotonic()
    client, call = read(node, X_Call_Class="booking", X_Budget_Ms=str(int(BUDGET_S * 1000)))
    call.answer(410, X_Rejected="1")
    node.reader[0].next().read()
    second_decode = node.writer[0].next()
    assert take(client).status == 500
    assert time.monotonic() - started_s < BUDGET_S + LATE_RESPONSE_LIMIT_S
    second_decode.reset()
    serve_another_request(node)
    assert len(decode_calls(node)) == 2
