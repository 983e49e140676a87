"""Follows the size lines of a chunked body, which the HTTP parser reads and does not report; free of I/O."""

from __future__ import annotations

import re

import h11

MAX_SIZE_LINE_BYTES = 1024  # a chunk's size with its extensions, which nobody uses
CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,20}")  # as h11 accepts it
LINE_END = b"\r\n"


class ChunkSizes:
    """Checks the size that each chunk of one body states, before any of the chunk's content arrives.

    A peer may state any size and then send content for as long as it likes: no end of the chunk would ever
    show that the size was wrong.
    """

    def __init__(self, max_chunk_bytes: int) -> None:
        self._max_chunk_bytes = max_chunk_bytes
        self._line = bytearray()  # the size line that is being received
        self._remaining_bytes = 0  # of the current chunk, with the line end behind it
        self._is_finished = False  # the last chunk has begun, or the parser rejects what has arrived
        self._error = ""

    def check(self) -> None:
        """Raise h11.RemoteProtocolError if the data that was fed contains a wrong size."""
        if self._error:
            raise h11.RemoteProtocolError(self._error)

    def feed(self, data: bytes) -> int:
        """Process data of the body; returns the length of its part before the first wrong size."""
        position = 0
        while position < len(data) and not (self._is_finished or self._error):
            if self._remaining_bytes:
                step = min(self._remaining_bytes, len(data) - position)
                self._remaining_bytes -= step
                position += step
            else:
                position = self._feed_size_line(data, position)
        return position if self._error else len(data)

    def _feed_size_line(self, data: bytes, start: int) -> int:
        """Process the size line that continues at `start`; returns its end, or `start` if it is wrong."""
        known_bytes = len(self._line)
        self._line += data[start : start + MAX_SIZE_LINE_BYTES]
        line_end = self._line.find(LINE_END, max(0, known_bytes - 1))
        if line_end < 0:
            if len(self._line) >= MAX_SIZE_LINE_BYTES:
                self._error = "the line of a chunk's size is too long"
                return start
            return len(data)
        self._begin_chunk(bytes(self._line[:line_end]))
        self._line.clear()
        return start if self._error else start + line_end + len(LINE_END) - known_bytes

    def _begin_chunk(self, size_line: bytes) -> None:
        stated = CHUNK_SIZE.match(size_line)
        size = 0 if stated is None else int(stated[0], 16)
        if not size:
            self._is_finished = True
        elif size > self._max_chunk_bytes:
            self._error = f"a chunk states {size} bytes"
        else:
            self._remaining_bytes = size + len(LINE_END)
