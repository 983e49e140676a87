"""JSON objects one behind the other in a stream of bytes, whatever white space stands in them.

Discovery says one object a line, but it may be indented, and come in pieces of any size. A parser that is fed
the text again with each piece pays for it anew each time, so only brackets and quotes are followed here, each
byte once, and a whole object goes to the parser.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

from ringledge.memory.endpoint_list import ListError

# What decides where an object ends: brackets, and what begins, ends or is escaped in a string.
STRUCTURAL = re.compile(rb'[{}\[\]"]|\\')
OPENING, CLOSING = (b"{", b"["), (b"}", b"]")


class JsonStreamSplitter:
    """Splits a stream into the texts of its objects; sizes in bytes."""

    def __init__(self, most: int) -> None:
        """`most`: bytes that one object may have."""
        self._most = most
        self._text = bytearray()  # of the object that has begun, or white space before it
        self._seen = 0  # how much of it was looked at
        self._depth = 0
        self._quoted = False
        self.line_ended = False  # the last piece ended an object, or an empty line before one

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Take a piece in, give each object that is whole by now; ListError where none can come of it."""
        self.line_ended = self.is_between_objects and b"\n" in data.partition(b"{")[0]
        self._text += data
        begun = 0
        while mark := STRUCTURAL.search(self._text, self._seen):
            at, sign = mark.start(), mark[0]
            if sign == b"\\":  # what it escapes may not have come yet
                if at + 1 >= len(self._text):
                    self._seen = at
                    break
                self._seen = at + 2
                continue
            self._seen = at + 1
            if sign == b'"':
                self._quoted = not self._quoted
            elif not self._quoted:
                self._depth += (sign in OPENING) - (sign in CLOSING)
                if self._depth < 0:
                    raise ListError("a bracket closes what was never opened")
                if not self._depth:
                    whole, begun = bytes(self._text[begun : self._seen]), self._seen
                    self.line_ended = True
                    yield whole
        else:
            self._seen = len(self._text)
        del self._text[:begun]
        self._seen -= begun
        if not self._depth and not self._quoted:
            if self._text.strip():
                raise ListError("something stands between objects")
            self._text.clear()
            self._seen = 0
        if len(self._text) > self._most:
            raise ListError("an object without end")

    @property
    def is_between_objects(self) -> bool:
        """Whether all that has come is whole."""
        return not self._text
