"""What the decisions ask for; all times are milliseconds (``_ms``)."""

from __future__ import annotations

from dataclasses import dataclass
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


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, with nothing promised about the effect."""

    request: str


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
