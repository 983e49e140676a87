"""The chat front over real sockets: responses with and without streaming."""

import json
from pathlib import Path

from tests.loopback import Node, take
from tests.wire.clients.chat.helpers import CHAT, CHAT_REQUEST, STREAM_REQUEST, text, wait_for_decode


def test_chat_front_is_off_unless_enabled(tmp_path: Path) -> None:
    with Node(tmp_path, files={"chat.toml": CHAT.replace("true", "false")}) as node:
        assert set(node.listening) == {"platform"}


def test_response_without_streaming(node: Node) -> None:
    client = node.chat(CHAT_REQUEST | {"max_tokens": 50})
    call = wait_for_decode(node)
    server_request = json.loads(call.body)
    assert (
        server_request["stream"] is True
        and server_request["max_tokens"] == 50
        and server_request["messages"] == CHAT_REQUEST["messages"]
    )
    call.serve("yes, ", "two slots")
    completion = take(client).json()
    assert completion["object"] == "chat.completion" and completion["model"] == "yard"
    assert completion["choices"][0]["message"] == {"role": "assistant", "content": "yes, two slots"}
    assert completion["usage"]["completion_tokens"] == 3


def test_streamed_response(node: Node) -> None:
    client = node.chat(STREAM_REQUEST | {"stream_options": {"include_usage": True}})
    wait_for_decode(node).serve("yes, ", "two slots")
    body = take(client).body
    assert text(body) == "yes, two slots" and body.endswith(b"data: [DONE]\n\n")
    chunks = [json.loads(line[6:]) for line in body.splitlines() if line.startswith(b"data: {")]
    assert chunks[0]["choices"][0]["delta"]["role"] == "assistant"
    assert chunks[-2]["choices"][0]["finish_reason"] == "stop" and chunks[-1]["usage"]["prompt_tokens"] == 9


def test_models_are_listed(node: Node) -> None:
    client = node.client("chat")
    client.request("GET", "/v1/models")
    assert [each["id"] for each in take(client).json()["data"]] == ["yard", "book"]
