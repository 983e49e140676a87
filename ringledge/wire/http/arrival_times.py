"""Arrival times of the bytes received on a connection; free of I/O and clocks.

A request may wait in the socket, or behind another request, before it is read, but its time budget runs from
the arrival of its last byte. Arrival times are recorded by byte count, so that the end of each pipelined
request can be looked up.
"""

from __future__ import annotations

from collections import deque

MAX_BURST_GAP_S = 0.05  # reads at most this far apart belong to one burst
MAX_NORMAL_READ_DELAY_S = 0.02  # a process that keeps up reads a piece within this time of its arrival


class ArrivalTimes:
    """Arrival times of the bytes that are not parsed yet, by byte count."""

    def __init__(self) -> None:
        self.received_bytes = 0  # in total
        self._read_s = 0.0  # time of the last read
        self._delayed_since_s: float | None = None  # arrival of the last piece if it was read late, else None
        self._arrivals = deque[tuple[int, float]]()  # for each piece: total bytes up to its end, arrival time

    def add(self, size: int, read_s: float, at_s: float) -> None:
        """Record a piece that was read at `read_s` and had arrived at `at_s`.

        A long request is read in several pieces. If the first one was read late, the pieces read directly
        after it had arrived by then too, and only waited for space in the buffer.
        """
        is_delayed = self._delayed_since_s is not None and read_s - self._read_s <= MAX_BURST_GAP_S
        if is_delayed and self._delayed_since_s is not None:
            at_s = min(at_s, self._delayed_since_s)
        self._read_s = read_s
        self._delayed_since_s = at_s if read_s - at_s > MAX_NORMAL_READ_DELAY_S else None
        self.received_bytes += size
        if self._arrivals and self._arrivals[-1][1] == at_s:
            self._arrivals.pop()
        self._arrivals.append((self.received_bytes, at_s))

    def last_byte_s(self, pending: int) -> float | None:
        """Arrival time of the last byte before the `pending` unparsed bytes; None if nothing was read."""
        while len(self._arrivals) > 1 and self._arrivals[0][0] < self.received_bytes - pending:
            self._arrivals.popleft()
        return self._arrivals[0][1] if self._arrivals else None
