"""The one buffer of a connection."""

from __future__ import annotations


class ReceiveBuffer:
    """Bytes read from a socket that the parser has not taken yet; grows and is compacted in place."""

    def __init__(self, size: int = 16 * 1024) -> None:
        self._data = bytearray(size)
        self._start = self._end = 0

    def __len__(self) -> int:
        """How many bytes wait."""
        return self._end - self._start

    def writable_view(self, min_bytes: int = 1024) -> memoryview:
        """Free space of at least that size behind what waits; tell `filled` how much of it was used."""
        if self._start and len(self._data) - self._end < min_bytes:
            waiting = len(self)
            self._data[:waiting] = self._data[self._start : self._end]
            self._start, self._end = 0, waiting
        if len(self._data) - self._end < min_bytes:
            self._data.extend(bytes(max(min_bytes, len(self._data))))
        return memoryview(self._data)[self._end :]

    def commit(self, size: int) -> None:
        """Count bytes that were written into the room."""
        self._end += size

    def peek(self) -> bytes:
        """All that waits, left where it is."""
        with memoryview(self._data) as view:
            return bytes(view[self._start : self._end])

    def clear(self) -> None:
        """Drop all that waits."""
        self._start = self._end = 0

    def take(self) -> bytes:
        """Give out all that waits."""
        with memoryview(self._data) as view:
            taken = bytes(view[self._start : self._end])
        self._start = self._end = 0
        return taken
