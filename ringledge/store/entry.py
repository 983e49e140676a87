"""What the queue holds: an entry, the states that it passes through, and the one end that it gets."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum


class State(IntEnum):
    """Where an entry stands; the numbers stand in the file."""

    WAITING = 0
    BEGUN = 1  # an attempt's first byte may be on its way
    ENDED = 2


class End(Enum):
    """How an entry ended; the words stand in the file."""

    SERVED = "served"
    FAILED = "failed"  # it did not run, or what may be repeated failed too often
    EXPIRED = "expired"  # never sent
    UNKNOWN = "unknown"  # it must not run twice, and may have run
    WITHDRAWN = "withdrawn"  # taken back by its client before it was sent


@dataclass(slots=True, frozen=True)
class Asked:
    """A request as it is put into the queue; times are Unix seconds."""

    name: str  # unguessable: whoever knows it and is of its tenant may fetch the answer
    tenant: str
    kind: str  # the class's name
    safe: bool  # it may run twice
    question: bytes
    work: float  # tokens to read and to write, as estimated
    created_s: float
    expires_s: float
    key: str | None = None  # the client's idempotency key


@dataclass(slots=True, frozen=True)
class Entry:
    """A request in the queue."""

    asked: Asked
    state: State
    token: int  # of the duty under which it was begun, or ended; 0: neither
    attempts: int  # that were begun
    ended_s: float | None = None
    end: End | None = None
    answer: bytes | None = None  # served: the answer; else why, in words

    @property
    def name(self) -> str:
        """Its place's last part."""
        return self.asked.name


class Why(Enum):
    """Why a request was not queued; each is counted by itself."""

    ENTRIES = "entries"  # the queue has as many as it may
    BYTES = "bytes"
    TENANT = "tenant"  # this tenant has its share
    LARGE = "large"  # the question alone is too long
    AGE = "age"  # it would have expired already
    DISK = "disk"  # there is no room on the disk
    FAILED = "failed"  # the disk failed at the sync: whether it is kept shows only when the file is read anew
    BUSY = "busy"  # another process held the file for too long
    CLOSED = "closed"  # the file can't be used


class StoreError(Exception):
    """The queue can't do what it was asked; nothing was changed."""

    def __init__(self, why: Why, text: str) -> None:
        super().__init__(text)
        self.why = why


class StaleError(Exception):
    """An effect came with a token that is not the highest seen; nothing was changed."""


class MovedError(Exception):
    """The entry is not in the state that this step starts from; nothing was changed."""
