"""The small port through which the core reaches clients."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(slots=True, frozen=True)
class Payload:
    """What a server gets of a request, byte for byte; the core doesn't look into it."""

    target: bytes
    body: bytes
    content_type: bytes = b"application/json"


class ResponseSink(Protocol):
    """The client's side of one request; a front implements it. Exactly one of the first four ends it."""

    def reject(self, come_back_ms: float | None) -> None:
        """Final answer: no, and a repeat does no harm."""

    def fail(self) -> None:
        """Final answer: failed, with nothing promised."""

    def finish(self) -> None:
        """The stream is whole: end it cleanly."""

    def abort(self) -> None:
        """The stream broke: end the client's connection, never cleanly."""

    def is_disconnected(self) -> bool:
        """Whether the client is known to have left; asked right before something is sent for it."""

    async def relay(self, piece: bytes) -> None:
        """Pass a piece of the stream on, unchanged; waits while the client takes none."""
