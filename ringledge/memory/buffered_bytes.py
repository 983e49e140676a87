"""Bytes of responses that are buffered in memory: for slow clients, and retained for clients that return."""

from __future__ import annotations

from typing import Protocol


class ResponseCache(Protocol):
    """A store of retained responses that can be evicted."""

    def size_bytes(self) -> int:
        """How many bytes it retains."""

    def evict(self, size_bytes: int) -> int:
        """Evict responses, oldest first, until so many bytes are free; returns how many were freed."""


class BufferedBytes:
    """One count for all listeners; what is retained can be evicted when memory runs short."""

    def __init__(self) -> None:
        self.stream_bytes = 0  # waiting for slow clients
        self._caches: list[ResponseCache] = []

    def register(self, cache: ResponseCache) -> None:
        """Add a store of responses to the count."""
        self._caches.append(cache)

    @property
    def total_bytes(self) -> int:
        """All that is buffered."""
        return self.stream_bytes + sum(cache.size_bytes() for cache in self._caches)

    def evict(self, size_bytes: int) -> int:
        """Evict retained responses until so many bytes are free; returns how many were freed."""
        evicted = 0
        for cache in self._caches:
            if evicted < size_bytes:
                evicted += cache.evict(size_bytes - evicted)
        return evicted
