"""The state of an attempt while it is in flight."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import anyio

from ringledge.core.records import Attempt
from ringledge.wire.http.connection import Connection


@dataclass(slots=True)
class InFlightAttempt:
    """An attempt in flight; cancelling its scope ends the exchange."""

    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    conn: Connection | None = None
    written_ms: float = math.inf  # when the last byte of its request was written (the clock's ms)
    received_bytes: int = 0  # on its connection, before its request was written
    # When a stream counts as unresponsive unless a complete chunk arrives before (monotonic time).
    chunk_deadline_s: float = math.inf
    relaying: bool = False  # it waits for its client, so that the server can't be blamed for the silence

    def response_began(self) -> bool:
        """Whether the server has sent anything since the request was written: then it has arrived."""
        if self.conn is None or self.written_ms == math.inf:
            return False
        return self.conn.received_bytes > self.received_bytes

    def update_delivered(self, attempt: Attempt) -> None:
        """Mark the attempt delivered where its response has begun, however little of it has come."""
        attempt.delivered = attempt.delivered or self.response_began()
