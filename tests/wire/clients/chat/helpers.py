"""Requests to the chat front, and helpers to read its streams."""

import json
from typing import Any

from tests.loopback import Answer, Call, Node, take

CHAT = """
enabled = true
listen = "127.0.0.1:0"
[models]
yard = "query"
book = "booking"
"""
CHAT_REQUEST: dict[str, Any] = {
    "model": "yard",
    "messages": [{"role": "user", "content": "is room 14 free?"}],
}
STREAM_REQUEST = CHAT_REQUEST | {"stream": True}
BOOKING_REQUEST = STREAM_REQUEST | {"model": "book"}


def wait_for_decode(node: Node) -> Call:
    """Complete a request's prefill; return the call at the decode server."""
    node.reader[0].next().read()
    return node.writer[0].next()


def text(body: bytes) -> str:
    """The text in the events of a stream, whether complete or broken off."""
    return "".join(
        choice["delta"].get("content", "")
        for line in body.splitlines()
        if line.startswith(b"data: {")
        for choice in json.loads(line[6:])["choices"]
    )


def read_first_event_id(answer: Any) -> str:
    """Read a stream's first event; return its id."""
    line: str = answer.readline().decode()
    assert line.startswith("id: ")
    for _ in range(2):
        answer.readline()
    return line[4:].strip()


def resume(node: Node, chat_request: Any, last_event_id: str) -> Answer:
    return take(node.chat(chat_request, Last_Event_ID=last_event_id))
