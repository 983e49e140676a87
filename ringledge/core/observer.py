"""Who is told of requests and attempts beside the policy, where a part of the program wants to know."""

from __future__ import annotations

from typing import Protocol

from ringledge.core.records import Attempt, Record
from ringledge.routing.interface import (
    AttemptStatus,
)


class RequestObserver(Protocol):
    """Sees what passes; it changes nothing."""

    def on_request_accepted(self, record: Record) -> None:
        """A request was taken in."""
        ...

    def on_attempt_ended(self, attempt: Attempt, status: AttemptStatus, note: int) -> None:
        """An attempt has its outcome; `note`: prompt tokens found kept, after a read."""
        ...
