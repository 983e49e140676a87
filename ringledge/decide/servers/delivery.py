"""Whether what was written to a kept connection has arrived; free of I/O and clocks.

A machine that is cut off says nothing: what is written to a connection from before simply stays
unanswered, like a request that waits in a queue. A new connection tells the two apart, for it comes up
within milliseconds or never. So a server that owes an answer for a while, and was not heard since by any
other call, is tried.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from ringledge.decide.servers.reachability import Reachability

CHECK_MS = 250.0  # without a word: longer than most reads take, and half of what a state may be held
AGAIN_MS = 1_500.0  # after a check: what waits still is in a queue, and a connection costs the server work


class Arrivals:
    """Whom to check, and what a check that failed tells; at most one check is out to a server."""

    def __init__(self, reach: Reachability) -> None:
        self._reach = reach
        self._checked: dict[str, float] = {}  # when the last check came up; inf while one is out

    def due(self, now_ms: float, waiting: Iterable[tuple[str, float]]) -> list[str]:
        """Servers to check: of those that owe answers to what was written to kept connections, and when."""
        due = list[str]()
        for server, written_ms in waiting:
            last_ms = max(written_ms, self._reach.heard_ms(server))
            if now_ms - last_ms < CHECK_MS or now_ms - self._checked.get(server, -inf) < AGAIN_MS:
                continue
            self._checked[server] = inf
            due.append(server)
        return due

    def checked(self, now_ms: float, server: str) -> None:
        """The check is over, however it went."""
        self._checked = {name: at_ms for name, at_ms in self._checked.items() if now_ms - at_ms < AGAIN_MS}
        self._checked[server] = now_ms

    def lost(self, server: str, written_ms: float) -> bool:
        """Whether what was written then is given up, behind a check that failed."""
        return self._reach.heard_ms(server) <= written_ms
