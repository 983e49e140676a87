"""What sends a queued entry, and what it tells of the end; the fronts implement it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ringledge.decide.replay.scheduler import SendOutcome
from ringledge.store.entry import Entry


@dataclass(slots=True, frozen=True)
class SendResult:
    """What became of one send."""

    outcome: SendOutcome
    may_have_run: bool  # it may have run
    answer: bytes = b""  # served: what the client gets
    work: float | None = None  # tokens read and written, where they are known
    decode_work: float = 0.0  # those that were written


class SendHandle(Protocol):
    """One entry on its way."""

    def cancel(self) -> bool:
        """Give it up; False for one that must not run twice: it runs on, and its end may still be taken."""
        ...


class EntrySender(Protocol):
    """Sends entries by the same decisions as all other requests."""

    def __call__(self, entry: Entry, ended: Callable[[SendResult], None]) -> SendHandle | None:
        """Start one; `ended` is called once, maybe at once. None: it can't be sent at all."""
        ...
