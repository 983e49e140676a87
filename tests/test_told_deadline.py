"""A server is told at most the time that the client has left, wherever its request lay before it was read."""

from __future__ import annotations

import threading
import time

import pytest

from tests.loopback import Call, Node
from tests.standins import StandIn
from tests.test_client_pace import END, request, until
from tests.test_platform_restart import Restart, first_word

BUDGET_MS = 4800.0  # as `request` tells it
PASSING_S = 0.4  # time that passes: what is told has to shrink by it
SLACK_MS = 150.0  # the page's


def let_time_pass() -> None:
    """Nothing is waited for but the time itself, which is what these tests are about."""
    threading.Event().wait(PASSING_S)


def padded(sent: bytes, size: int) -> bytes:
    """The same request with a longer body."""
    head, _, body = sent.partition(b"\r\n\r\n")
    longer = body.replace(b"{", b"{" + b" " * size, 1)
    return (
        head.replace(b"Content-Length: %d" % len(body), b"Content-Length: %d" % len(longer))
        + b"\r\n\r\n"
        + longer
    )


def told_ms(call: Call) -> float:
    return float(call.headers["X-Budget-Ms"])


def left_ms(sent_s: float) -> float:
    return BUDGET_MS - (time.monotonic() - sent_s) * 1000


def test_behind_another_request_on_its_connection(node: Node) -> None:
    with node.connect() as client:
        client.sendall(request("a1") + request("a2"))
        sent_s = time.monotonic()
        node.reader[0].next().read()
        first = node.writer[0].next().begin().token("x")
        let_time_pass()
        first.end()
        second = node.reader[0].next()
        assert second.id == "a2" and told_ms(second) <= left_ms(sent_s) + SLACK_MS
        second.read()
        decode = node.writer[0].next()
        assert told_ms(decode) <= left_ms(sent_s) + SLACK_MS
        decode.serve("y")
        until(client, END, times=2)


def test_behind_a_request_that_was_turned_away(node: Node) -> None:
    """Nothing is read for half a second behind bad input."""
    bad = request("a1").replace(b"X-Call-Class: query", b"X-Call-Class: quarry")
    with node.connect() as client:
        client.sendall(bad)
        until(client, b"400")
        client.sendall(request("a2"))
        sent_s = time.monotonic()
        call = node.reader[0].next()
        assert told_ms(call) <= left_ms(sent_s) + SLACK_MS
        assert told_ms(call) < BUDGET_MS - SLACK_MS


@pytest.mark.parametrize("size", [0, 200_000])
def test_in_the_backlog_while_the_list_is_waited_for_at_a_start(killed: Node, size: int) -> None:
    """A long one is read in several pieces, all of which lay there."""
    discovery = StandIn()
    restart = Restart(killed, discovery)
    with restart.dial() as client:
        client.sendall(padded(request("a1"), size))
        sent_s = time.monotonic()
        let_time_pass()
        told = first_word(killed, "leaving").replace("leaving", "active")
        while not discovery.calls.empty():
            watch = discovery.next()  # the last one: those before were given up
        watch.begin().chunk(told)
        call = killed.reader[0].next()
        assert told_ms(call) <= left_ms(sent_s) + SLACK_MS
        assert told_ms(call) < BUDGET_MS - SLACK_MS


def test_one_whose_time_is_over_before_it_is_read_is_refused_and_never_sent(node: Node) -> None:
    late = request("a2").replace(b"4800", b"%d" % (PASSING_S * 500))
    with node.connect() as client:
        client.sendall(request("a1") + late)
        node.reader[0].next().read()
        first = node.writer[0].next().begin().token("x")
        let_time_pass()
        first.end()
        assert b"HTTP/1.1 503" in until(client, b"has run")
    assert [call.id for call in node.reader[0].seen] == ["a1"]
