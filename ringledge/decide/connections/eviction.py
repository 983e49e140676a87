"""Which client connection is closed when a front is at its limit: by cost and benefit, not by age alone."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum


class EvictionClass(IntEnum):
    """Order in which connections are evicted.

    A connection without any request, as in a flood, costs a descriptor and brings nothing. An incomplete
    request also holds a parser and a buffer, and may never be completed. An idle connection that has brought
    a request before belongs to a client.
    """

    WITHOUT_REQUEST = 0
    INCOMPLETE_REQUEST = 1
    IDLE_CLIENT = 2


@dataclass(slots=True, frozen=True)
class EvictionCandidate:
    """A connection that no response is owed to."""

    state_since_s: float  # since when it has been in its present state, on any one clock
    had_request: bool  # it has brought a complete request before
    request_incomplete: bool  # part of a request has arrived

    @property
    def eviction_class(self) -> EvictionClass:
        """Its class in the order of eviction."""
        if self.request_incomplete:
            return EvictionClass.INCOMPLETE_REQUEST
        if self.had_request:
            return EvictionClass.IDLE_CLIENT
        return EvictionClass.WITHOUT_REQUEST


def select_victim(candidates: Sequence[EvictionCandidate]) -> int | None:
    """The index of the connection to close, None if there are no candidates.

    The lowest `EvictionClass` goes first, within it the longest in its state, then the first candidate.
    """

    def rank(index: int) -> tuple[EvictionClass, float]:
        candidate = candidates[index]
        return candidate.eviction_class, candidate.state_since_s

    return min(range(len(candidates)), key=rank) if candidates else None
