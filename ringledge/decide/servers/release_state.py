"""Types of the release scheduler: calls, results and the state of a release in progress."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class ReleaseOutcome(Enum):
    """How a release ended; the values stand in logs and metrics."""

    DONE = "done"  # a server answered the call
    NO_SERVER = "gone"  # no server is listed any more
    TIMED_OUT = "lost"  # no server answered in time


@dataclass(slots=True, frozen=True)
class ReleaseCall:
    """One call that asks a server to release all that is reserved for a request."""

    request: str
    server: str


@dataclass(slots=True, frozen=True)
class ReleaseResult:
    """A finished release."""

    request: str
    outcome: ReleaseOutcome
    calls: int  # sent until the first answer
    duration_ms: float  # until the first answer, or until the release was given up
    server: str = ""  # that answered first; empty if none did
    by_holder: bool = False  # whether that server was a holder


@dataclass(slots=True)
class ActiveRelease:
    """The release of one request while it is in progress."""

    request: str
    holders: tuple[str, ...]
    unconfirmed: frozenset[str]  # holders whose abandoned prefill may still be running
    started_ms: float
    deadline_ms: float  # by when a server should have answered
    next_call_ms: float = 0.0
    called: set[str] = field(default_factory=set)  # servers called in the current round
    calls: int = 0
    result: ReleaseResult | None = None  # of the first call that was answered
