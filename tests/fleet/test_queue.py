"""Three processes of a site share one queue; the lease holder that replays it is killed and replaced."""

from __future__ import annotations

import contextlib
import json
import time
from pathlib import Path
from queue import Empty

from tests.fleet.fleet import Fleet
from tests.loopback import WAIT_S, Answer, Call, Node, take

CHAT = 'enabled = true\nlisten = "127.0.0.1:0"\n[models]\nyard = "query"\nbook = "booking"\n'
TAKEOVER_LIMIT_S = 30.0  # upper bound for a busy machine; the lease of 1 s has to expire first


class Site(Fleet):
    """A fleet whose members have a chat front and share the queue of the site."""

    def _node(self, name: str) -> Node:
        self._files["chat.toml"] = CHAT
        self._files["queue.toml"] = f'enabled = true\npath = "{self._folder / "queue.db"}"\n'
        return super()._node(name)

    def holder(self, but: str = "") -> str:
        """Waits until a member other than `but` logs that it replays the queue; returns its name."""
        until = time.monotonic() + TAKEOVER_LIMIT_S
        while time.monotonic() < until:
            # Replay may have begun before the voter logged that its acceptor is active.
            while self._unprocessed:
                name, line = self._unprocessed.pop(0)
                if name != but and line["event"] == "replay_begun":
                    return name
            for name, node in self.nodes.items():
                with contextlib.suppress(Empty):
                    while name != but:
                        if node.lines.get(timeout=0.01)["event"] == "replay_begun":
                            return name
        raise AssertionError("no member began to replay in time")


def send_listing(node: Node, index: int, status: str) -> None:
    """Sends the endpoint list on all watches, abandoned ones included, and first on later watches."""
    line = json.dumps(node.listing(index, w0=status))
    node.initial_listing = lambda _: line
    watches = [node.watches.get(timeout=WAIT_S)]
    while not node.watches.empty():
        watches.append(node.watches.get())
    for watch in watches:
        with contextlib.suppress(OSError):
            watch.chunk(line + "\n")
        node.watches.put(watch)


def enqueue(node: Node, model: str) -> Answer:
    body = {"model": model, "messages": [{"role": "user", "content": "is room 14 free?"}]}
    return take(node.chat(body, Prefer="respond-async"))


def fetch(node: Node, location: str) -> Answer:
    client = node.client("chat")
    client.request("GET", location, headers={"X-Caller": "farm"})
    return take(client)


def queue_booking_during_partition(site: Site, first: Node, until: float) -> Answer:
    """Cuts the site off; returns the answer to a booking, which is queued once all members report it."""
    for node in site.nodes.values():
        send_listing(node, 8, "draining")
    response = enqueue(first, "book")
    while response.status != 202 and time.monotonic() < until:
        response = enqueue(first, "book")
    return response


def test_request_queued_at_a_killed_process_is_replayed_by_another(tmp_path: Path) -> None:
    with Site(tmp_path, duties=()) as site:
        holder = site.holder()
        until, first = time.monotonic() + TAKEOVER_LIMIT_S, site.nodes[holder]
        response = queue_booking_during_partition(site, first, until)
        locations = [response.headers["location"], enqueue(first, "yard").headers["location"]]
        others = [node for name, node in site.nodes.items() if name != holder]
        assert [fetch(node, location).status for node in others for location in locations] == [202] * 4
        site.kill(holder)
        site.holder(but=holder)
        for node in others:
            node.reader[0].answer_calls(Call.read)
            node.writer[0].answer_calls(lambda call: call.serve("yes"))
            send_listing(node, 9, "active")
        answers = [fetch(others[0], location) for location in locations]
        while 202 in {each.status for each in answers}:
            assert time.monotonic() < until + TAKEOVER_LIMIT_S
            answers = [fetch(others[0], location) for location in locations]
        # The query is served even if an attempt was begun. The booking is served or ends as unknown (409).
        assert answers[1].status == 200 and answers[0].status in (200, 409)
        seen = [call for node in site.nodes.values() for call in node.writer[0].seen if call.method == "POST"]
        bookings = [call.id for call in seen if call.headers.get("X-Call-Class") == "booking"]
        assert len(bookings) <= 1
