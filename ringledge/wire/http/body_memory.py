"""The memory that bodies of requests may take."""

from __future__ import annotations


class BodyMemory:
    """Bytes of requests that all fronts may hold at once."""

    def __init__(self, limit_bytes: float) -> None:
        self.limit_bytes, self.used_bytes = limit_bytes, 0
