"""The chat front over real sockets: streams that break and go on."""

import json

from tests.loopback import Node, take
from tests.wire.clients.chat.helpers import HELLO, STREAM, first_id, resume, text, writing


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
    assert node.writer[0].attempts() == 2


def test_a_try_to_go_on_that_is_refused_can_be_taken_up_again(node: Node) -> None:
    client = node.chat(STREAM)
    writing(node).begin().token("yes, ").drop()
    last = first_id(client.getresponse())
    node.logged("chat_ended")
    again = node.chat(STREAM, Last_Event_ID=last)
    for _ in range(3):  # a kept connection's end is no failure; of others one server may have two
        node.reader[0].next().drop()
    answer = take(again)
    assert answer.status == 503 and "retry-after" in answer.headers
    assert [call.method for call in node.reader[0].seen].count("POST") == 1 + 3
    again = node.chat(STREAM, Last_Event_ID=last)
    writing(node).serve("two slots")
    assert text(take(again).body) == "two slots"


def test_a_whole_answer_goes_on_by_itself_after_a_break(node: Node) -> None:
    client = node.chat(HELLO)
    writing(node).begin().token("yes, ").drop()
    writing(node).serve("two slots")
    assert take(client).json()["choices"][0]["message"]["content"] == "yes, two slots"


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
    assert node.writer[0].attempts() == 1
