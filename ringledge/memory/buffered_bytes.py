"""Bytes that answers hold in memory: what slow clients have not taken, and what is kept for a return."""

from __future__ import annotations

from collections.abc import Callable


class BufferedBytes:
    """One count for all fronts; what can be given up is asked for when memory runs short."""

    def __init__(self) -> None:
        self.streams = 0  # bytes that wait for slow clients
        self._kept: list[tuple[Callable[[], int], Callable[[int], int]]] = []

    def keeps(self, size: Callable[[], int], give_up: Callable[[int], int]) -> None:
        """Add a store of answers: how many bytes it keeps, and how to have it drop so many, oldest first."""
        self._kept.append((size, give_up))

    @property
    def bytes(self) -> int:
        """All that is held."""
        return self.streams + sum(size() for size, _ in self._kept)

    def give_up(self, size: int) -> int:
        """Drop kept answers until so many bytes are free; how many were."""
        dropped = 0
        for _, drop in self._kept:
            if dropped < size:
                dropped += drop(size - dropped)
        return dropped
