"""A pool of keep-alive connections to servers."""

from __future__ import annotations

import time
from collections import defaultdict
from typing import Generic, Protocol, TypeVar

from ringledge.observe.metrics import Metrics

# Minimum idle time before a connection is reused after a stream, or for a request that must not run twice.
# A server may send a duplicate of its last response some milliseconds late. If it were taken for the response
# to the next request, it would be relayed to the wrong client, or a duplicate rejection would count as proof
# that a request never ran, which would then be sent to a second server. Duplicates follow streams, so other
# requests reuse connections without a stream at once.
MIN_SAFE_IDLE_S = 0.05
# After a reused connection broke, requests that must not run twice get only new connections for this time.
REUSE_PAUSE_S = 30.0


class PooledConnection(Protocol):
    """The part of a connection's interface that the pool uses."""

    idle_since_s: float  # monotonic time of the last release; set by the pool
    reused: bool  # it has carried a request or been idle for MIN_SAFE_IDLE_S; set by the pool
    streamed: bool  # whether its last response was a stream

    def readable(self) -> bool:
        """Whether the peer has closed the connection, or has sent data without a request."""

    def close(self) -> None:
        """Close the connection immediately."""


C = TypeVar("C", bound=PooledConnection)


class ConnectionPool(Generic[C]):
    """Idle connections by address, most recently used first, under one limit on all open connections."""

    def __init__(self, limit: int, max_idle_s: float, metrics: Metrics) -> None:
        self.limit = limit
        self.max_idle_s = max_idle_s
        self.metrics = metrics
        self.open_count = 0  # includes idle connections and reservations
        self.reuse_paused_until_s = 0.0  # monotonic time; see REUSE_PAUSE_S
        self._idle: defaultdict[str, list[C]] = defaultdict(list)

    def acquire(self, address: str, at_most_once: bool = False) -> C | None:
        """Take an idle connection that is safe to reuse; None if there is none.

        `at_most_once`: the connection is for a request that must not run twice.
        """
        now_s = time.monotonic()
        if at_most_once and now_s < self.reuse_paused_until_s:
            return None
        idle = self._idle.get(address, [])
        for index in reversed(range(len(idle))):
            conn = idle[index]
            if (at_most_once or conn.streamed) and now_s - conn.idle_since_s < MIN_SAFE_IDLE_S:
                continue
            del idle[index]
            # A connection that the server closes while a request is on its way ends the attempt with a reset,
            # and the request may have run. So expired and readable connections are discarded.
            if now_s - conn.idle_since_s < self.max_idle_s and not conn.readable():
                conn.reused = conn.reused or now_s - conn.idle_since_s >= MIN_SAFE_IDLE_S
                return conn
            self.discard(conn)
        return None

    def release(self, address: str, conn: C, carried_request: bool = True) -> None:
        """Return a connection to the pool after a complete exchange.

        A connection that has carried only calls such as releases, but no request (`carried_request` False),
        counts as new until it has been idle for MIN_SAFE_IDLE_S.
        """
        conn.idle_since_s = time.monotonic()
        conn.reused = conn.reused or carried_request
        self._idle[address].append(conn)

    def set_limit(self, limit: int) -> None:
        """Change the limit, and close the longest idle connections in excess of it."""
        self.limit = limit
        self.close_idle(0.0, max_count=max(0, self.open_count - limit))

    def reserve(self) -> bool:
        """Count a new connection before it is opened; False if the limit is reached.

        At the limit the longest idle connection is closed first.
        """
        if self.open_count >= self.limit:
            self.close_idle(0.0, max_count=1)
        if self.open_count >= self.limit:
            return False
        self._add_to_open_count(1)
        return True

    def cancel_reservation(self) -> None:
        """Undo a `reserve` after the connection could not be opened."""
        self._add_to_open_count(-1)

    def discard(self, conn: C) -> None:
        """Close a connection and stop counting it."""
        conn.close()
        self._add_to_open_count(-1)

    def close_idle(self, min_idle_s: float | None = None, max_count: int | None = None) -> None:
        """Close connections that have been idle for `min_idle_s` (None: `max_idle_s`), longest idle first.

        At most `max_count` connections are closed; None means no limit.
        """
        if min_idle_s is None:
            min_idle_s = self.max_idle_s
        by_idle_time = sorted(
            ((conn.idle_since_s, address, conn) for address, idle in self._idle.items() for conn in idle),
            key=lambda item: item[0],
        )
        for idle_since_s, address, conn in by_idle_time[:max_count]:
            if time.monotonic() - idle_since_s >= min_idle_s:
                self._idle[address].remove(conn)
                self.discard(conn)
        self._delete_unused_addresses()

    def _delete_unused_addresses(self) -> None:
        """Delete empty entries, which would accumulate as servers are replaced by others at new addresses."""
        for address in [address for address, idle in self._idle.items() if not idle]:
            del self._idle[address]

    def __len__(self) -> int:
        """The number of addresses with an entry."""
        return len(self._idle)

    def on_reused_connection_broken(self, address: str) -> None:
        """Close all idle connections to an address after a reused connection broke during a request."""
        self.reuse_paused_until_s = time.monotonic() + REUSE_PAUSE_S
        for conn in self._idle.pop(address, []):
            self.discard(conn)

    def _add_to_open_count(self, change: int) -> None:
        self.open_count += change
        self.metrics.server_sockets.set(self.open_count)
