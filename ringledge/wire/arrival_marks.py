"""When the bytes of a connection came; free of I/O and clocks.

A request may lie for a while in the socket or behind another one before it is read, and its client's time
runs from its last byte on. What was read is counted, so that each request's end has a place among the marks.
"""

from __future__ import annotations

from collections import deque


class ArrivalMarks:
    """How many bytes had come by when, as far as they still wait."""

    def __init__(self) -> None:
        self.total = 0  # bytes read so far
        self._marks = deque[tuple[int, float]]()  # the total behind each piece, and when it had come

    def add(self, size: int, at_s: float) -> None:
        """A piece was read that has been there since then."""
        self.total += size
        if self._marks and self._marks[-1][1] == at_s:
            self._marks.pop()
        self._marks.append((self.total, at_s))

    def last_byte_s(self, pending: int) -> float | None:
        """When the last byte in front of the `pending` unparsed ones came; None where nothing was read."""
        while len(self._marks) > 1 and self._marks[0][0] < self.total - pending:
            self._marks.popleft()
        return self._marks[0][1] if self._marks else None
