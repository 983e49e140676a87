"""The chat front over real sockets: its path, its errors, and the hard cases of streams that break."""

import http.client
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.loopback import Answer, Call, Node, take

CHAT = """
enabled = true
listen = "127.0.0.1:0"
[models]
yard = "query"
book = "booking"
"""
HELLO: dict[str, Any] = {"model": "yard", "messages": [{"role": "user", "content": "is room 14 free?"}]}
STREAM = HELLO | {"stream": True}
BOOK = STREAM | {"model": "book"}


@pytest.fixture
def node(tmp_path: Path) -> Iterator[Node]:
    with Node(tmp_path, files={"chat.toml": CHAT}) as node:
        yield node


def writing(node: Node) -> Call:
    """Let a request be read; give the call at the writer."""
    node.reader[0].next().read()
    return node.writer[0].next()


def text(body: bytes) -> str:
    """What the events of a stream say, whole or broken."""
    return "".join(
        choice["delta"].get("content", "")
        for line in body.splitlines()
        if line.startswith(b"data: {")
        for choice in json.loads(line[6:])["choices"]
    )


def first_id(answer: Any) -> str:
    """Read a stream's first event; give its id."""
    line: str = answer.readline().decode()
    assert line.startswith("id: ")
    for _ in range(2):
        answer.readline()
    return line[4:].strip()


def test_off_unless_enabled(tmp_path: Path) -> None:
    with Node(tmp_path, files={"chat.toml": CHAT.replace("true", "false")}) as node:
        assert set(node.listening) == {"platform"}


def test_a_whole_answer(node: Node) -> None:
    client = node.chat(HELLO | {"max_tokens": 50})
    call = writing(node)
    asked = json.loads(call.body)
    assert asked["stream"] is True and asked["max_tokens"] == 50 and asked["messages"] == HELLO["messages"]
    call.serve("yes, ", "two slots")
    told = take(client).json()
    assert told["object"] == "chat.completion" and told["model"] == "yard"
    assert told["choices"][0]["message"] == {"role": "assistant", "content": "yes, two slots"}
    assert told["usage"]["completion_tokens"] == 3


def test_a_streamed_answer(node: Node) -> None:
    client = node.chat(STREAM | {"stream_options": {"include_usage": True}})
    writing(node).serve("yes, ", "two slots")
    body = take(client).body
    assert text(body) == "yes, two slots" and body.endswith(b"data: [DONE]\n\n")
    chunks = [json.loads(line[6:]) for line in body.splitlines() if line.startswith(b"data: {")]
    assert chunks[0]["choices"][0]["delta"]["role"] == "assistant"
    assert chunks[-2]["choices"][0]["finish_reason"] == "stop" and chunks[-1]["usage"]["prompt_tokens"] == 9


def test_models_are_listed(node: Node) -> None:
    client = node.client("chat")
    client.request("GET", "/v1/models")
    assert [each["id"] for each in take(client).json()["data"]] == ["yard", "book"]


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


def resume(node: Node, question: Any, last: str) -> Answer:
    return take(node.chat(question, Last_Event_ID=last))


def test_a_broken_stream_goes_on_from_its_last_token(node: Node) -> None:
    client = node.chat(STREAM | {"max_tokens": 50})
    writing(node).begin().token("yes, ").token("two ").chunk('data: {"choi').drop()
    answer = client.getresponse()
    last = first_id(answer)  # the client has the first event only when the rest breaks
    again = node.chat(STREAM, Last_Event_ID=last)
    reading = node.reader[0].next()
    asked = json.loads(reading.body)
    assert asked["messages"][-1] == {"role": "assistant", "content": "yes, two "}
    assert asked["continue_final_message"] is True and asked["max_tokens"] == 48
    assert reading.id != node.reader[0].seen[0].id
    reading.read()
    node.writer[0].next().serve("slots", " free")
    rest = take(again).body
    assert text(rest) == "two slots free" and rest.endswith(b"data: [DONE]\n\n")
    # Whoever comes back once more gets the same, and nothing runs for it.
    assert text(resume(node, STREAM, last).body) == "two slots free"
    assert len(node.writer[0].seen) == 2


def test_a_try_to_go_on_that_is_refused_can_be_taken_up_again(node: Node) -> None:
    client = node.chat(STREAM)
    writing(node).begin().token("yes, ").drop()
    last = first_id(client.getresponse())
    node.logged("chat_ended")
    again = node.chat(STREAM, Last_Event_ID=last)
    for _ in range(5):  # reads enough for the decisions to give up
        node.reader[0].next().drop()
    answer = take(again)
    assert answer.status == 503 and "retry-after" in answer.headers
    again = node.chat(STREAM, Last_Event_ID=last)
    writing(node).serve("two slots")
    assert text(take(again).body) == "two slots"


def test_a_whole_answer_goes_on_by_itself_after_a_break(node: Node) -> None:
    client = node.chat(HELLO)
    writing(node).begin().token("yes, ").drop()
    writing(node).serve("two slots")
    assert take(client).json()["choices"][0]["message"]["content"] == "yes, two slots"


def test_a_whole_booking_that_breaks_is_a_500_and_not_run_again(node: Node) -> None:
    client = node.chat(BOOK | {"stream": False})
    writing(node).begin().token("booked ").drop()
    answer = take(client)
    assert (answer.status, answer.json()["error"]["code"]) == (500, "stream_broken")
    assert len(node.writer[0].seen) == 1


def test_a_client_that_returns_while_the_stream_runs_follows_it(node: Node) -> None:
    client = node.chat(STREAM)
    call = writing(node).begin().token("yes, ")
    answer = client.getresponse()
    last = first_id(answer)
    answer.close()
    client.close()
    again = node.chat(STREAM, Last_Event_ID=last)
    call.token("two").end()
    assert text(take(again).body) == "two"
    assert len(node.writer[0].seen) == 1


def test_a_booking_whose_client_leaves_as_its_stream_starts_runs_once(node: Node) -> None:
    client = node.chat(BOOK, Idempotency_Key="manifest-7")
    call = writing(node).begin().token("booked ")
    answer = client.getresponse()
    last = first_id(answer)
    answer.close()
    client.close()
    call.token("room 14").end()
    assert node.logged("request_ended")["how"] == "served"
    assert text(resume(node, BOOK, last).body) == "room 14"
    assert text(take(node.chat(BOOK, Idempotency_Key="manifest-7")).body) == "booked room 14"
    assert len(node.reader[0].seen) == len(node.writer[0].seen) == 1


def test_a_booking_whose_client_leaves_before_its_stream_is_not_run_again(node: Node) -> None:
    client = node.chat(BOOK, Idempotency_Key="manifest-8")
    call = writing(node)
    client.close()
    assert call.closed()
    call.drop()
    assert node.logged("request_ended")["how"] == "gone"
    answer = take(node.chat(BOOK, Idempotency_Key="manifest-8"))
    assert (answer.status, answer.json()["error"]["code"]) == (409, "may_have_run")
    assert len(node.writer[0].seen) == 1


def test_a_booking_that_breaks_is_not_run_again(node: Node) -> None:
    client = node.chat(BOOK)
    writing(node).begin().token("booked ").drop()
    last = first_id(client.getresponse())
    node.logged("chat_ended")
    answer = resume(node, BOOK, last)
    assert (answer.status, answer.json()["error"]["code"]) == (409, "may_have_run")
    assert len(node.writer[0].seen) == 1


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
