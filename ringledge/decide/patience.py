"""How long to wait for a connection to come up; free of I/O and clocks.

A connection comes up within milliseconds or never: a machine that is cut off says nothing. The setting's
limit is for the worst case; waited out for each of several silent servers it costs a request its time, and a
read state that waits meanwhile may be held for half a second only.
"""

from __future__ import annotations

from collections import deque

SAMPLES = 128  # connections kept: a few seconds of a busy conductor, a minute of a quiet one
ENOUGH = 8  # of them before they count
TIMES = 10.0  # the slowest of them by which a connection may be later: queues at the server's machine
LEAST_S = 0.08  # a turn of our own loop on a part of a core may last that long, and is not the server's fault
SLACK_S = 0.1  # of the time that a state may be held, kept for letting it go in time


class Patience:
    """Learns from the connections that came up."""

    def __init__(self, limit_s: float) -> None:
        """`limit_s`: the setting, which is never exceeded."""
        self._limit_s = limit_s
        self._took = deque[float](maxlen=SAMPLES)

    def came_up(self, took_s: float) -> None:
        """A connection came up after so long."""
        self._took.append(took_s)

    def connect_s(self) -> float:
        """How long the next one may take."""
        if len(self._took) < ENOUGH:
            return self._limit_s
        return min(self._limit_s, max(LEAST_S, TIMES * max(self._took)))


def held_s(now_ms: float, free_since_ms: float, let_go_ms: float) -> float:
    """For how long a state may go on being held for a writer, in s; 0 or less: it has to be let go now.

    `free_since_ms`: since when no attempt of its request was out, `let_go_ms`: how long that may last.
    """
    return (let_go_ms - (now_ms - free_since_ms)) / 1000 - SLACK_S
