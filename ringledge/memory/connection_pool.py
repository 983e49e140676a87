"""A pool of keep-alive connections to servers."""

from __future__ import annotations

import time
from collections import defaultdict
from typing import Generic, Protocol, TypeVar

from ringledge.observe.metrics import Metrics

# A duplicate response to the last request may arrive some milliseconds late. Taken for the next request's, it
# would be relayed to that one's client, or "prove" that a request that must not run twice never ran. Such
# responses come after streams, so a connection that carried one is reused only after so long an idle time; a
# request that must not run twice gets no other connection at all.
MIN_SAFE_IDLE_S = 0.05
DISTRUST_PERIOD_S = 30.0  # after a reused connection broke; what must not run twice gets new ones meanwhile


class PooledConnection(Protocol):
    """What the pool needs of a connection."""

    idle_since_s: float  # monotonic seconds; set by the pool
    reused: bool  # it has carried a request before, or was idle; set by the pool
    streamed: bool  # its last response was a stream

    def readable(self) -> bool:
        """Whether the peer has closed it or sent data without a request."""

    def close(self) -> None:
        """Close it now."""


C = TypeVar("C", bound=PooledConnection)


class ConnectionPool(Generic[C]):
    """Idle connections by address, last used first; all open connections count against one limit."""

    def __init__(self, limit: int, max_idle_s: float, metrics: Metrics) -> None:
        self.limit = limit
        self.max_idle_s = max_idle_s
        self.metrics = metrics
        self.open_count = 0  # idle, in use and reserved
        self.distrusted_until_s = 0.0  # monotonic; until then servers may break reused connections
        self._idle: defaultdict[str, list[C]] = defaultdict(list)

    def acquire(self, address: str, at_most_once: bool = False) -> C | None:
        """Take an idle connection that is safe to reuse; `at_most_once`: the request must not run twice."""
        now_s = time.monotonic()
        if at_most_once and now_s < self.distrusted_until_s:
            return None
        idle = self._idle.get(address, [])
        for position in reversed(range(len(idle))):
            conn = idle[position]
            if (at_most_once or conn.streamed) and now_s - conn.idle_since_s < MIN_SAFE_IDLE_S:
                continue
            del idle[position]
            # One that the server may close under the request would end as a reset, which may have run.
            if now_s - conn.idle_since_s < self.max_idle_s and not conn.readable():
                conn.reused = conn.reused or now_s - conn.idle_since_s >= MIN_SAFE_IDLE_S
                return conn
            self.discard(conn)
        return None

    def release(self, address: str, conn: C, carried_request: bool = True) -> None:
        """Return a connection whose exchange is complete.

        One that has only carried a call without a request counts as new until it has been idle for a while.
        """
        conn.idle_since_s = time.monotonic()
        conn.reused = conn.reused or carried_request
        self._idle[address].append(conn)

    def set_limit(self, limit: int) -> None:
        """Change the limit; the longest idle connections above it are closed."""
        self.limit = limit
        self.close_idle(0.0, max_count=max(0, self.open_count - limit))

    def reserve(self) -> bool:
        """Count a new connection, closing the longest idle one if need be; False at the limit."""
        if self.open_count >= self.limit:
            self.close_idle(0.0, max_count=1)
        if self.open_count >= self.limit:
            return False
        self._add_to_open_count(1)
        return True

    def cancel_reservation(self) -> None:
        """Undo a `reserve` whose connection failed."""
        self._add_to_open_count(-1)

    def discard(self, conn: C) -> None:
        """Close a connection for good."""
        conn.close()
        self._add_to_open_count(-1)

    def close_idle(self, min_idle_s: float | None = None, max_count: int | None = None) -> None:
        """Close at most `max_count` connections idle for `min_idle_s` (None: `max_idle_s`), longest first."""
        if min_idle_s is None:
            min_idle_s = self.max_idle_s
        longest_first = sorted(
            ((conn.idle_since_s, address, conn) for address, idle in self._idle.items() for conn in idle),
            key=lambda entry: entry[0],
        )
        for idle_since_s, address, conn in longest_first[:max_count]:
            if time.monotonic() - idle_since_s >= min_idle_s:
                self._idle[address].remove(conn)
                self.discard(conn)
        self._forget_unused_addresses()

    def _forget_unused_addresses(self) -> None:
        """Servers are replaced by others at new addresses all the time."""
        for address in [address for address, idle in self._idle.items() if not idle]:
            del self._idle[address]

    def __len__(self) -> int:
        """How many addresses it has entries for."""
        return len(self._idle)

    def on_reused_connection_broken(self, address: str) -> None:
        """A reused connection broke under its next request: close the others to that address as well."""
        self.distrusted_until_s = time.monotonic() + DISTRUST_PERIOD_S
        for conn in self._idle.pop(address, []):
            self.discard(conn)

    def _add_to_open_count(self, change: int) -> None:
        self.open_count += change
        self.metrics.server_sockets.set(self.open_count)
