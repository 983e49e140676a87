"""The interface between a duty and the holder of its lease."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

LeaseCheck = Callable[[], bool]  # whether the lease is held at this moment of this process's own clock


class Duty(Protocol):
    """Work that one member does at a time."""

    def begin(self, token: int) -> None:
        """Start under a fencing token, which each effect from here on carries."""
        ...

    async def step(self, token: int, is_held: LeaseCheck, /) -> float:
        """One step, `is_held` checked right before each effect; s until the next step. May be cancelled."""
        ...

    def stop(self) -> None:
        """Begin nothing new: the lease is not held any more."""
        ...
