"""Data model of the durable queue: requests, entries with their states and outcomes, errors of transitions.

All times are Unix seconds, since an entry can outlive the process that wrote it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


class EntryState(IntEnum):
    """State of an entry; the values are stored in the queue's file."""

    WAITING = 0
    BEGUN = 1  # an attempt may have been sent, wholly or in part
    ENDED = 2


class EntryOutcome(Enum):
    """Outcome of an ended entry; the values are stored in the queue's file."""

    SERVED = "served"
    FAILED = "failed"  # did not run, or an idempotent request has used up its attempts
    EXPIRED = "expired"  # never sent
    UNKNOWN = "unknown"  # may have run, and is not idempotent
    WITHDRAWN = "withdrawn"  # cancelled by its client before it was sent


@dataclass(slots=True, frozen=True)
class QueuedRequest:
    """A client's request as enqueued."""

    name: str  # not guessable; any client of the tenant that knows it may fetch the response
    tenant: str
    request_class: str
    idempotent: bool  # whether it may run more than once
    body: bytes
    estimated_tokens: float  # prompt and output tokens together
    created_s: float
    expires_s: float
    idempotency_key: str | None = None  # as sent by the client


@dataclass(slots=True, frozen=True)
class Entry:
    """A queued request with its state; immutable, so each transition returns a new entry."""

    request: QueuedRequest
    state: EntryState
    token: int  # fencing token of the lease under which it was last begun or ended; 0 if never
    attempts: int  # begun so far, except those that were rejected before they ran
    ended_s: float | None = None
    outcome: EntryOutcome | None = None
    response: bytes | None = None  # the response if served, otherwise a text with the reason

    @property
    def name(self) -> str:
        """Name of the request, the last segment of the URL at which the client polls the entry."""
        return self.request.name


class StaleTokenError(Exception):
    """The fencing token is not the highest one recorded in the file; nothing was changed."""


class InvalidTransitionError(Exception):
    """The entry does not exist or is not in the source state of the transition; nothing was changed."""
