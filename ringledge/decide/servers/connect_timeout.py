"""How long to wait for a connection to be established; free of I/O and clocks.

A connection is established within milliseconds or never: a machine that is cut off says nothing. The
setting's limit is for the worst case; waited out for each of several unreachable servers it costs a request
its time, and a KV cache entry that waits meanwhile may be held for half a second only.
"""

from __future__ import annotations

from collections import deque

SAMPLES = 128  # connections kept: a few seconds of a busy conductor, a minute of a quiet one
MIN_SAMPLES = 8  # of them before they count
SLOWEST_MULTIPLE = 10.0  # the slowest of them that a connection may take: servers' machines queue
MIN_TIMEOUT_S = 0.08  # a turn of our own loop on part of a core may last that long
SLACK_S = 0.1  # of the time that a KV cache entry may be held, kept to release it in time


class ConnectTimeout:
    """Learns from the connections that were established."""

    def __init__(self, limit_s: float) -> None:
        """`limit_s`: the setting, which is never exceeded."""
        self._limit_s = limit_s
        self._durations_s = deque[float](maxlen=SAMPLES)

    def connected(self, took_s: float) -> None:
        """A connection was established after so long."""
        self._durations_s.append(took_s)

    def timeout_s(self) -> float:
        """How long the next one may take."""
        if len(self._durations_s) < MIN_SAMPLES:
            return self._limit_s
        return min(self._limit_s, max(MIN_TIMEOUT_S, SLOWEST_MULTIPLE * max(self._durations_s)))


def hold_remaining_s(now_ms: float, free_since_ms: float, release_ms: float) -> float:
    """For how long a KV cache entry may still be held for a decode server, in s; at 0 it has to be released.

    `free_since_ms`: since when no attempt of its request was in flight, `release_ms`: how long that may last.
    """
    return (release_ms - (now_ms - free_since_ms)) / 1000 - SLACK_S
