"""A server is told at most the time until the client's deadline, wherever the request waited before."""

from __future__ import annotations

import threading
import time

import pytest

from tests.loopback import Call, Node
from tests.standins import StandIn
from tests.test_client_pace import END, read_until, request
from tests.test_platform_restart import Restart, first_listing

BUDGET_MS = 4800.0  # X-Budget-Ms of `request`
DELAY_S = 0.4  # by which the remaining time has to shrink
SLACK_MS = 150.0  # the protocol's tolerance


def wait_for_delay() -> None:
    """Wait for the delay itself, which these tests are about."""
    threading.Event().wait(DELAY_S)


def padded(original: bytes, size: int) -> bytes:
    """The same request with a body that is `size` bytes longer."""
    head, _, body = original.partition(b"\r\n\r\n")
    padded_body = body.replace(b"{", b"{" + b" " * size, 1)
    return (
        head.replace(b"Content-Length: %d" % len(body), b"Content-Length: %d" % len(padded_body))
        + b"\r\n\r\n"
        + padded_body
    )


def forwarded_budget_ms(call: Call) -> float:
    return float(call.headers["X-Budget-Ms"])


def remaining_ms(sent_s: float) -> float:
    return BUDGET_MS - (time.monotonic() - sent_s) * 1000


def test_pipelined_request_is_charged_for_its_wait_behind_another(node: Node) -> None:
    with node.connect() as client:
        client.sendall(request("a1") + request("a2"))
        sent_s = time.monotonic()
        node.reader[0].next().read()
        first = node.writer[0].next().begin().token("x")
        wait_for_delay()
        first.end()
        second = node.reader[0].next()
        assert second.id == "a2" and forwarded_budget_ms(second) <= remaining_ms(sent_s) + SLACK_MS
        second.read()
        decode = node.writer[0].next()
        assert forwarded_budget_ms(decode) <= remaining_ms(sent_s) + SLACK_MS
        decode.serve("y")
        read_until(client, END, times=2)


def test_request_is_charged_for_its_wait_behind_a_rejected_one(node: Node) -> None:
    """After a rejected request, nothing is read from the connection for half a second."""
    invalid = request("a1").replace(b"X-Call-Class: query", b"X-Call-Class: quarry")
    with node.connect() as client:
        client.sendall(invalid)
        read_until(client, b"400")
        client.sendall(request("a2"))
        sent_s = time.monotonic()
        call = node.reader[0].next()
        assert forwarded_budget_ms(call) <= remaining_ms(sent_s) + SLACK_MS
        assert forwarded_budget_ms(call) < BUDGET_MS - SLACK_MS


@pytest.mark.parametrize("size", [0, 200_000])
def test_request_is_charged_for_its_wait_in_the_backlog_of_a_starting_process(
    killed: Node, size: int
) -> None:
    """A long request is read in several pieces, all of which waited in the socket."""
    discovery = StandIn()
    restart = Restart(killed, discovery)
    with restart.open_client() as client:
        client.sendall(padded(request("a1"), size))
        sent_s = time.monotonic()
        wait_for_delay()
        endpoint_list = first_listing(killed, "leaving").replace("leaving", "active")
        while not discovery.calls.empty():
            watch = discovery.next()  # the last watch call: earlier ones were abandoned
        watch.begin().chunk(endpoint_list)
        call = killed.reader[0].next()
        assert forwarded_budget_ms(call) <= remaining_ms(sent_s) + SLACK_MS
        assert forwarded_budget_ms(call) < BUDGET_MS - SLACK_MS


def test_request_that_expires_before_it_is_read_is_rejected_and_never_sent(node: Node) -> None:
    late = request("a2").replace(b"4800", b"%d" % (DELAY_S * 500))
    with node.connect() as client:
        client.sendall(request("a1") + late)
        node.reader[0].next().read()
        first = node.writer[0].next().begin().token("x")
        wait_for_delay()
        first.end()
        assert b"HTTP/1.1 503" in read_until(client, b"has run")
    assert [call.id for call in node.reader[0].seen] == ["a1"]
