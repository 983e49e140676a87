"""What a client of a soak hears: the answers of one connection."""

from __future__ import annotations

import time
from dataclasses import dataclass

import httptools


@dataclass(slots=True)
class Answer:
    """One answer, as far as it has come."""

    status: int = 0
    whole: bool = False
    first_s: float = 0.0
    late_s: float = 0.0  # the latest of its events, behind the moment in which its server wrote it


class AnswerParser:
    """The answers of one connection: a parser's callbacks."""

    def __init__(self) -> None:
        self.received: list[Answer] = []  # the last one may not be whole
        self._line = b""
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Take bytes."""
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Called by the parser."""
        self.received.append(Answer())
        self._line = b""

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        self.received[-1].status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Called by the parser: events tell when their server wrote them."""
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
