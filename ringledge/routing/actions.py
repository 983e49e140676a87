"""Actions that the policy returns for its caller to execute. Times are in milliseconds (``_ms``)."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


@dataclass(slots=True, frozen=True)
class SendAttempt:
    """Send the request to a server. Without a timeout the attempt lasts until the client's deadline."""

    request: str
    server: str
    timeout_ms: float | None = None


class TimerName(StrEnum):
    """Purpose of a timer, with which its token begins."""

    WATCH = "look"  # check the deadlines of a request; a colon and the request id follow
    MEMBERS = "members"  # request the server list again
    EXPIRE = "reap"  # delete expired state


@dataclass(slots=True, frozen=True)
class TimerToken:
    """Identifies a timer. `SetTimer` carries its text and `TimerFired` returns it."""

    name: TimerName
    request: str | None = None  # set for WATCH only

    def encode(self) -> str:
        """Return the text of the token."""
        return self.name.value if self.request is None else f"{self.name}:{self.request}"

    @classmethod
    def decode(cls, text: str) -> TimerToken | None:
        """Parse the text of a token; return None for a token that the policy did not create."""
        name, _, request = text.partition(":")
        return cls(TimerName(name), request) if name in _TIMER_NAMES else None


_TIMER_NAMES = frozenset(TimerName)


class GiveUpReason(StrEnum):
    """Why the router rejected or failed a request."""

    UNKNOWN_CLASS = "unknown_class"
    NO_SERVER = (
        "no_server"  # no eligible server: none is listed, all are cold, or all have failed the request
    )
    MEMORY_SHORT = "memory_short"  # the memory of the decode servers is nearly full
    TOKENS_IN_FLIGHT = "tokens_in_flight"  # the concurrency limit on prefills is reached
    WAIT_TOO_LONG = "wait_too_long"  # the expected wait at the prefill servers is too long
    ATTEMPTS_USED = "attempts_used"
    OUT_OF_TIME = "out_of_time"
    SHUTDOWN = "shutdown"


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Deliver a `TimerFired` event at a clock time."""

    at_ms: float
    token: str


@dataclass(slots=True, frozen=True)
class RejectRequest:
    """Final answer: the request is rejected and safe to retry, after `retry_after_ms` if that is set."""

    request: str
    retry_after_ms: float | None = None
    reason: GiveUpReason = field(default=GiveUpReason.NO_SERVER, compare=False)  # only logged


@dataclass(slots=True, frozen=True)
class FailRequest:
    """Final answer: the request has failed and may or may not have taken effect."""

    request: str
    reason: GiveUpReason = field(default=GiveUpReason.NO_SERVER, compare=False)  # only logged


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel an attempt. Its outcome is still reported."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class ReleaseCache:
    """Release all KV cache entries and reservations of a request."""

    request: str


@dataclass(slots=True, frozen=True)
class ProbeServer:
    """Probe a server for a load report."""

    server: str


@dataclass(slots=True, frozen=True)
class PollEndpoints:
    """Request the complete server list once."""


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Subscribe to changes of the server list, or unsubscribe if `active` is false."""

    active: bool = True


@dataclass(slots=True, frozen=True)
class LogMessage:
    """Write a log message for the operators."""

    text: str


RoutingAction = (
    SendAttempt
    | SetTimer
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | ReleaseCache
    | ProbeServer
    | PollEndpoints
    | WatchEndpoints
    | LogMessage
)
