"""When each server's process started, on this machine's monotonic clock; free of I/O and clocks.

Discovery tells starts in Unix time, by clocks other than ours. Ours may have been stepped before this process
read it, by seconds or an hour, and theirs may be stepped later. Taken at its word a wrong clock makes a cold
server look warm, so that it is overloaded, or a warm one cold for an hour. What is sure is the order
of events here: nobody starts after we hear of it, and who is told as started anew on a list that was known
whole a moment ago has not been up for long.
"""

from __future__ import annotations

from collections.abc import Mapping

MAX_UNLISTED_SERVERS = (
    1_000  # servers that are remembered though they are listed no more: some 200 bytes each
)
MAX_NOTICE_DELAY_MS = (
    5_000.0  # that discovery may tell of a start late, beyond the time since the list was known whole
)


class StartTimes:
    """Starts as discovery tells them, in order, and on our clock."""

    def __init__(self) -> None:
        self._behind_ms = 0.0  # by which our clock is behind discovery's, at least
        self._known: dict[str, tuple[float, float]] = {}  # by server: its start as told, and on our clock

    def update(
        self, now_ms: float, since_ms: Mapping[str, float], known_ms: float | None
    ) -> dict[str, float]:
        """Starts on our clock in ms, 0 where it was long ago, of servers whose starts are told now.

        `known_ms`: when the list was known whole before; None for the first list.
        """
        self._behind_ms = max(self._behind_ms, max(since_ms.values(), default=0.0) - now_ms)
        return {server: self._start(server, at_ms, now_ms, known_ms) for server, at_ms in since_ms.items()}

    def retain(self, servers: Mapping[str, object]) -> None:
        """Drop what is known of all others, once there are many: one that is cut off may return as it was."""
        if len(self._known) > MAX_UNLISTED_SERVERS + len(servers):
            self._known = {server: start for server, start in self._known.items() if server in servers}

    def _start(self, server: str, since_ms: float, now_ms: float, known_ms: float | None) -> float:
        if since_ms <= 0:
            return 0.0
        told_ms, here_ms = self._known.get(server, (None, 0.0))
        if told_ms == since_ms:
            return here_ms
        here_ms = since_ms - self._behind_ms
        if known_ms is not None and here_ms < known_ms - MAX_NOTICE_DELAY_MS:
            here_ms = now_ms  # so old it would have been told before: the clocks differ
        self._known[server] = (since_ms, here_ms)
        return here_ms
