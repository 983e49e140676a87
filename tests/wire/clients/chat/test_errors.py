"""The chat front over real sockets: errors and rejections; every request ends exactly once."""

import http.client
import json
from pathlib import Path
from typing import Any

import pytest

from tests.loopback import Call, Node, take
from tests.wire.clients.chat.helpers import (
    BOOKING_REQUEST,
    CHAT,
    CHAT_REQUEST,
    STREAM_REQUEST,
    text,
    wait_for_decode,
)


@pytest.mark.parametrize(
    ("chat_request", "headers", "status", "code", "param"),
    [
        (b"{", {}, 400, "invalid_json", None),
        (b"[]", {}, 400, "invalid_json", None),
        ({"messages": CHAT_REQUEST["messages"]}, {}, 400, "missing_field", "model"),
        ({"model": "yard"}, {}, 400, "missing_field", "messages"),
        (CHAT_REQUEST | {"messages": "hi"}, {}, 400, "invalid_type", "messages"),
        (CHAT_REQUEST | {"messages": [{"role": "user"}]}, {}, 400, "invalid_message", "messages"),
        (CHAT_REQUEST | {"model": "other"}, {}, 404, "model_not_found", "model"),
        (CHAT_REQUEST | {"stream": "yes"}, {}, 400, "invalid_type", "stream"),
        (CHAT_REQUEST | {"max_tokens": 0}, {}, 400, "invalid_value", "max_tokens"),
        (CHAT_REQUEST | {"max_tokens": 10**400}, {}, 400, "invalid_json", None),
        (CHAT_REQUEST | {"max_tokens": 10**9}, {}, 400, "invalid_value", "max_tokens"),
        (CHAT_REQUEST | {"n": 2}, {}, 400, "unsupported_value", "n"),
        (CHAT_REQUEST, {"X_Call_Class": "none"}, 400, "unknown_class", "X-Call-Class"),
        (CHAT_REQUEST, {"X_Caller": "none"}, 400, "unknown_caller", "X-Caller"),
        (CHAT_REQUEST, {"X_Budget_Ms": "soon"}, 400, "invalid_value", "X-Budget-Ms"),
        (CHAT_REQUEST, {"Idempotency_Key": "k" * 257}, 400, "invalid_value", "Idempotency-Key"),
        (STREAM_REQUEST, {"Last_Event_ID": "chatcmpl-1:4"}, 404, "stream_not_found", "Last-Event-ID"),
        pytest.param(b"x" * (256 * 1024 + 1), {}, 413, "invalid_request", None, id="too long"),
    ],
)
def test_error_names_the_invalid_field(
    node: Node, chat_request: Any, headers: dict[str, str], status: int, code: str, param: str | None
) -> None:
    answer = take(node.chat(chat_request, **headers))
    error = answer.json()["error"]
    assert (answer.status, error["code"], error["param"]) == (status, code, param)
    assert error["message"] and error["type"]
    assert not node.reader[0].seen


def test_deadline_exceeded_after_request_may_have_run_gets_504(node: Node) -> None:
    client = node.chat(BOOKING_REQUEST, X_Budget_Ms="400")
    call = wait_for_decode(node)
    answer = take(client)
    assert (answer.status, answer.json()["error"]["code"]) == (504, "deadline_exceeded")
    call.drop()


def test_rejection_has_retry_after(node: Node) -> None:
    client = node.chat(CHAT_REQUEST, X_Budget_Ms="300")
    answer = take(client)
    assert (answer.status, answer.json()["error"]["code"]) == (503, "overloaded")
    assert float(answer.headers["retry-after"]) > 0
    node.reader[0].next().drop()


def test_too_many_sessions_get_429(tmp_path: Path) -> None:
    with Node(tmp_path, files={"chat.toml": CHAT.replace("[models]", "sessions = 1\n[models]")}) as node:
        client = node.chat(STREAM_REQUEST)
        call = wait_for_decode(node)
        assert take(node.chat(STREAM_REQUEST)).status == 429
        call.serve("x")
        assert take(client).status == 200


def test_every_request_ends_exactly_once(node: Node) -> None:
    """Concurrent requests with different outcomes each get one response and one log line."""
    ends = ["served", "broken", "failed", "gone"] * 4
    calls: dict[str, Call] = {}
    clients = {}
    for number, how in enumerate(ends):
        chat_request = BOOKING_REQUEST | {"messages": [{"role": "user", "content": f"{how} {number}"}]}
        clients[f"{how} {number}"] = node.chat(chat_request)
        call = wait_for_decode(node)
        calls[json.loads(call.body)["messages"][0]["content"]] = call
    assert calls.keys() == clients.keys()
    expected = {}
    for name, call in calls.items():
        how = name.split()[0]
        expected[call.id] = how
        if how == "served":
            call.serve("x")
            assert text(take(clients[name]).body) == "x"
        elif how == "broken":
            call.begin().token("x").drop()
            assert clients[name].getresponse().status == 200
        elif how == "failed":
            call.answer(500)
            assert take(clients[name]).status == 500
        else:
            clients[name].close()
            assert call.closed()
            call.drop()
    ended: dict[str, str] = {}
    for _ in ends:
        line = node.logged("request_ended")
        assert line["request"] not in ended
        ended[line["request"]] = line["how"]
    assert ended == expected
    assert sum(call.method == "POST" for call in node.writer[0].seen) == len(ends)


def test_malformed_event_from_server_breaks_the_stream_as_attempt_reset(node: Node) -> None:
    client = node.chat(STREAM_REQUEST)
    wait_for_decode(node).begin().token("one").chunk("data: {oops\n\n")
    with pytest.raises(http.client.IncompleteRead):
        take(client)
    assert "event can't be read" in node.logged("attempt_reset")["error"]


def test_request_that_is_nested_too_deeply_to_be_passed_on_is_rejected_and_takes_no_place(
    tmp_path: Path,
) -> None:
    """Guards against a session without a request: its repeats got no answer, its place was lost for good."""
    nested = json.dumps(BOOKING_REQUEST)[:-1].encode() + b', "x": ' + b"[" * 300 + b"]" * 300 + b"}"
    with Node(tmp_path, files={"chat.toml": CHAT.replace("[models]", "sessions = 2\n[models]")}) as node:
        for number in range(4):
            answer = take(node.chat(nested, Idempotency_Key=f"k{number // 2}"))
            assert (answer.status, answer.json()["error"]["code"]) == (400, "invalid_json")
        client = node.chat(BOOKING_REQUEST, Idempotency_Key="k0")
        wait_for_decode(node).serve("booked")
        assert take(client).status == 200
