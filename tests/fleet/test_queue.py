"""A site of three processes at one queue, under leases: cut off, its holder killed, replayed by another."""

from __future__ import annotations

import contextlib
import json
import time
from pathlib import Path
from queue import Empty

from tests.fleet.fleet import Fleet
from tests.loopback import WAIT_S, Answer, Call, Node, take

CHAT = 'enabled = true\nlisten = "127.0.0.1:0"\n[models]\nyard = "query"\nbook = "booking"\n'
FOLLOWED_S = 30.0  # a busy machine's bound: a lease of 1 s has to run out first


class Site(Fleet):
    """Each has a chat front and the site's one queue."""

    def _node(self, name: str) -> Node:
        self._files["chat.toml"] = CHAT
        self._files["queue.toml"] = f'enabled = true\npath = "{self._folder / "queue.db"}"\n'
        return super()._node(name)

    def holder(self, but: str = "") -> str:
        """Who has begun to replay, of those that are left."""
        until = time.monotonic() + FOLLOWED_S
        while time.monotonic() < until:
            while self._passed:  # it may have begun before it said that it votes
                name, line = self._passed.pop(0)
                if name != but and line["event"] == "replay_begun":
                    return name
            for name, node in self.nodes.items():
                with contextlib.suppress(Empty):
                    while name != but:
                        if node.lines.get(timeout=0.01)["event"] == "replay_begun":
                            return name
        raise AssertionError("nobody replays")


def tell(node: Node, index: int, status: str) -> None:
    """On the watches that there are, given up by their process or not, and first of all on later ones."""
    line = json.dumps(node.listing(index, w0=status))
    node.initial_listing = lambda _: line
    watches = [node.watches.get(timeout=WAIT_S)]
    while not node.watches.empty():
        watches.append(node.watches.get())
    for watch in watches:
        with contextlib.suppress(OSError):
            watch.chunk(line + "\n")
        node.watches.put(watch)


def ask(node: Node, model: str) -> Answer:
    body = {"model": model, "messages": [{"role": "user", "content": "is room 14 free?"}]}
    return take(node.chat(body, Prefer="respond-async"))


def fetch(node: Node, place: str) -> Answer:
    client = node.client("chat")
    client.request("GET", place, headers={"X-Caller": "farm"})
    return take(client)


def test_queued_at_one_process_and_replayed_by_another_after_the_holder_was_killed(tmp_path: Path) -> None:
    with Site(tmp_path, duties=()) as site:
        holder = site.holder()
        for node in site.nodes.values():
            tell(node, 8, "draining")
        until, first = time.monotonic() + FOLLOWED_S, site.nodes[holder]
        asked = ask(first, "book")
        while asked.status != 202 and time.monotonic() < until:  # cut off once all three say so
            asked = ask(first, "book")
        places = [asked.headers["location"], ask(first, "yard").headers["location"]]
        others = [node for name, node in site.nodes.items() if name != holder]
        assert [fetch(node, place).status for node in others for place in places] == [202] * 4
        site.kill(holder)
        site.holder(but=holder)
        for node in others:
            node.reader[0].answer_calls(Call.read)
            node.writer[0].answer_calls(lambda call: call.serve("yes"))
            tell(node, 9, "active")
        answers = [fetch(others[0], place) for place in places]
        while 202 in {each.status for each in answers}:
            assert time.monotonic() < until + FOLLOWED_S
            answers = [fetch(others[0], place) for place in places]
        # The query is served whatever was begun; the booking is too, or has an end that says so.
        assert answers[1].status == 200 and answers[0].status in (200, 409)
        seen = [call for node in site.nodes.values() for call in node.writer[0].seen if call.method == "POST"]
        bookings = [call.id for call in seen if call.headers.get("X-Call-Class") == "booking"]
        assert len(bookings) <= 1
