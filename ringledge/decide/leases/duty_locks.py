"""The state of a duty at one acceptor: its lock, its reservation and its highest token."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

MAX_WAITERS = 8  # proposers notified when a duty is released; any others retry on their own timer


class ProposerId(NamedTuple):
    """Identifies one process of a member."""

    name: str
    start_number: int


NOBODY = ProposerId("", 0)


@dataclass(slots=True)
class DutyLock:
    """The state of one duty at an acceptor."""

    # Invariant: never decreases. Only renewals and retransmissions are accepted with a token not above it.
    highest_token: int = 0
    # Invariant: until the lock expires, `holder` changes only when that holder releases the duty.
    holder: ProposerId = NOBODY  # of the current or the last lock; NOBODY after a release
    holder_token: int = 0
    locked_until_s: float = float("-inf")
    released_by: ProposerId = NOBODY  # sender and token of the last release
    released_token: int = 0
    reserved_for: ProposerId = NOBODY
    reserved_until_s: float = float("-inf")
    waiters: dict[str, None] = field(default_factory=dict)  # rejected proposers to notify, the latest last

    def is_locked_for_other(self, now_s: float, proposer: ProposerId) -> bool:
        """Whether another proposer has the lock."""
        return now_s < self.locked_until_s and self.holder != proposer

    def is_reserved_for_other(self, now_s: float, proposer: ProposerId) -> bool:
        """Whether another proposer has the reservation."""
        return now_s < self.reserved_until_s and self.reserved_for != proposer

    def is_unused(self, now_s: float) -> bool:
        """Whether the duty is neither locked nor reserved."""
        return now_s >= max(self.locked_until_s, self.reserved_until_s)

    def add_waiter(self, name: str) -> None:
        """Add a proposer to notify once the duty is free; drop the oldest above `MAX_WAITERS`."""
        self.waiters.pop(name, None)
        self.waiters[name] = None
        if len(self.waiters) > MAX_WAITERS:
            del self.waiters[next(iter(self.waiters))]

    def reserve(self, proposer: ProposerId, until_s: float) -> None:
        """Reserve the duty; replaces any other reservation."""
        self.reserved_for = proposer
        self.reserved_until_s = until_s

    def clear_reservation(self) -> None:
        """End the reservation, whichever proposer has it."""
        self.reserved_for = NOBODY
        self.reserved_until_s = float("-inf")

    def lock(self, proposer: ProposerId, token: int, until_s: float) -> None:
        """Lock the duty under a token, or extend its lock."""
        self.highest_token = max(self.highest_token, token)
        self.holder_token = token
        self.holder = proposer
        self.clear_reservation()
        self.locked_until_s = max(self.locked_until_s, until_s)

    def release(self, proposer: ProposerId, token: int) -> bool:
        """Remember the release, and unlock the duty if the holder sent it; return whether it was unlocked."""
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
        """Whether the proposer has already released its holding under this token or a later one."""
        return self.released_by == proposer and token <= self.released_token

    def take_waiters(self) -> list[str]:
        """Return the proposers to notify, and clear the list."""
        waiters = [*self.waiters]
        self.waiters = {}
        return waiters
