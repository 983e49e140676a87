"""The memory limit for what clients send: request bodies, and bytes that were sent ahead of a response."""

from __future__ import annotations

import math

from ringledge.wire.http.errors import HttpError
from ringledge.wire.http.headers import Headers

READ_AHEAD_DIVISOR = 8  # a peer may send ahead at most this part of the free memory


class BodyMemory:
    """A limit that several fronts may share, and the bytes in use."""

    def __init__(self, limit_bytes: float) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0  # by the bodies of open requests
        self.read_ahead_bytes = 0  # by receive buffers that have grown


class ConnectionMemory:
    """The part of the shared memory that one connection uses."""

    def __init__(self, shared: BodyMemory | None = None) -> None:
        """`shared` is None for a connection whose memory is not limited."""
        self._shared = shared or BodyMemory(math.inf)
        self._body_bytes = 0
        self._read_ahead_bytes = 0

    def reserve_body(self, size: int) -> None:
        """Count bytes of a request body; HttpError 503 if that exceeds the limit."""
        self._body_bytes += size
        self._shared.used_bytes += size
        if self._shared.used_bytes > self._shared.limit_bytes:
            retry_after: Headers = [(b"Retry-After", b"1")]
            raise HttpError(503, "no memory for one more request", "overloaded", headers=retry_after)

    def release_body(self) -> None:
        """Free the memory for the body of a request that has ended."""
        self._shared.used_bytes -= self._body_bytes
        self._body_bytes = 0

    def set_read_ahead(self, size: int) -> None:
        """Count `size` bytes as buffered ahead, in place of those counted before."""
        self._shared.read_ahead_bytes += size - self._read_ahead_bytes
        self._read_ahead_bytes = size

    def max_read_ahead(self) -> float:
        """How many bytes this connection may buffer ahead; may be negative."""
        shared = self._shared
        return (shared.limit_bytes - shared.used_bytes - shared.read_ahead_bytes) / READ_AHEAD_DIVISOR
