"""What the decisions ask for; all times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Send:
    """Send the request to a server; a time-out of None lasts until the client's time is up."""

    request: str
    server: str
    timeout_ms: float | None = None


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a `Timer` event at a clock reading."""

    at_ms: float
    token: str


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: no, and a repeat does no harm. Tells when to come back, where a time is given."""

    request: str
    come_back_ms: float | None = None


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
    """Let go of every state and place held for the request."""

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
