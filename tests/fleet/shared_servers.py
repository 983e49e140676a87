"""Mixed stand-in servers shared by all members of a fleet, and what each member logs about their roles."""

from __future__ import annotations

import json
import queue
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

from tests.fleet.receiver import WAIT_LIMIT_S
from tests.loopback import Call, Node, StandIn, event, take

# Enough prompt and output tokens for a router to measure the pace of a server.
PROMPT_TOKENS, OUTPUT_TOKENS = 2000, 24
HELD_PREFIX = "held"  # name prefix of requests whose prefill is answered by the test
USAGE = {
    "prompt_tokens": PROMPT_TOKENS,
    "completion_tokens": OUTPUT_TOKENS,
    "prompt_tokens_details": {"cached_tokens": 0},
}


class ReceivedPost(NamedTuple):
    """A POST at a server. The first POST of a request is its prefill, the second is its decode."""

    request: str
    server: str
    read: bool


class Servers:
    """Stand-ins m0, m1, ..., which answer all requests at once, except prefills that the test holds."""

    def __init__(self, count: int) -> None:
        self._lock, self.posts, self._held = threading.Lock(), list[ReceivedPost](), queue.Queue[Call]()
        self.each = tuple(StandIn(self._take(f"m{n}")) for n in range(count))

    def _take(self, server: str) -> Callable[[Call], bool]:
        def auto(call: Call) -> bool:
            if call.method != "POST":
                call.answer(204)
                return True
            with self._lock:
                read = all(each.request != call.id for each in self.posts)
                self.posts.append(ReceivedPost(call.id, server, read))
            if read and call.id.startswith(HELD_PREFIX):
                self._held.put(call)
                return False
            if read:
                call.read()
            else:
                call.begin()
                for _ in range(3):
                    call.chunk(event("x"))
                call.chunk(f"data: {json.dumps({'choices': [], 'usage': USAGE})}\n\ndata: [DONE]\n\n")
                call.chunk("")
                call.done.set()
            return True

        return auto

    def held_prefills(self, count: int) -> list[Call]:
        """Waits for the next `count` held prefills."""
        return [self._held.get(timeout=WAIT_LIMIT_S) for _ in range(count)]

    def prefill_servers(self, requests: set[str]) -> set[str]:
        """The servers that received the prefills of these requests."""
        return {each.server for each in list(self.posts) if each.read and each.request in requests}

    def sent_too_often(self) -> list[str]:
        """Requests that were sent more than twice, that is, more than one prefill and one decode."""
        return [
            name for name, times in Counter(each.request for each in list(self.posts)).items() if times > 2
        ]

    def close(self) -> None:
        for each in self.each:
            each.close()


class MemberLog:
    """The log lines of a member since its start."""

    def __init__(self, node: Node) -> None:
        self._node, self._lines = node, list(node.skipped_lines)

    def lines(self, name: str) -> list[dict[str, Any]]:
        """The lines of an event that were logged so far."""
        while True:
            try:
                self._lines.append(self._node.lines.get_nowait())
            except queue.Empty:
                return [line for line in self._lines if line["event"] == name]

    def requested_roles(self) -> dict[str, tuple[int, int, str]]:
        """The token, number and role of the latest role change received for each server."""
        return {
            each["server"]: (each["token"], each["number"], each["role"])
            for each in self.lines("role_change_received")
        }

    def changed_servers(self) -> set[str]:
        """The servers that completed a role change."""
        return {each["server"] for each in self.lines("role_change_advanced") if each["state"] == "changed"}


class Traffic:
    """Sends requests one after the other, each from a different session."""

    def __init__(self, fleet_nodes: dict[str, Node]) -> None:
        self._nodes, self._count = fleet_nodes, 0

    def post(self, name: str, what: str = "a") -> tuple[str, Any]:
        """Sends a request to a member; returns its name and the connection to read the response from."""
        self._count += 1
        request = f"{what}{self._count}"
        headers: dict[str, Any] = {
            "X_Route_Hash": f"{self._count * 2654435761 % 2**64:016x}",
            "X_Budget_Ms": "60000",
        }
        headers |= {
            "X_Call_Info": f"prompt_len={PROMPT_TOKENS},max_out={2 * OUTPUT_TOKENS}",
            "X_Call_Class": "booking",
        }
        return request, self._nodes[name].post(request, **headers)

    def send_round(self, *names: str, times: int = 1) -> set[str]:
        """Sends `times` requests to each member and reads the responses; returns their names."""
        done = set[str]()
        for name in names * times:
            request, client = self.post(name)
            assert take(client).status == 200
            done.add(request)
        return done

    def wait_until(self, condition: Callable[[], bool], what: str, *names: str) -> None:
        """Sends rounds of requests until the condition holds."""
        deadline_s = time.monotonic() + WAIT_LIMIT_S
        while not condition():
            assert time.monotonic() < deadline_s, f"{what} was not reached in {WAIT_LIMIT_S} s"
            self.send_round(*names)
            time.sleep(0.02)  # interval between checks; the result does not depend on it
