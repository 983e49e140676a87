"""Joins the pieces in which the events of a stream arrive; free of I/O and clocks.

A server may write an event in many small chunks. Relayed one by one, each would become a chunk and a TCP
segment of its own, and on a slow path the stream would fall further and further behind. So an event is
relayed in one piece once it is complete; an incomplete event is delayed for a bounded time only.
"""

from __future__ import annotations

MAX_DELAY_S = 0.1  # for an incomplete event: a third of the delay allowed for an event
EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")
MAX_TERMINATOR_BYTES = max(map(len, EVENT_TERMINATORS))


class EventBuffer:
    """The bytes of a stream that have arrived and were not relayed yet."""

    def __init__(self) -> None:
        self._buffered = bytearray()
        self._oldest_s = 0.0  # when the oldest buffered byte arrived
        self._searched_bytes = 0  # leading bytes of the buffer, known to contain no terminator

    def __len__(self) -> int:
        """How many bytes are buffered."""
        return len(self._buffered)

    @property
    def deadline_s(self) -> float:
        """When the buffered bytes must be relayed, whether or not they end with a complete event."""
        return self._oldest_s + MAX_DELAY_S

    def feed(self, piece: bytes, now_s: float) -> None:
        """Buffer a piece that arrived at `now_s`."""
        if not self._buffered:
            self._oldest_s = now_s
        self._buffered += piece

    def take_complete(self, now_s: float) -> bytes:
        """Remove and return the complete events, or all bytes at the deadline."""
        if now_s >= self.deadline_s:
            return self.take_all()
        size = self._complete_bytes()
        complete = bytes(self._buffered[:size])
        del self._buffered[:size]
        self._searched_bytes = len(self._buffered)
        if complete:
            self._oldest_s = now_s  # the rest arrived with the terminator before it, or later
        return complete

    def take_all(self) -> bytes:
        """Remove and return all bytes."""
        buffered = bytes(self._buffered)
        self._buffered.clear()
        self._searched_bytes = 0
        return buffered

    def _complete_bytes(self) -> int:
        """Length of the complete events at the start of the buffer."""
        return end_of_last_event(self._buffered, max(0, self._searched_bytes - MAX_TERMINATOR_BYTES))


def end_of_last_event(data: bytes | bytearray, start: int) -> int:
    """Where the last event ends whose terminator begins at `start` or behind it; 0 if there is none."""
    end = 0
    for terminator in EVENT_TERMINATORS:
        position = data.rfind(terminator, start)
        if position >= 0:
            end = max(end, position + len(terminator))
    return end
