"""The state of an attempt while it is in flight."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import anyio

from ringledge.wire.http.connection import Connection


@dataclass(slots=True)
class InFlightAttempt:
    """An attempt in flight; cancelling its scope ends the exchange."""

    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    conn: Connection | None = None
    written_ms: float = math.inf  # when the last byte of its request was written (the clock's ms)
    # When a stream counts as unresponsive unless a complete chunk arrives before (monotonic time).
    chunk_deadline_s: float = math.inf
    relaying: bool = False  # it waits for its client, so that the server can't be blamed for the silence
