"""What the decisions ask for; all times are milliseconds (``_ms``)."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


@dataclass(slots=True, frozen=True)
class Send:
    """Send the request to a server; a timeout of None lasts until the client's deadline."""

    request: str
    server: str
    timeout_ms: float | None = None


class TimerName(StrEnum):
    """What a timer of the decisions is for: its token begins with the name."""

    WATCH = "look"  # check on a request: followed by a colon and its id
    MEMBERS = "members"  # ask for the list of servers again
    EXPIRE = "reap"  # drop what is old


class GiveUpReason(StrEnum):
    """Why a request was refused or failed."""

    UNKNOWN_CLASS = "unknown_class"
    NO_SERVER = "no_server"  # none that is up may get it: none listed, all cold, or all have failed it
    MEMORY_SHORT = "memory_short"  # of the decode servers
    TOKENS_IN_FLIGHT = "tokens_in_flight"  # the concurrency limit
    WAIT_TOO_LONG = "wait_too_long"  # at the prefill servers
    ATTEMPTS_USED = "attempts_used"
    OUT_OF_TIME = "out_of_time"
    SHUTDOWN = "shutdown"


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a `Timer` event at a clock reading."""

    at_ms: float
    token: str


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: refused, and a retry does no harm; where a time is told, it is for after that."""

    request: str
    retry_after_ms: float | None = None
    why: GiveUpReason = field(default=GiveUpReason.NO_SERVER, compare=False)  # for the log alone


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, with nothing promised about the effect."""

    request: str
    why: GiveUpReason = field(default=GiveUpReason.NO_SERVER, compare=False)  # for the log alone


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Release:
    """Release every KV cache entry and reservation held for the request."""

    request: str


@dataclass(slots=True, frozen=True)
class Probe:
    """Ask a server for its load."""

    server: str


@dataclass(slots=True, frozen=True)
class AskMembers:
    """Ask for the whole list of servers once."""


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Ask for changes of the list from now on."""

    active: bool = True


@dataclass(slots=True, frozen=True)
class Log:
    """A line for the operators."""

    text: str


Action = Send | SetTimer | Refuse | Fail | Cancel | Release | Probe | AskMembers | Subscribe | Log
