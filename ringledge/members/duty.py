"""What a duty looks like to the part that holds its lease."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

Still = Callable[[], bool]  # whether the lease runs at this moment of our own clock


class Duty(Protocol):
    """Work that one member does at a time."""

    def begin(self, token: int) -> None:
        """The lease is ours; each effect from here on carries the token."""
        ...

    async def step(self, token: int, still: Still) -> float:
        """One step, `still` asked right before each effect; s to wait until the next. It may be cancelled."""
        ...

    def stop(self) -> None:
        """The lease is not ours any more: begin nothing new."""
        ...
