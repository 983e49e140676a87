"""The data model of the durable queue: requests, entries, their states and outcomes, and the queue's errors.

All times are Unix seconds: an entry outlives the process that wrote it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from pathlib import Path


class EntryState(IntEnum):
    """The state of an entry; the numbers are stored in the file."""

    WAITING = 0
    BEGUN = 1  # the first byte of an attempt may have been sent
    ENDED = 2


class EntryOutcome(Enum):
    """The outcome of an ended entry; the words are stored in the file."""

    SERVED = "served"
    FAILED = "failed"  # it did not run, or an idempotent request used up its attempts
    EXPIRED = "expired"  # never sent
    UNKNOWN = "unknown"  # not idempotent, and it may have run
    WITHDRAWN = "withdrawn"  # cancelled by its client before it was sent


@dataclass(slots=True, frozen=True)
class QueuedRequest:
    """A client's request as it is enqueued."""

    name: str  # unguessable: a client of the tenant that knows it may fetch the response
    tenant: str
    request_class: str
    idempotent: bool  # whether it may run more than once
    body: bytes
    estimated_tokens: float  # prompt and output tokens
    created_s: float
    expires_s: float
    idempotency_key: str | None = None  # as sent by the client


@dataclass(slots=True, frozen=True)
class Entry:
    """A queued request with its state; immutable, each transition returns a new one."""

    request: QueuedRequest
    state: EntryState
    token: int  # fencing token of the lease under which it was begun or ended; 0: neither
    attempts: int  # begun so far, without those that were rejected before they ran
    ended_s: float | None = None
    outcome: EntryOutcome | None = None
    response: bytes | None = None  # the response if served, else the reason in words

    @property
    def name(self) -> str:
        """The name of the request: the last segment of the URL at which a client polls it."""
        return self.request.name


class QueueRejectionReason(Enum):
    """Why the queue rejected a call; the value is the label of the metric that counts it."""

    MAX_ENTRIES = "entries"
    MAX_BYTES = "bytes"
    TENANT_QUOTA = "tenant"
    TOO_LARGE = "large"  # this one body exceeds the limit of an entry
    ALREADY_EXPIRED = "age"
    DISK_FULL = "disk"
    IO_ERROR = "failed"  # the sync failed: only reading the file again shows whether the change is durable
    LOCKED = "busy"  # another process held the file's lock for longer than the time-out
    UNAVAILABLE = "closed"  # the file can't be opened or used


class QueueError(Exception):
    """The queue rejected a call. Nothing was changed, except that IO_ERROR leaves this unknown."""

    def __init__(self, reason: QueueRejectionReason, message: str, path: Path | None = None) -> None:
        """`path`: the queue's file where the error concerns the file as a whole."""
        super().__init__(message if path is None else f"{path}: {message}")
        self.reason = reason
        self.path = path


class StaleTokenError(Exception):
    """The fencing token is not the highest one seen by the file; nothing was changed."""


class InvalidTransitionError(Exception):
    """The entry does not exist or is not in the transition's source state; nothing was changed."""
