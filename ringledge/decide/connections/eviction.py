"""Who gives way at a full door: by what each connection cost and brought, not by its age alone."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class EvictionCandidate:
    """One connection at the door."""

    state_since_s: float  # seconds on any one clock: since when it has been as it is now
    had_request: bool  # it has brought a request before
    request_incomplete: bool  # it has begun a request and not ended it


def select_victim(guests: Sequence[EvictionCandidate]) -> int | None:
    """The place of the guest that gives way among those that are owed no answer; None where there is none.

    Those that never asked go first: a flood costs a descriptor each and brings nothing. Half a request comes
    next, for it holds a parser and a buffer and may never end. A terminal that has asked and rests goes last.
    Among equals the longest as it is now goes.
    """
    order = [
        (1 if guest.request_incomplete else 2 if guest.had_request else 0, guest.state_since_s, place)
        for place, guest in enumerate(guests)
    ]
    return min(order)[2] if order else None
