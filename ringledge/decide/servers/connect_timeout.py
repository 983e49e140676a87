"""How long to wait for a connection to be established; free of I/O and clocks.

A connection is established within milliseconds or never: an unreachable machine sends nothing. The
configured limit is for the worst case; a request that waited so long for each of several unreachable servers
would miss its deadline, and its KV cache entry may be held for half a second only. So the timeout adapts to
the slowest of the recent connections.
"""

from __future__ import annotations

from collections import deque

MAX_SAMPLES = 128  # durations retained: a few seconds of a busy router, a minute of a quiet one
MIN_SAMPLES = 8  # durations needed before the timeout adapts
SLOWEST_MULTIPLE = 10.0  # timeout as a multiple of the slowest duration: servers' accept queues may fill
MIN_TIMEOUT_S = 0.08  # one iteration of the own event loop on a shared core may last that long
RELEASE_MARGIN_S = 0.1  # of the time that a KV cache entry may be held, reserved for releasing it in time


class ConnectTimeout:
    """Timeout of connections to servers, from the durations of those that were established."""

    def __init__(self, limit_s: float) -> None:
        """`limit_s`: the configured timeout, which is never exceeded."""
        self._limit_s = limit_s
        self._durations_s = deque[float](maxlen=MAX_SAMPLES)

    def record_connection(self, duration_s: float) -> None:
        """A connection was established after this time."""
        self._durations_s.append(duration_s)

    def timeout_s(self) -> float:
        """The timeout of the next connection."""
        if len(self._durations_s) < MIN_SAMPLES:
            return self._limit_s
        return min(self._limit_s, max(MIN_TIMEOUT_S, SLOWEST_MULTIPLE * max(self._durations_s)))


def hold_remaining_s(now_ms: float, idle_since_ms: float, hold_limit_ms: float) -> float:
    """For how many seconds a KV cache entry may still be held for a decode server; at 0 it must be released.

    `idle_since_ms`: since when no attempt of its request was in flight; `hold_limit_ms`: how long that may
    last.
    """
    return (hold_limit_ms - (now_ms - idle_since_ms)) / 1000 - RELEASE_MARGIN_S
