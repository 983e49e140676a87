"""What one acceptor knows of each duty: its lock, its reservation, its highest token."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

MAX_WAITERS = 8  # proposers notified when a duty becomes free; others retry by themselves


class ProposerId(NamedTuple):
    """One process of a member."""

    name: str
    start_number: int


NOBODY = ProposerId("", 0)


@dataclass(slots=True)
class DutyLock:
    """One duty as an acceptor knows it."""

    # Invariant: never decreases; a token not above it is accepted only as a renewal or a repetition.
    highest_token: int = 0
    # Invariant: while the lock lasts, `holder` changes for a release of the holder alone.
    holder: ProposerId = NOBODY  # of the current or the last lock; NOBODY once it was released
    holder_token: int = 0
    locked_until_s: float = float("-inf")
    released_by: ProposerId = NOBODY  # the last release, and its token
    released_token: int = 0
    reserved_for: ProposerId = NOBODY
    reserved_until_s: float = float("-inf")
    waiters: dict[str, None] = field(default_factory=dict)  # names of rejected proposers, the latest last

    def is_locked_for_other(self, now_s: float, proposer: ProposerId) -> bool:
        """Whether another has the lock."""
        return now_s < self.locked_until_s and self.holder != proposer

    def is_reserved_for_other(self, now_s: float, proposer: ProposerId) -> bool:
        """Whether another has the reservation."""
        return now_s < self.reserved_until_s and self.reserved_for != proposer

    def is_unused(self, now_s: float) -> bool:
        """Whether there is neither a lock nor a reservation."""
        return now_s >= max(self.locked_until_s, self.reserved_until_s)

    def add_waiter(self, name: str) -> None:
        """Remember whom to notify once the duty is free; forget the oldest beyond `MAX_WAITERS`."""
        self.waiters.pop(name, None)
        self.waiters[name] = None
        if len(self.waiters) > MAX_WAITERS:
            del self.waiters[next(iter(self.waiters))]

    def reserve(self, proposer: ProposerId, until_s: float) -> None:
        """Reserve the duty; replaces another's reservation."""
        self.reserved_for = proposer
        self.reserved_until_s = until_s

    def clear_reservation(self) -> None:
        """End the reservation, whoever has it."""
        self.reserved_for = NOBODY
        self.reserved_until_s = float("-inf")

    def lock(self, proposer: ProposerId, token: int, until_s: float) -> None:
        """Lock the duty under a token, or extend the lock."""
        self.highest_token = max(self.highest_token, token)
        self.holder_token = token
        self.holder = proposer
        self.clear_reservation()
        self.locked_until_s = max(self.locked_until_s, until_s)

    def release(self, proposer: ProposerId, token: int) -> bool:
        """Remember the release; unlock, where it is of the lock's holder. Whether it was."""
        if self.reserved_for == proposer:
            self.clear_reservation()
        if token >= max(self.holder_token, self.released_token):
            self.released_by = proposer
            self.released_token = token
        if self.holder != proposer or token < self.holder_token:
            return False
        self.holder = NOBODY
        self.locked_until_s = float("-inf")
        return True

    def was_released(self, proposer: ProposerId, token: int) -> bool:
        """Whether a release of this holding arrived before."""
        return self.released_by == proposer and token <= self.released_token

    def take_waiters(self) -> list[str]:
        """Return the proposers to notify, and forget them."""
        waiters = [*self.waiters]
        self.waiters = {}
        return waiters
