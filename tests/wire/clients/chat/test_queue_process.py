"""The whole program during a partition: requests are queued over sockets and replayed after a kill."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.loopback import WAIT_S, Answer, Call, Node, take

CHAT = """
enabled = true
listen = "127.0.0.1:0"
[models]
yard = "query"
book = "booking"
"""
ASK: dict[str, Any] = {"model": "yard", "messages": [{"role": "user", "content": "is room 14 free?"}]}


@pytest.fixture
def node(tmp_path: Path) -> Iterator[Node]:
    queue = f'enabled = true\npath = "{tmp_path / "queue.db"}"\n'
    with Node(tmp_path, files={"chat.toml": CHAT, "queue.toml": queue}) as each:
        yield each


def request_entry(node: Node, location: str, method: str = "GET") -> Answer:
    client = node.client("chat")
    client.request(method, location, headers={"X-Caller": "farm"})
    return take(client)


def wait_for_site_state(node: Node, state: str) -> None:
    while node.logged("site_state_changed")["state"] != state:
        continue


def publish_decode_server_status(node: Node, index: int, status: str) -> None:
    """Send a discovery event with a new status of the decode server."""
    watch = node.watches.get(timeout=WAIT_S)
    watch.chunk(json.dumps(node.listing(index, w0=status)) + "\n")
    node.watches.put(watch)


def described(node: Node, location: str, response: Answer) -> str:
    """The state of a queued request, and all log lines that no test step has consumed yet."""
    lines = list[dict[str, Any]]()
    while not node.lines.empty():
        lines.append(node.lines.get())
    log = "\n".join(json.dumps(line) for line in lines)
    return f"{location}: {response.status} {response.body!r}\n{log}"


def test_requests_queued_during_a_partition_are_replayed_by_the_restarted_process(node: Node) -> None:
    publish_decode_server_status(node, 8, "draining")  # the only decode server
    wait_for_site_state(node, "cut_off")
    requests = (ASK, ASK | {"model": "book"})
    accepted = [take(node.chat(request, Prefer="respond-async")) for request in requests]
    assert [response.status for response in accepted] == [202, 202]
    assert take(node.chat(ASK)).status == 503  # without the preference it is rejected
    locations = [response.headers["location"] for response in accepted]
    assert [request_entry(node, location).status for location in locations] == [202, 202]
    node.kill()
    node.start(node.folder)
    assert [request_entry(node, location).status for location in locations] == [202, 202]
    node.reader[0].answer_calls(Call.read)  # the persisted endpoints include the decode server
    node.writer[0].answer_calls(lambda call: call.serve("yes, ", "two slots"))
    deadline_s = time.monotonic() + WAIT_S
    responses = [request_entry(node, location) for location in locations]
    while {response.status for response in responses} != {200} and time.monotonic() < deadline_s:
        responses = [request_entry(node, location) for location in locations]
    for location, response in zip(locations, responses, strict=True):
        assert response.status == 200, described(node, location, response)
        assert response.json()["choices"][0]["message"]["content"] == "yes, two slots"
    assert request_entry(node, locations[0], "DELETE").status == 409
    ids = [call.id for call in node.writer[0].seen if call.method == "POST"]
    assert len(ids) == len(set(ids)) >= 2  # no attempt reached it twice


def test_a_queue_without_the_chat_front_is_rejected_at_start(tmp_path: Path) -> None:
    queue = f'enabled = true\npath = "{tmp_path / "queue.db"}"\n'
    node = Node(tmp_path, files={"queue.toml": queue})
    with pytest.raises(AssertionError, match="chat.toml"), node:
        pass
