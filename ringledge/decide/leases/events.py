"""Events of a lease: its acquisition and the reasons for its end; the values appear in logs and counters."""

from __future__ import annotations

from enum import StrEnum


class LeaseEvent(StrEnum):
    """What happened to a lease of this member; all but `BEGIN` are reasons of a `LeaseEnded` action."""

    BEGIN = "begin"
    GIVEN_UP = "given_up"  # released on purpose, so that another member takes over
    EXPIRED = "expired"  # a majority did not renew it in time, or the process was suspended
    STOPPED = "stopped"  # the member shuts down, or no longer seeks the duty
