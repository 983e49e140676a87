"""Idle connections to servers, kept for the next attempt."""

from __future__ import annotations

import time
from collections import defaultdict
from typing import Generic, Protocol, TypeVar

from ringledge.observe.metrics import Metrics

# A second answer to the last request may come some milliseconds late. Read as the next one's it would be
# passed on to that one's client, or "prove" that what must not run twice never ran. Such answers come behind
# streams, so a connection that carried one is used again only once it was idle for so long; what must not run
# twice has no other connection either.
MIN_SAFE_IDLE_S = 0.05
DISTRUST_PERIOD_S = 30.0  # after a kept connection broke, new ones are opened for what must not run twice


class PooledConnection(Protocol):
    """What the pool needs of a connection."""

    idle_since: float
    reused: bool
    streamed: bool  # its last answer was a stream

    def readable(self) -> bool:
        """Whether the peer has closed it or spoken unasked."""

    def close(self) -> None:
        """Close it now."""


C = TypeVar("C", bound=PooledConnection)


class ConnectionPool(Generic[C]):
    """Idle connections by address, youngest first; all open connections are counted against a limit."""

    def __init__(self, limit: int, max_idle_s: float, metrics: Metrics) -> None:
        self.limit, self.max_idle_s, self.metrics = limit, max_idle_s, metrics
        self.open_count = 0
        self.distrusted_until_s = 0.0  # servers break kept connections just now
        self._idle: defaultdict[str, list[C]] = defaultdict(list)

    def acquire(self, address: str, once: bool = False) -> C | None:
        """An idle connection that can still be trusted; what must not run twice asks for more trust."""
        if once and time.monotonic() < self.distrusted_until_s:
            return None
        idle, now_s = self._idle.get(address, []), time.monotonic()
        for place in reversed(range(len(idle))):
            conn = idle[place]
            if (once or conn.streamed) and now_s - conn.idle_since < MIN_SAFE_IDLE_S:
                continue
            del idle[place]
            # One that the server may close under the request would end as a reset, which may have run.
            if now_s - conn.idle_since < self.max_idle_s and not conn.readable():
                return conn
            self.discard(conn)
        return None

    def release(self, address: str, conn: C) -> None:
        """Keep a connection whose exchange is over."""
        conn.idle_since, conn.reused = time.monotonic(), True
        self._idle[address].append(conn)

    def set_limit(self, limit: int) -> None:
        """Hold fewer connections; the oldest idle ones go."""
        self.limit = limit
        self.close_idle(0.0, most=max(0, self.open_count - limit))

    def reserve(self) -> bool:
        """Count a new connection, at the cost of the oldest idle one if need be; False past the limit."""
        if self.open_count >= self.limit:
            self.close_idle(0.0, most=1)
        if self.open_count >= self.limit:
            return False
        self._count(1)
        return True

    def cancel_reservation(self) -> None:
        """Count a connection off that never came up."""
        self._count(-1)

    def discard(self, conn: C) -> None:
        """Close a connection and count it off."""
        conn.close()
        self._count(-1)

    def close_idle(self, idle_s: float | None = None, most: int | None = None) -> None:
        """Close those idle for too long, oldest first."""
        limit = self.max_idle_s if idle_s is None else idle_s
        old_first = sorted(
            ((conn.idle_since, address, conn) for address, idle in self._idle.items() for conn in idle),
            key=lambda each: each[0],
        )
        for since, address, conn in old_first[:most]:
            if time.monotonic() - since >= limit:
                self._idle[address].remove(conn)
                self.discard(conn)
        # Servers give way to others at new addresses all day long.
        for address in [address for address, idle in self._idle.items() if not idle]:
            del self._idle[address]

    def __len__(self) -> int:
        """How many addresses it keeps track of."""
        return len(self._idle)

    def on_reused_broken(self, address: str) -> None:
        """A kept connection broke under its next request: others to that server may be no better."""
        self.distrusted_until_s = time.monotonic() + DISTRUST_PERIOD_S
        for conn in self._idle.pop(address, []):
            self.discard(conn)

    def _count(self, change: int) -> None:
        self.open_count += change
        self.metrics.server_sockets.set(self.open_count)
