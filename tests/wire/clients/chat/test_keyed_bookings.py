"""A booking with an Idempotency-Key runs at most once, whichever process of the router its client reaches.

Guards against bookings that ran again because their key was known to one process alone, or was forgotten
with the response.
"""

from __future__ import annotations

import signal
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from tests.loopback import WAIT_S, Answer, Node, Process, take
from tests.wire.clients.chat.helpers import (
    BOOKING_REQUEST,
    CHAT,
    STREAM_REQUEST,
    read_first_event_id,
    wait_for_decode,
)

KEY = "manifest-4711"
# An address of its own, by which a successor finds the listening socket among its predecessor's.
FILES = {"chat.toml": CHAT.replace("127.0.0.1:0", "127.0.0.9:0")}


@pytest.fixture
def node(tmp_path: Path) -> Iterator[Node]:
    with Node(tmp_path, files=FILES) as node:
        yield node


def ask(node: Node, process: Process, request: object = BOOKING_REQUEST) -> Answer:
    """Send a request with the key to one of the processes, and read the response."""
    listening, node.listening = node.listening, process.listening
    try:
        return take(node.chat(request, Idempotency_Key=KEY))
    finally:
        node.listening = listening


def error_of(answer: Answer) -> tuple[int, str]:
    return answer.status, answer.json()["error"]["code"]


# How far the booking has come when its client comes back; each leaves it under way or ended.


def prefilling(node: Node) -> None:
    node.clients.append(node.chat(BOOKING_REQUEST, Idempotency_Key=KEY))
    node.reader[0].next()


def streaming(node: Node) -> None:
    client = node.chat(BOOKING_REQUEST, Idempotency_Key=KEY)
    wait_for_decode(node).begin().token("booked ")
    answer = client.getresponse()
    read_first_event_id(answer)
    answer.close()
    client.close()


def left_before_stream(node: Node) -> None:
    client = node.chat(BOOKING_REQUEST, Idempotency_Key=KEY)
    call = wait_for_decode(node)
    client.close()
    assert call.closed()
    call.drop()
    assert node.logged("request_ended")["how"] == "gone"


def broken(node: Node) -> None:
    client = node.chat(BOOKING_REQUEST | {"stream": False}, Idempotency_Key=KEY)
    wait_for_decode(node).begin().token("booked ").drop()
    assert error_of(take(client)) == (500, "stream_broken")


def served(node: Node) -> None:
    client = node.chat(BOOKING_REQUEST, Idempotency_Key=KEY)
    wait_for_decode(node).serve("booked")
    assert take(client).status == 200


# What becomes of the process; each returns the process that the client reaches afterwards.


def upgraded(node: Node) -> Process:
    new = node.successor()
    node.logged("successor_started_serving")
    return new


def upgraded_twice(node: Node) -> Process:
    first = upgraded(node)
    second = node.successor()
    first.logged("successor_started_serving")
    return second


def predecessor_killed(node: Node) -> Process:
    new = upgraded(node)
    node.kill()
    new.logged("predecessor_ended")
    return new


def predecessor_hung(node: Node) -> Process:
    node.process.send_signal(signal.SIGSTOP)
    return node.successor()


def killed_and_restarted(node: Node) -> Process:
    node.kill()
    return node.successor()


def stopped_and_restarted(node: Node) -> Process:
    node.process.send_signal(signal.SIGTERM)
    assert node.process.wait(WAIT_S) == 0
    return node.successor()


@pytest.mark.parametrize(
    ("progress", "replace"),
    [
        (prefilling, upgraded),
        (prefilling, predecessor_hung),
        (streaming, upgraded),
        (streaming, upgraded_twice),
        (streaming, predecessor_killed),
        (streaming, predecessor_hung),
        (streaming, killed_and_restarted),
        (left_before_stream, upgraded),
        (broken, upgraded),
        (broken, stopped_and_restarted),
        (served, predecessor_killed),
        (served, stopped_and_restarted),
    ],
)
def test_repeated_booking_does_not_run_again_in_another_process(
    node: Node, progress: Callable[[Node], None], replace: Callable[[Node], Process]
) -> None:
    progress(node)
    sent = node.reader[0].attempts()
    new = replace(node)
    assert error_of(ask(node, new)) == (409, "may_have_run")
    assert node.reader[0].attempts() == sent


