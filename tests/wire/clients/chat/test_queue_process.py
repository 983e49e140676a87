"""The real program at a site that is cut off: queued over sockets, killed, and replayed by its successor."""

from __future__ import annotations

import contextlib
import json
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.loopback import WAIT_S, Answer, Call, Node, StandIn, take

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


def fetch(node: Node, place: str, method: str = "GET") -> Answer:
    client = node.client("chat")
    client.request(method, place, headers={"X-Caller": "farm"})
    return take(client)


def answer(server: StandIn, how: Callable[[Call], object]) -> None:
    """Answer all that comes, also what a process asked for that has ended since."""

    def run() -> None:
        while True:
            call = server.calls.get()
            with contextlib.suppress(OSError):
                how(call)

    threading.Thread(target=run, daemon=True).start()


def state(node: Node, wanted: str) -> None:
    while node.logged("site_state")["state"] != wanted:
        continue


def tell(node: Node, index: int, status: str) -> None:
    """Discovery says how the writer is."""
    watch = node.watches.get(timeout=WAIT_S)
    watch.chunk(json.dumps(node.listing(index, w0=status)) + "\n")
    node.watches.put(watch)


def test_queued_while_cut_off_and_replayed_by_the_next_process_once_it_is_back(node: Node) -> None:
    tell(node, 8, "draining")  # no writer is left
    state(node, "cut_off")
    asked = [take(node.chat(each, Prefer="respond-async")) for each in (ASK, ASK | {"model": "book"})]
    assert [each.status for each in asked] == [202, 202]
    assert take(node.chat(ASK)).status == 503  # who doesn't ask for it is refused as ever
    places = [each.headers["location"] for each in asked]
    assert [fetch(node, place).status for place in places] == [202, 202]
    node.kill()
    node.start(node.folder)
    assert [fetch(node, place).status for place in places] == [202, 202]
    answer(node.reader[0], Call.read)  # the list that it starts with has the writer
    answer(node.writer[0], lambda call: call.serve("yes, ", "two slots"))
    until = time.monotonic() + WAIT_S
    answers = [fetch(node, place) for place in places]
    while {each.status for each in answers} != {200} and time.monotonic() < until:
        answers = [fetch(node, place) for place in places]
    for each in answers:
        assert each.json()["choices"][0]["message"]["content"] == "yes, two slots"
    assert fetch(node, places[0], "DELETE").status == 409
    ids = [call.id for call in node.writer[0].seen if call.method == "POST"]
    assert len(ids) == len(set(ids)) >= 2  # nothing ran twice at the writer


def test_the_queue_needs_the_chat_front(tmp_path: Path) -> None:
    queue = f'enabled = true\npath = "{tmp_path / "queue.db"}"\n'
    node = Node(tmp_path, files={"queue.toml": queue})
    with pytest.raises(AssertionError, match="chat.toml"), node:
        pass
