"""Remembers ended requests that may have run, by id: a repetition of one that is not idempotent must not run.

An id can come again although its request was read, e.g. from a client that lost its connection, or at the
other process of a router during an upgrade.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator

RETENTION_S = 600.0  # many times the longest deadline
MAX_IDS = 20_000  # an id takes about 150 bytes; RETENTION_S of a router's usual traffic


class PossibleRuns:
    """The ids of the last requests that may have run; the oldest are forgotten first."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """`clock` returns seconds and is never set back."""
        self._clock = clock
        self._ended_s: dict[str, float] = {}  # by request id, oldest first

    def add(self, request_id: str) -> None:
        """Remember a request."""
        self._expire()
        self._ended_s.pop(request_id, None)
        self._ended_s[request_id] = self._clock()
        if len(self._ended_s) > MAX_IDS:
            del self._ended_s[next(iter(self._ended_s))]

    def __contains__(self, request_id: str) -> bool:
        """Whether a request with that id is remembered."""
        self._expire()
        return request_id in self._ended_s

    def __iter__(self) -> Iterator[str]:
        """Iterate over the remembered ids, oldest first."""
        return iter(self._ended_s)

    def __len__(self) -> int:
        """The number of remembered ids."""
        return len(self._ended_s)

    def _expire(self) -> None:
        oldest_s = self._clock() - RETENTION_S
        while self._ended_s:
            request_id = next(iter(self._ended_s))
            if self._ended_s[request_id] >= oldest_s:
                return
            del self._ended_s[request_id]
