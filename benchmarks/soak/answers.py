"""Parses the answers that a client of a soak receives on one connection."""

from __future__ import annotations

import time
from dataclasses import dataclass

import httptools


@dataclass(slots=True)
class Answer:
    """One answer as far as it has been received."""

    status: int = 0
    whole: bool = False
    first_s: float = 0.0
    late_s: float = 0.0  # longest delay from the server's write of an event to its receipt


class AnswerParser:
    """Collects the answers of one connection from the callbacks of an HTTP parser."""

    def __init__(self) -> None:
        self.received: list[Answer] = []  # the last one may be incomplete
        self._line = b""
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse received bytes."""
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Called by the parser."""
        self.received.append(Answer())
        self._line = b""

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        self.received[-1].status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Called by the parser; the content of each event is the time at which the server wrote it."""
        answer, now_s = self.received[-1], time.monotonic()
        answer.first_s = answer.first_s or now_s
        *lines, self._line = (self._line + body).split(b"\n")
        for line in lines:
            _, found, rest = line.partition(b'"content":"')
            if found:
                answer.late_s = max(answer.late_s, now_s - float(rest.partition(b'"')[0]))

    def on_message_complete(self) -> None:
        """Called by the parser."""
        self.received[-1].whole = True
