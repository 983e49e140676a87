"""Servers that do both, shared by all members of a fleet, and what each member logs about their roles."""

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

PROMPT, ANSWER = 2000, 24  # tokens: enough of both that a conductor takes a pace from them
HELD = "held"  # requests so named have their read answered by the test
USAGE = {"prompt_tokens": PROMPT, "completion_tokens": ANSWER, "prompt_tokens_details": {"cached_tokens": 0}}


class Came(NamedTuple):
    """One POST at one server; the first of a request is its read, the second fetches what was read."""

    request: str
    server: str
    read: bool


class Servers:
    """Stand-ins m0, m1, ...; they answer reads and streams at once, save reads that are held."""

    def __init__(self, count: int) -> None:
        self._lock, self.came, self._held = threading.Lock(), list[Came](), queue.Queue[Call]()
        self.each = tuple(StandIn(self._take(f"m{n}")) for n in range(count))

    def _take(self, server: str) -> Callable[[Call], bool]:
        def auto(call: Call) -> bool:
            if call.method != "POST":
                call.answer(204)
                return True
            with self._lock:
                read = all(each.request != call.id for each in self.came)
                self.came.append(Came(call.id, server, read))
            if read and call.id.startswith(HELD):
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

    def held(self, count: int) -> list[Call]:
        """The next reads that are held."""
        return [self._held.get(timeout=WAIT_LIMIT_S) for _ in range(count)]

    def reads(self, requests: set[str]) -> set[str]:
        """Servers that got the reads of these requests."""
        return {each.server for each in list(self.came) if each.read and each.request in requests}

    def twice(self) -> list[str]:
        """Requests that were sent more often than to be read once and fetched once."""
        return [
            name for name, times in Counter(each.request for each in list(self.came)).items() if times > 2
        ]

    def close(self) -> None:
        for each in self.each:
            each.close()


class Story:
    """All that one member logs, from its start on."""

    def __init__(self, node: Node) -> None:
        self._node, self._lines = node, list(node.skipped_lines)

    def lines(self, name: str) -> list[dict[str, Any]]:
        """Those of an event, as far as they have come."""
        while True:
            try:
                self._lines.append(self._node.lines.get_nowait())
            except queue.Empty:
                return [line for line in self._lines if line["event"] == name]

    def asked(self) -> dict[str, tuple[int, int, str]]:
        """Token, number and role last asked of each server."""
        return {
            each["server"]: (each["token"], each["number"], each["role"])
            for each in self.lines("role_change_received")
        }

    def changed(self) -> set[str]:
        """Servers that have come to a new role."""
        return {each["server"] for each in self.lines("role_change_advanced") if each["state"] == "changed"}


class Traffic:
    """Requests, each from a session of its own, one after the other."""

    def __init__(self, fleet_nodes: dict[str, Node]) -> None:
        self._nodes, self._count = fleet_nodes, 0

    def post(self, name: str, what: str = "a") -> tuple[str, Any]:
        """Begin one at a member; its name and what to take its answer from."""
        self._count += 1
        request = f"{what}{self._count}"
        told: dict[str, Any] = {
            "X_Route_Hash": f"{self._count * 2654435761 % 2**64:016x}",
            "X_Budget_Ms": "60000",
        }
        told |= {"X_Call_Info": f"prompt_len={PROMPT},max_out={2 * ANSWER}", "X_Call_Class": "booking"}
        return request, self._nodes[name].post(request, **told)

    def round(self, *names: str, times: int = 1) -> set[str]:
        """So many at each of these members; their names."""
        done = set[str]()
        for name in names * times:
            request, client = self.post(name)
            assert take(client).status == 200
            done.add(request)
        return done

    def until(self, holds: Callable[[], bool], what: str, *names: str) -> None:
        """Rounds until that holds."""
        until_s = time.monotonic() + WAIT_LIMIT_S
        while not holds():
            assert time.monotonic() < until_s, f"{what} did not come in {WAIT_LIMIT_S} s"
            self.round(*names)
            time.sleep(0.02)  # between looks; nothing hangs on how long