def test_repeated_booking_does_not_run_again_in_the_predecessor_of_a_killed_successor(node: Node) -> None:
    new = upgraded(node)
    streaming(node)
    new.kill()
    node.logged("successor_ended")
    assert error_of(ask(node, node)) == (409, "may_have_run")
    assert node.writer[0].attempts() == 1


def test_booking_that_is_sent_to_both_processes_at_once_runs_in_one_of_them(node: Node) -> None:
    """Guards against a claim that is looked up in one step and written in another."""
    connected_before = node.client("chat")
    connected_before.request("GET", "/v1/models")
    take(connected_before)
    new = upgraded(node)
    node.listening = new.listening
    first = node.chat(BOOKING_REQUEST, Idempotency_Key=KEY)
    headers = {"X-Caller": "farm", "Idempotency-Key": KEY}
    body = b'{"model":"book","stream":true,"messages":[{"role":"user","content":"is room 14 free?"}]}'
    connected_before.request("POST", "/v1/chat/completions", body, headers)
    wait_for_decode(node).serve("booked")
    assert sorted([take(first).status, take(connected_before).status]) == [200, 409]
    assert node.writer[0].attempts() == 1


# What may run goes on running.


def test_keys_that_differ_in_a_byte_beyond_ascii_are_two_keys(node: Node) -> None:
    """Guards against a booking that gets another one's response: such bytes were all read as one."""
    for key in ("room-\xe9", "room-\xe8"):
        client = node.chat(BOOKING_REQUEST, Idempotency_Key=key)
        wait_for_decode(node).serve("booked")
        assert take(client).status == 200


def rejected(node: Node) -> None:
    client = node.chat(BOOKING_REQUEST, Idempotency_Key=KEY)
    for _ in range(2):
        node.reader[0].next().drop()
    assert error_of(take(client)) == (503, "overloaded")


def left_during_prefill(node: Node) -> None:
    client = node.chat(BOOKING_REQUEST, Idempotency_Key=KEY)
    call = node.reader[0].next()
    client.close()
    assert call.closed()
    call.drop()
    assert node.logged("request_ended")["how"] == "gone"


@pytest.mark.parametrize("progress", [rejected, left_during_prefill])
@pytest.mark.parametrize("replace", [lambda node: node, upgraded, stopped_and_restarted])
def test_booking_that_never_ran_runs_when_it_is_repeated(
    node: Node, progress: Callable[[Node], None], replace: Callable[[Node], Process]
) -> None:
    progress(node)
    process = replace(node)
    node.listening = process.listening
    client = node.chat(BOOKING_REQUEST, Idempotency_Key=KEY)
    wait_for_decode(node).serve("booked")
    assert take(client).status == 200


def test_query_that_is_open_in_one_process_runs_again_in_the_other(node: Node) -> None:
    client = node.chat(STREAM_REQUEST, Idempotency_Key=KEY)
    call = wait_for_decode(node)
    new = upgraded(node)
    node.listening = new.listening
    repeated = node.chat(STREAM_REQUEST, Idempotency_Key=KEY)
    wait_for_decode(node).serve("yes")
    call.serve("yes")
    assert take(client).status == take(repeated).status == 200


def test_stream_that_is_open_at_an_upgrade_goes_on_beside_its_repetition(node: Node) -> None:
    client = node.chat(BOOKING_REQUEST, Idempotency_Key=KEY)
    call = wait_for_decode(node).begin().token("booked ")
    assert ask(node, upgraded(node)).status == 409
    call.token("room 14").end()
    assert b"room 14" in take(client).body
