"""The interface of a duty, which one member at a time performs while it holds the duty's lease."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

LeaseCheck = Callable[[], bool]  # whether the lease is held now, by the local clock


class Duty(Protocol):
    """Work that is performed by the holder of its lease only."""

    def begin(self, token: int) -> None:
        """Start under a fencing token, which every effect has to carry until `stop`."""
        ...

    async def step(self, token: int, is_held: LeaseCheck, /) -> float:
        """Perform one step and return the seconds until the next one; the step may be cancelled.

        `is_held` has to be checked immediately before each effect.
        """
        ...

    def stop(self) -> None:
        """Stop starting new work, because the lease is no longer held."""
        ...
