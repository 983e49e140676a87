"""Begin and reasons of the end of a holding; the values appear in logs and counters."""

from __future__ import annotations

from enum import StrEnum


class LeaseEvent(StrEnum):
    """What happened to a holding of this member; all but `BEGIN` are reasons of `LeaseEnded`."""

    BEGIN = "begin"
    GIVEN_UP = "given_up"  # released in good order, so that another member takes over
    EXPIRED = "expired"  # not renewed in time by a majority, or the process was suspended
    STOPPED = "stopped"  # the member shuts down, or no longer seeks the duty
