"""The memory limit for request bodies."""

from __future__ import annotations


class BodyMemory:
    """Memory for request bodies: a limit that several fronts may share, and the bytes in use."""

    def __init__(self, limit_bytes: float) -> None:
        self.limit_bytes, self.used_bytes = limit_bytes, 0
