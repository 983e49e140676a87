"""Splits a stream of bytes into concatenated JSON objects, whatever white space stands in and between them.

Discovery documents one object per line, but objects may be indented, and arrive in pieces of any size. A
parser that is fed the text again with each piece pays for it anew each time, so only brackets and quotes are
scanned here, each byte once, and a complete object goes to the parser.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

from ringledge.memory.endpoint_list import ListError

# The bytes that decide where an object ends: brackets, and those that begin, end or escape in a string.
STRUCTURAL = re.compile(rb'[{}\[\]"]|\\')
OPENING = (b"{", b"[")
CLOSING = (b"}", b"]")


class JsonStreamSplitter:
    """Splits a stream into the texts of its objects."""

    def __init__(self, max_object_bytes: int) -> None:
        """`max_object_bytes`: limit of one object's length."""
        self._max_object_bytes = max_object_bytes
        self._buffer = bytearray()  # the incomplete object, or white space before it
        self._scanned_bytes = 0  # of the buffer
        self._depth = 0
        self._in_string = False
        self.line_ended = False  # the last piece ended an object, or an empty line before one

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield each object that a piece completes; ListError if the stream can't be valid."""
        self.line_ended = self.is_between_objects and b"\n" in data.partition(b"{")[0]
        self._buffer += data
        start = 0  # of the object in progress
        while mark := STRUCTURAL.search(self._buffer, self._scanned_bytes):
            position = mark.start()
            if mark[0] == b"\\":
                if position + 1 >= len(self._buffer):  # the escaped byte has not arrived
                    self._scanned_bytes = position
                    break
                self._scanned_bytes = position + 2
                continue
            self._scanned_bytes = position + 1
            if self._ends_object(mark[0]):
                text = bytes(self._buffer[start : self._scanned_bytes])
                start = self._scanned_bytes
                self.line_ended = True
                yield text
        else:
            self._scanned_bytes = len(self._buffer)
        self._discard(start)

    @property
    def is_between_objects(self) -> bool:
        """Whether every object that has begun is complete."""
        return not self._buffer

    def _ends_object(self, mark: bytes) -> bool:
        """Follow a bracket or quote; returns whether an object ends with it."""
        if mark == b'"':
            self._in_string = not self._in_string
            return False
        if self._in_string:
            return False
        self._depth += (mark in OPENING) - (mark in CLOSING)
        if self._depth < 0:
            raise ListError("a bracket closes what was never opened")
        return self._depth == 0

    def _discard(self, size: int) -> None:
        """Remove complete objects from the front of the buffer, and white space between objects."""
        del self._buffer[:size]
        self._scanned_bytes -= size
        if not self._depth and not self._in_string:
            if self._buffer.strip():
                raise ListError("something stands between objects")
            self._buffer.clear()
            self._scanned_bytes = 0
        if len(self._buffer) > self._max_object_bytes:
            raise ListError("an object without end")
