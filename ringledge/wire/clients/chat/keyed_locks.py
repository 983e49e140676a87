"""Mutual exclusion by key, for steps that wait between looking a key up and entering it."""

from __future__ import annotations

from collections.abc import AsyncIterator, Hashable
from contextlib import asynccontextmanager

import anyio


class KeyedLocks:
    """One lock a key, which exists only while it is held."""

    def __init__(self) -> None:
        self._locks: dict[Hashable, anyio.Lock] = {}

    def __len__(self) -> int:
        """The number of keys that are held."""
        return len(self._locks)

    @asynccontextmanager
    async def hold(self, key: Hashable | None) -> AsyncIterator[None]:
        """Hold a key, in the order of asking; None stands for no key and is never waited for."""
        if key is None:
            yield
            return
        lock = self._locks.setdefault(key, anyio.Lock())
        try:
            async with lock:
                yield
        finally:
            if not lock.locked():  # else it belongs to the next one that waits
                self._locks.pop(key, None)
