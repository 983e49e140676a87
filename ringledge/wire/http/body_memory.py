"""Memory limits for what clients cause: request bodies, bytes sent ahead, and unsent responses."""

from __future__ import annotations

import math

from ringledge.wire.http.errors import HttpError
from ringledge.wire.http.headers import Headers

READ_AHEAD_DIVISOR = 8  # a peer may send ahead at most this part of the free memory
# Range of the unsent bytes of a stream above which its server is read no further.
MIN_UNSENT_BYTES, MAX_UNSENT_BYTES = 4 * 1024, 64 * 1024
UNSENT_DIVISOR = 128  # a stream may leave unsent at most this part of the free memory


class BodyMemory:
    """Limits that several fronts may share, and the bytes in use.

    `limit_bytes` applies to what clients send, and to the responses that they do not receive: to each on its
    own, so that slow clients do not keep others from sending requests.
    """

    def __init__(self, limit_bytes: float) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0  # by the bodies of open requests
        self.read_ahead_bytes = 0  # by receive buffers that have grown
        self.unsent_bytes = 0  # of streams, waiting for clients to receive them


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

    def release(self) -> None:
        """Free what is counted for requests: the connection is closed, or gives up its buffer."""
        self.release_body()
        self.set_read_ahead(0)

    def set_read_ahead(self, size: int) -> None:
        """Count `size` bytes as buffered ahead, in place of those counted before."""
        self._shared.read_ahead_bytes += size - self._read_ahead_bytes
        self._read_ahead_bytes = size

    def add_unsent(self, change: int) -> None:
        """Count response bytes that begin to wait for the client, or uncount them if `change` is negative."""
        self._shared.unsent_bytes += change

    def max_unsent(self) -> int:
        """How many bytes of a stream may wait for the client before its server is read no further."""
        free_bytes = max(0.0, self._shared.limit_bytes - self._shared.unsent_bytes)
        return int(max(MIN_UNSENT_BYTES, min(MAX_UNSENT_BYTES, free_bytes / UNSENT_DIVISOR)))

    def max_read_ahead(self) -> float:
        """How many bytes this connection may buffer ahead; may be negative."""
        shared = self._shared
        return (shared.limit_bytes - shared.used_bytes - shared.read_ahead_bytes) / READ_AHEAD_DIVISOR
