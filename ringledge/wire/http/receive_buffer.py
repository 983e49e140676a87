"""The receive buffer of a connection."""

from __future__ import annotations

MAX_GROWTH_BYTES = 64 * 1024  # at a time, so that the buffer is hardly longer than what it holds


class ReceiveBuffer:
    """Bytes read from a socket and not parsed yet.

    The buffer grows as needed and is compacted in place. Once it is empty it has its initial size again.
    """

    def __init__(self, size: int = 16 * 1024) -> None:
        self._initial_size = size
        self._data = bytearray(size)
        self._start = self._end = 0

    @property
    def grown_bytes(self) -> int:
        """By how many bytes the buffer is longer than its initial size."""
        return len(self._data) - self._initial_size

    def __len__(self) -> int:
        """How many bytes are buffered."""
        return self._end - self._start

    def free_space(self, min_bytes: int = 1024) -> memoryview:
        """Free space of at least `min_bytes` after the buffered bytes; `commit` the size that was written."""
        if self._start and len(self._data) - self._end < min_bytes:
            size = len(self)
            self._data[:size] = self._data[self._start : self._end]
            self._start, self._end = 0, size
        if len(self._data) - self._end < min_bytes:
            self._data.extend(bytes(max(min_bytes, min(len(self._data), MAX_GROWTH_BYTES))))
        return memoryview(self._data)[self._end :]

    def commit(self, size: int) -> None:
        """Append the first `size` bytes of the free space to the buffered bytes."""
        self._end += size

    def peek(self, max_bytes: int) -> bytes:
        """A copy of the first `max_bytes` buffered bytes, which stay in the buffer."""
        with memoryview(self._data) as view:
            return bytes(view[self._start : min(self._end, self._start + max_bytes)])

    def clear(self) -> None:
        """Discard the buffered bytes."""
        self._start = self._end = 0
        if self.grown_bytes:
            self._data = bytearray(self._initial_size)

    def release(self) -> None:
        """Free the buffer's memory; nothing may be received afterwards."""
        self._start = self._end = 0
        self._data = bytearray()
        self._initial_size = 0

    def take(self, max_bytes: int) -> bytes:
        """Remove and return the first `max_bytes` buffered bytes."""
        taken = self.peek(max_bytes)
        self._start += len(taken)
        if self._start == self._end:
            self.clear()
        return taken
