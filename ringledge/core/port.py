"""The interface between the core and the fronts, which speak the client protocols."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(slots=True, frozen=True)
class Payload:
    """The part of a client's request that servers receive unchanged; the core does not interpret it."""

    target: bytes
    body: bytes
    content_type: bytes = b"application/json"


RELEASED_PAYLOAD = Payload(b"", b"")  # of a request that is sent to no server any more


class ResponseSink(Protocol):
    """Delivers the response of one request to its client.

    Exactly one call of `reject`, `fail`, `finish` or `abort` ends the response.
    """

    def reject(self, retry_after_ms: float | None) -> None:
        """Answer that the request was rejected and may safely be retried."""

    def fail(self) -> None:
        """Answer that the request failed, without a statement on whether it ran."""

    def finish(self) -> None:
        """End a complete stream."""

    def abort(self) -> None:
        """Close the client's connection so that the client can tell that the stream is incomplete."""

    def is_disconnected(self) -> bool:
        """Whether the client is known to have disconnected; checked right before an attempt is sent."""

    async def relay(self, chunk: bytes) -> None:
        """Forward a chunk of the stream unchanged; blocks while the client does not read."""
