"""The interface of components, other than the policy, that observe requests and attempts."""

from __future__ import annotations

from typing import Protocol

from ringledge.core.records import Attempt, RequestRecord
from ringledge.routing.interface import AttemptStatus


class RequestObserver(Protocol):
    """Receives notifications of requests and attempts, and must not modify them."""

    def on_request_accepted(self, record: RequestRecord) -> None:
        """Called after a request was registered."""
        ...

    def on_attempt_ended(self, attempt: Attempt, status: AttemptStatus, note: int) -> None:
        """Called after an attempt got its outcome; `AttemptOutcome` describes `note`."""
        ...
