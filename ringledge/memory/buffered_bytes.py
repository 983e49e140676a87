"""Counts the response bytes in memory: those waiting for slow clients, and those retained for replay."""

from __future__ import annotations

from typing import Protocol


class ResponseCache(Protocol):
    """A store of responses that are retained for replay and can be evicted."""

    def size_bytes(self) -> int:
        """The size of the retained responses."""

    def evict(self, size_bytes: int) -> int:
        """Evict the oldest responses until at least `size_bytes` are freed; returns the bytes freed."""


class BufferedBytes:
    """The count for all listeners of the process; retained responses can be evicted when memory is short."""

    def __init__(self) -> None:
        self.stream_bytes = 0  # response bytes that slow clients have not received yet
        self._caches: list[ResponseCache] = []

    def register(self, cache: ResponseCache) -> None:
        """Include the responses of a store in the count."""
        self._caches.append(cache)

    @property
    def total_bytes(self) -> int:
        """Bytes waiting for slow clients and bytes retained for replay."""
        return self.stream_bytes + sum(cache.size_bytes() for cache in self._caches)

    def evict(self, size_bytes: int) -> int:
        """Evict retained responses until at least `size_bytes` are freed; returns the bytes freed."""
        evicted = 0
        for cache in self._caches:
            if evicted < size_bytes:
                evicted += cache.evict(size_bytes - evicted)
        return evicted
