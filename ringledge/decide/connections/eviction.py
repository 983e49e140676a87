"""Chooses the client connection to close when a front is at its limit, by cost and benefit, then by age."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum


class EvictionClass(IntEnum):
    """Order in which connections are evicted; the lowest value goes first.

    A connection without any request, as in a flood, uses a descriptor to no benefit. An incomplete request
    also holds a parser and a buffer, and may never be completed. An idle connection on which a request has
    arrived before belongs to a real client.
    """

    WITHOUT_REQUEST = 0
    INCOMPLETE_REQUEST = 1
    IDLE_CLIENT = 2


@dataclass(slots=True, frozen=True)
class EvictionCandidate:
    """A connection without a pending response."""

    state_since_s: float  # time at which its present state began; all candidates use one clock
    had_request: bool  # a complete request has arrived on it before
    request_incomplete: bool  # part of a request has arrived

    @property
    def eviction_class(self) -> EvictionClass:
        """The connection's position in the order of eviction."""
        if self.request_incomplete:
            return EvictionClass.INCOMPLETE_REQUEST
        if self.had_request:
            return EvictionClass.IDLE_CLIENT
        return EvictionClass.WITHOUT_REQUEST


def select_victim(candidates: Sequence[EvictionCandidate]) -> int | None:
    """The index of the connection to close; None if there are no candidates.

    It is the one with the lowest `EvictionClass`, among these the longest in its state, then the first.
    """

    def rank(index: int) -> tuple[EvictionClass, float]:
        candidate = candidates[index]
        return candidate.eviction_class, candidate.state_since_s

    return min(range(len(candidates)), key=rank) if candidates else None
