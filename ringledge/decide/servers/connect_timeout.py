"""The timeout for establishing a connection to a server; free of I/O and clocks.

A connection is established within milliseconds or not at all, because an unreachable machine sends nothing.
The configured timeout covers the worst case. A request that waited that long for each of several unreachable
servers would miss its deadline, and its KV cache entry may be held for half a second only. The timeout
therefore adapts to the slowest of the recent connections.
"""

from __future__ import annotations

from collections import deque

MAX_SAMPLES = 128  # a few seconds of connections on a busy router, a minute on a quiet one
MIN_SAMPLES = 8  # below this number the configured timeout applies
# The timeout as a multiple of the slowest recent connect time: the accept queues of servers may fill up.
SLOWEST_MULTIPLE = 10.0
MIN_TIMEOUT_S = 0.08  # an iteration of this process's event loop may take as long on a shared core
RELEASE_MARGIN_S = 0.1  # part of an entry's hold limit that is reserved for its release


class ConnectTimeout:
    """The connect timeout, derived from the durations of the latest successful connects."""

    def __init__(self, limit_s: float) -> None:
        """`limit_s`: the configured timeout, which is the upper bound."""
        self._limit_s = limit_s
        self._durations_s = deque[float](maxlen=MAX_SAMPLES)

    def record_connection(self, duration_s: float) -> None:
        """Record how long establishing a connection took."""
        self._durations_s.append(duration_s)

    def timeout_s(self) -> float:
        """The timeout of the next connection."""
        if len(self._durations_s) < MIN_SAMPLES:
            return self._limit_s
        return min(self._limit_s, max(MIN_TIMEOUT_S, SLOWEST_MULTIPLE * max(self._durations_s)))


def hold_remaining_s(now_ms: float, idle_since_ms: float, hold_limit_ms: float) -> float:
    """How long a KV cache entry may still be held for a decode server; it must be released at 0 or below.

    `idle_since_ms`: since when the entry has been held with no attempt of its request in flight;
    `hold_limit_ms`: how long that may last.
    """
    return (hold_limit_ms - (now_ms - idle_since_ms)) / 1000 - RELEASE_MARGIN_S
