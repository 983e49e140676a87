"""What servers spoil, played over real sockets."""

import http.client
import threading
import time

import pytest

from ringledge.memory.connection_pool import MIN_SAFE_IDLE_S
from tests.loopback import WAIT_S, Node, event, read, take


@pytest.mark.parametrize(
    ("body", "headers", "status"),
    [
        ("x" * (256 * 1024 + 1), {}, 500),
        ("{}", {"X-Load-Report": '{"x0":"much"}', "X-Rejected": "1"}, 500),
        ("{}", {"X-Load-Report": "[", "X-Rejected": "1"}, 500),
    ],
    ids=["too long", "odd report", "no report"],
)
def test_what_a_server_garbles_costs_its_attempt_alone(
    node: Node, body: str, headers: dict[str, str], status: int
) -> None:
    client, call = read(node, X_Call_Class="booking")
    call.answer(500, body, **headers)
    assert take(client).status == status
    client, call = read(node, "a2")
    call.serve("x")
    assert take(client).status == 200


def test_a_booking_whose_decode_server_answers_as_if_it_had_prefilled_is_not_sent_again(node: Node) -> None:
    """Such an answer counted as proof that it never ran, and the booking went to another server."""
    client, call = read(node, X_Call_Class="booking")
    call.answer(202, '{"cached_tokens":0}')
    assert take(client).status == 500
    assert node.writer[0].attempts() == 1


HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(text: str) -> bytes:
    return b"%x\r\n%s\r\n" % (len(text), text.encode())


@pytest.mark.parametrize("name", ["query", "booking"])
@pytest.mark.parametrize(
    ("spoilt", "head_complete"),
    [
        (b"\x08\x72\xb1 noise\r\n\r\n", False),
        (b"HTTP/1.1 2x0 OK\r\n\r\n", False),
        (b"HTTP/1.1 200 OK\r\nX: " + b"y" * 40_000, False),
        (b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100, False),
        (HEAD + b"zz\r\n", True),
        (HEAD + b"c0000000\r\n" + b"x" * 100_000, True),
        (HEAD + b"ff\r\n" + event("one").encode() + b"\r\n0\r\n\r\n" + b"x" * 255, True),
        (HEAD + chunk("data: {oops\n\n"), True),
        (HEAD + b"0\r\n\r\n", True),
    ],
    ids="noise status head interim size 3-GB misfit event empty".split(),
)
def test_an_answer_spoilt_before_its_first_event_costs_its_attempt(
    node: Node, name: str, spoilt: bytes, head_complete: bool
) -> None:
    client, call = read(node, X_Call_Class=name)
    call.raw(spoilt)
    if name == "query":
        node.writer[0].next().serve("x")
    answer = take(client)
    assert answer.status == (200 if name == "query" else 500)
    assert node.writer[0].attempts() == (2 if name == "query" else 1)
    if name == "booking" or not head_complete:  # else the stream's start has released what was held
        assert node.deleted.get(timeout=WAIT_S).path == "/internal/reservations/a1"


@pytest.mark.parametrize(
    "spoilt",
    [b"zz\r\n", b"-1\r\n", b"c0000000\r\n" + b"x" * 100_000, b"5\r\nmore than five\r\n", b"ff\r\nless"],
    ids="size negative 3-GB short long".split(),
)
def test_a_stream_spoilt_later_ends_its_client_without_the_last_chunk(node: Node, spoilt: bytes) -> None:
    client, call = read(node)
    started = time.monotonic()
    call.raw(HEAD + chunk(event("one")) + spoilt)
    with pytest.raises(http.client.IncompleteRead) as broken:
        take(client)
    assert broken.value.partial.startswith(event("one").encode())
    assert time.monotonic() - started < 5


@pytest.mark.parametrize(
    ("front", "report", "behind"),
    [
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n", "{}", b""),
        (b"", '{"x0":1e999,"x1":-1}', b""),
        (b"", "\x00[", b""),
        (b"", "{}", HEAD + chunk(event("another's")) + b"0\r\n\r\n"),
    ],
    ids="interim figures report second-answer".split(),
)
def test_a_good_answer_may_bring_more_than_belongs_to_it(
    node: Node, front: bytes, report: str, behind: bytes
) -> None:
    client, call = read(node, X_Call_Class="booking")
    call.raw(
        front + HEAD + chunk(event("one")) + chunk(f": X-Load-Report: {report}\n\n") + b"0\r\n\r\n" + behind
    )
    assert event("one").encode() in take(client).body
    client, call = read(node, "a2")
    call.serve("two")
    assert take(client).body.startswith(event("two").encode())


def test_when_kept_connections_break_a_booking_gets_a_new_one(node: Node) -> None:
    """A reset under it may mean that it ran; a query goes to the same reader again at once."""
    client, call = read(node)
    call.serve("x")
    assert take(client).status == 200
    threading.Event().wait(2 * MIN_SAFE_IDLE_S)  # behind a stream a connection rests for so long
    client = node.post("a2")
    node.reader[0].next().drop()
    node.reader[0].next().read()
    kept = node.writer[0].next()
    assert kept.port == call.port
    kept.serve("x")
    assert take(client).status == 200
    client, fresh = read(node, "a3", X_Call_Class="booking")
    assert fresh.port != call.port
    fresh.serve("x")
    assert take(client).status == 200
