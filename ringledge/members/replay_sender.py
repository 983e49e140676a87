"""The interface between the replayer and what sends its entries; the front ends implement it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ringledge.decide.replay.scheduler import SendOutcome
from ringledge.store.entry import Entry


@dataclass(slots=True, frozen=True)
class SendResult:
    """The result of sending one entry."""

    outcome: SendOutcome
    may_have_run: bool
    answer: bytes = b""  # served: what the client gets; failed for good: the reason
    work: float | None = None  # tokens of prefill and decode, where they are known
    decode_work: float = 0.0  # those of decode


class SendHandle(Protocol):
    """One entry in flight."""

    def cancel(self) -> bool:
        """Cancel it; False for one that must not run twice: it runs on, and its result may still count."""
        ...


class EntrySender(Protocol):
    """Sends entries by the same routing as all other requests."""

    def __call__(self, entry: Entry, on_result: Callable[[SendResult], None]) -> SendHandle | None:
        """Start one; `on_result` is called once, maybe before this returns. None: it can't be sent at all."""
        ...
