"""Malformed responses of servers, over real sockets."""

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
def test_malformed_error_response_fails_only_its_attempt(
    node: Node, body: str, headers: dict[str, str], status: int
) -> None:
    client, call = read(node, X_Call_Class="booking")
    call.answer(500, body, **headers)
    assert take(client).status == status
    client, call = read(node, "a2")
    call.serve("x")
    assert take(client).status == 200


def test_at_most_once_request_is_not_retried_after_a_202_to_its_decode(node: Node) -> None:
    """Guards against a retry at another server because a 202 was taken as proof that the decode never ran."""
    client, call = read(node, X_Call_Class="booking")
    call.answer(202, '{"cached_tokens":0}')
    assert take(client).status == 500
    assert node.writer[0].attempts() == 1


HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(text: str) -> bytes:
    return b"%x\r\n%s\r\n" % (len(text), text.encode())


@pytest.mark.parametrize("name", ["query", "booking"])
@pytest.mark.parametrize(
    ("malformed", "head_complete"),
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
def test_response_malformed_before_its_first_event_fails_its_attempt(
    node: Node, name: str, malformed: bytes, head_complete: bool
) -> None:
    client, call = read(node, X_Call_Class=name)
    call.raw(malformed)
    if name == "query":
        node.writer[0].next().serve("x")
    answer = take(client)
    assert answer.status == (200 if name == "query" else 500)
    assert node.writer[0].attempts() == (2 if name == "query" else 1)
    if name == "booking" or not head_complete:  # else the start of the stream has released the entry
        assert node.deleted.get(timeout=WAIT_S).path == "/internal/reservations/a1"


@pytest.mark.parametrize(
    "malformed",
    [b"zz\r\n", b"-1\r\n", b"c0000000\r\n" + b"x" * 100_000, b"5\r\nmore than five\r\n", b"ff\r\nless"],
    ids="size negative 3-GB short long".split(),
)
def test_stream_malformed_after_its_first_event_is_cut_off_without_a_last_chunk(
    node: Node, malformed: bytes
) -> None:
    client, call = read(node)
    started_s = time.monotonic()
    call.raw(HEAD + chunk(event("one")) + malformed)
    with pytest.raises(http.client.IncompleteRead) as error_info:
        take(client)
    assert error_info.value.partial.startswith(event("one").encode())
    assert time.monotonic() - started_s < 5


@pytest.mark.parametrize(
    ("before", "report", "after"),
    [
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n", "{}", b""),
        (b"", '{"x0":1e999,"x1":-1}', b""),
        (b"", "\x00[", b""),
        (b"", "{}", HEAD + chunk(event("another's")) + b"0\r\n\r\n"),
    ],
    ids="interim figures report second-answer".split(),
)
def test_valid_response_with_surplus_data_is_relayed(
    node: Node, before: bytes, report: str, after: bytes
) -> None:
    client, call = read(node, X_Call_Class="booking")
    end = chunk("data: [DONE]\n\n") + chunk(f": X-Load-Report: {report}\n\n") + b"0\r\n\r\n"
    call.raw(before + HEAD + chunk(event("one")) + end + after)
    assert event("one").encode() in take(client).body
    client, call = read(node, "a2")
    call.serve("two")
    assert take(client).body.startswith(event("two").encode())


def test_at_most_once_request_gets_a_new_connection_after_a_reused_one_broke(node: Node) -> None:
    """A reset may mean that the request has run; a retryable one is sent to the same reader again at once."""
    client, call = read(node)
    call.serve("x")
    assert take(client).status == 200
    threading.Event().wait(
        2 * MIN_SAFE_IDLE_S
    )  # after a stream, a connection is reused only after this idle time
    client = node.post("a2")
    node.reader[0].next().drop()
    node.reader[0].next().read()
    reused = node.writer[0].next()
    assert reused.port == call.port
    reused.serve("x")
    assert take(client).status == 200
    client, fresh = read(node, "a3", X_Call_Class="booking")
    assert fresh.port != call.port
    fresh.serve("x")
    assert take(client).status == 200
