"""The chat front over real sockets: streams that break off and are resumed."""

import json

from tests.loopback import Node, take
from tests.wire.clients.chat.helpers import (
    CHAT_REQUEST,
    STREAM_REQUEST,
    read_first_event_id,
    resume,
    text,
    wait_for_decode,
)


def test_broken_stream_is_resumed_after_its_last_event(node: Node) -> None:
    client = node.chat(STREAM_REQUEST | {"max_tokens": 50})
    wait_for_decode(node).begin().token("yes, ").token("two ").chunk('data: {"choi').drop()
    answer = client.getresponse()
    last_event_id = read_first_event_id(answer)  # only the first event is read before the break
    resumed = node.chat(STREAM_REQUEST, Last_Event_ID=last_event_id)
    prefill = node.reader[0].next()
    server_request = json.loads(prefill.body)
    assert server_request["messages"][-1] == {"role": "assistant", "content": "yes, two "}
    assert server_request["continue_final_message"] is True and server_request["max_tokens"] == 48
    assert prefill.id != node.reader[0].seen[0].id
    prefill.read()
    node.writer[0].next().serve("slots", " free")
    remainder = take(resumed).body
    assert text(remainder) == "two slots free" and remainder.endswith(b"data: [DONE]\n\n")
    # Resuming once more gives the same events, and no further request runs.
    assert text(resume(node, STREAM_REQUEST, last_event_id).body) == "two slots free"
    assert node.writer[0].attempts() == 2


def test_rejected_resume_can_be_retried(node: Node) -> None:
    client = node.chat(STREAM_REQUEST)
    wait_for_decode(node).begin().token("yes, ").drop()
    last_event_id = read_first_event_id(client.getresponse())
    node.logged("chat_ended")
    resumed = node.chat(STREAM_REQUEST, Last_Event_ID=last_event_id)
    for _ in range(3):  # the end of a reused connection is no failure; after that, a server may fail twice
        node.reader[0].next().drop()
    answer = take(resumed)
    assert answer.status == 503 and "retry-after" in answer.headers
    assert [call.method for call in node.reader[0].seen].count("POST") == 1 + 3
    resumed = node.chat(STREAM_REQUEST, Last_Event_ID=last_event_id)
    wait_for_decode(node).serve("two slots")
    assert text(take(resumed).body) == "two slots"


def test_broken_response_without_streaming_is_continued_automatically(node: Node) -> None:
    client = node.chat(CHAT_REQUEST)
    wait_for_decode(node).begin().token("yes, ").drop()
    wait_for_decode(node).serve("two slots")
    assert take(client).json()["choices"][0]["message"]["content"] == "yes, two slots"


def test_client_that_reconnects_follows_the_running_stream(node: Node) -> None:
    client = node.chat(STREAM_REQUEST)
    call = wait_for_decode(node).begin().token("yes, ")
    answer = client.getresponse()
    last_event_id = read_first_event_id(answer)
    answer.close()
    client.close()
    resumed = node.chat(STREAM_REQUEST, Last_Event_ID=last_event_id)
    call.token("two").end()
    assert text(take(resumed).body) == "two"
    assert node.writer[0].attempts() == 1
