"""The interface by which the replayer sends queue entries; the fronts of client protocols implement it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ringledge.decide.replay.scheduler import SendOutcome
from ringledge.store.entry import Entry


@dataclass(slots=True, frozen=True)
class SendResult:
    """Result of an attempt to send a queue entry."""

    outcome: SendOutcome
    may_have_run: bool
    answer: bytes = b""  # if served, the response for the client; if failed permanently, the reason
    work: float | None = None  # prefill and decode tokens together; None if not known
    decode_work: float = 0.0  # decode tokens


class SendHandle(Protocol):
    """Handle of a queue entry in flight."""

    def cancel(self) -> bool:
        """Cancel the attempt and return True, or return False if the entry must not run twice.

        After False the attempt continues, and its result may still be accepted.
        """
        ...


class EntrySender(Protocol):
    """Sends queue entries through the same routing as all other requests."""

    def __call__(self, entry: Entry, on_result: Callable[[SendResult], None]) -> SendHandle | None:
        """Start an attempt; returns None if the entry cannot be sent at all.

        Otherwise `on_result` is called exactly once, possibly before this method returns.
        """
        ...
