"""The chat front over real sockets: errors, refusals, and that every request ends once."""

import http.client
import json
from pathlib import Path
from typing import Any

import pytest

from tests.loopback import Call, Node, take
from tests.wire.clients.chat.helpers import BOOK, CHAT, HELLO, STREAM, text, writing


@pytest.mark.parametrize(
    ("told", "headers", "status", "code", "param"),
    [
        (b"{", {}, 400, "invalid_json", None),
        (b"[]", {}, 400, "invalid_json", None),
        ({"messages": HELLO["messages"]}, {}, 400, "missing_field", "model"),
        ({"model": "yard"}, {}, 400, "missing_field", "messages"),
        (HELLO | {"messages": "hi"}, {}, 400, "invalid_type", "messages"),
        (HELLO | {"messages": [{"role": "user"}]}, {}, 400, "invalid_message", "messages"),
        (HELLO | {"model": "other"}, {}, 404, "model_not_found", "model"),
        (HELLO | {"stream": "yes"}, {}, 400, "invalid_type", "stream"),
        (HELLO | {"max_tokens": 0}, {}, 400, "invalid_value", "max_tokens"),
        (HELLO | {"max_tokens": 10**400}, {}, 400, "invalid_json", None),
        (HELLO | {"max_tokens": 10**9}, {}, 400, "invalid_value", "max_tokens"),
        (HELLO | {"n": 2}, {}, 400, "unsupported_value", "n"),
        (HELLO, {"X_Call_Class": "none"}, 400, "unknown_class", "X-Call-Class"),
        (HELLO, {"X_Caller": "none"}, 400, "unknown_caller", "X-Caller"),
        (HELLO, {"X_Budget_Ms": "soon"}, 400, "invalid_value", "X-Budget-Ms"),
        (HELLO, {"Idempotency_Key": "k" * 257}, 400, "invalid_value", "Idempotency-Key"),
        (STREAM, {"Last_Event_ID": "chatcmpl-1:4"}, 404, "stream_not_found", "Last-Event-ID"),
        pytest.param(b"x" * (256 * 1024 + 1), {}, 413, "invalid_request", None, id="too long"),
    ],
)
def test_errors_name_what_is_wrong(
    node: Node, told: Any, headers: dict[str, str], status: int, code: str, param: str | None
) -> None:
    answer = take(node.chat(told, **headers))
    error = answer.json()["error"]
    assert (answer.status, error["code"], error["param"]) == (status, code, param)
    assert error["message"] and error["type"]
    assert not node.reader[0].seen


def test_a_deadline_that_passes_while_it_may_run_is_a_504(node: Node) -> None:
    client = node.chat(BOOK, X_Budget_Ms="400")
    call = writing(node)
    answer = take(client)
    assert (answer.status, answer.json()["error"]["code"]) == (504, "deadline_exceeded")
    call.drop()


def test_a_refusal_says_when_to_come_back(node: Node) -> None:
    client = node.chat(HELLO, X_Budget_Ms="300")
    answer = take(client)
    assert (answer.status, answer.json()["error"]["code"]) == (503, "overloaded")
    assert float(answer.headers["retry-after"]) > 0
    node.reader[0].next().drop()


def test_too_many_answers_under_way_are_a_429(tmp_path: Path) -> None:
    with Node(tmp_path, files={"chat.toml": CHAT.replace("[models]", "sessions = 1\n[models]")}) as node:
        client = node.chat(STREAM)
        call = writing(node)
        assert take(node.chat(STREAM)).status == 429
        call.serve("x")
        assert take(client).status == 200


def test_every_request_ends_exactly_once(node: Node) -> None:
    """A mix of ends, all open at the same time: one answer, one line of the ledger for each."""
    ends = ["served", "broken", "failed", "gone"] * 4
    calls: dict[str, Call] = {}
    clients = {}
    for number, how in enumerate(ends):
        told = BOOK | {"messages": [{"role": "user", "content": f"{how} {number}"}]}
        clients[f"{how} {number}"] = node.chat(told)
        call = writing(node)
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


def test_an_event_that_cannot_be_read_breaks_the_stream_and_is_no_fault_of_ours(node: Node) -> None:
    client = node.chat(STREAM)
    writing(node).begin().token("one").chunk("data: {oops\n\n")
    with pytest.raises(http.client.IncompleteRead):
        take(client)
    assert "event can't be read" in node.logged("attempt_reset")["error"]
