"""The state of an attempt while it is in flight."""

from __future__ import annotations

import math
import time
from dataclasses import dataclass, field

import anyio

from ringledge.core.records import Attempt
from ringledge.wire.http.connection import Connection


@dataclass(slots=True)
class InFlightAttempt:
    """The state of an attempt in flight; cancelling `scope` ends its exchange."""

    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    conn: Connection | None = None
    written_ms: float = math.inf  # clock reading when the last byte of the request was written
    received_bytes: int = 0  # bytes received on the connection before the request was written
    # Monotonic time at which a stream counts as unresponsive unless a complete event arrives before.
    event_deadline_s: float = math.inf
    last_event_s: float = math.inf  # monotonic time at which the last sound event of the stream arrived
    relaying: bool = False  # waiting for the client to read: the server is not to blame for a delay

    def silent_ms(self) -> float:
        """Time since the last sound event of a stream that has started."""
        return round((time.monotonic() - self.last_event_s) * 1000, 1)

    def response_bytes(self) -> int:
        """How many bytes the server has sent since the request was written."""
        if self.conn is None or self.written_ms == math.inf:
            return 0
        return self.conn.received_bytes - self.received_bytes

    def response_began(self) -> bool:
        """Whether the server has sent anything since the request was written, which proves its delivery."""
        return self.response_bytes() > 0

    def update_delivered(self, attempt: Attempt) -> None:
        """Mark the attempt as delivered if any byte of its response has arrived."""
        attempt.delivered = attempt.delivered or self.response_began()
