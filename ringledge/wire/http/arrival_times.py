"""When the bytes of a connection came; free of I/O and clocks.

A request may lie for a while in the socket or behind another one before it is read, and its client's time
runs from its last byte on. What was read is counted, so each request end has an arrival time.
"""

from __future__ import annotations

from collections import deque

MAX_BURST_GAP_S = 0.05  # between two pieces that are read one right behind the other
MAX_PROMPT_READ_DELAY_S = 0.02  # that a piece lies in the socket of a process that keeps up, at most


class ArrivalTimes:
    """How many bytes had come by when, as far as they still wait."""

    def __init__(self) -> None:
        self.received_bytes = 0  # bytes read so far
        self._read_s = 0.0  # when the last piece was read
        self._delayed_since_s: float | None = (
            None  # since when it had been there, where it had lain there for long
        )
        self._arrivals = deque[tuple[int, float]]()  # the total behind each piece, and when it had come

    def add(self, size: int, read_s: float, at_s: float) -> None:
        """A piece was read at one time that has been there since another.

        A long request is read piece by piece. Where the first of them had lain there, so had those that are
        read right behind it: they only waited for room.
        """
        is_delayed = self._delayed_since_s is not None and read_s - self._read_s <= MAX_BURST_GAP_S
        if is_delayed and self._delayed_since_s is not None:
            at_s = min(at_s, self._delayed_since_s)
        self._read_s = read_s
        self._delayed_since_s = at_s if read_s - at_s > MAX_PROMPT_READ_DELAY_S else None
        self.received_bytes += size
        if self._arrivals and self._arrivals[-1][1] == at_s:
            self._arrivals.pop()
        self._arrivals.append((self.received_bytes, at_s))

    def last_byte_s(self, pending: int) -> float | None:
        """When the last byte in front of the `pending` unparsed ones came; None where nothing was read."""
        while len(self._arrivals) > 1 and self._arrivals[0][0] < self.received_bytes - pending:
            self._arrivals.popleft()
        return self._arrivals[0][1] if self._arrivals else None
