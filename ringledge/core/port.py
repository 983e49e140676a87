"""The port through which the core reaches clients."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(slots=True, frozen=True)
class Payload:
    """What a server receives of a request, byte for byte; opaque to the core."""

    target: bytes
    body: bytes
    content_type: bytes = b"application/json"


class ResponseSink(Protocol):
    """The client's side of one request. Exactly one of the first four calls ends it."""

    def reject(self, retry_after_ms: float | None) -> None:
        """Final answer: rejected, and a retry is safe."""

    def fail(self) -> None:
        """Final answer: failed, with nothing promised."""

    def finish(self) -> None:
        """The stream is complete: end it cleanly."""

    def abort(self) -> None:
        """The stream broke: end the client's connection, never cleanly."""

    def is_disconnected(self) -> bool:
        """Whether the client is known to have disconnected; called right before a request is sent for it."""

    async def relay(self, chunk: bytes) -> None:
        """Forward a chunk of the stream unchanged; waits while the client does not read."""
