"""The interface for parts of the program that observe requests and attempts beside the policy."""

from __future__ import annotations

from typing import Protocol

from ringledge.core.records import Attempt, RequestRecord
from ringledge.routing.interface import AttemptStatus


class RequestObserver(Protocol):
    """Is notified of requests and attempts; it changes nothing."""

    def on_request_accepted(self, record: RequestRecord) -> None:
        """A request was registered."""
        ...

    def on_attempt_ended(self, attempt: Attempt, status: AttemptStatus, note: int) -> None:
        """An attempt has its outcome; for `note` see `AttemptOutcome`."""
        ...
