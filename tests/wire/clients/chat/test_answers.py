"""The chat front over real sockets: whole and streamed answers."""

import json
from pathlib import Path

from tests.loopback import Node, take
from tests.wire.clients.chat.helpers import CHAT, HELLO, STREAM, text, writing


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
