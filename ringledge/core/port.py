"""The small port through which the core reaches the wires."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ringledge.core.ledger import Attempt


@dataclass(slots=True, frozen=True)
class Payload:
    """What a server gets of a request, byte for byte; the core doesn't look into it."""

    target: bytes
    body: bytes
    content_type: bytes = b"application/json"


class Caller(Protocol):
    """The client's side of one request; a front implements it. Exactly one of the first four ends it."""

    def refuse(self, come_back_ms: float | None) -> None:
        """Final answer: no, and a repeat does no harm."""

    def fail(self) -> None:
        """Final answer: failed, with nothing promised."""

    def finish(self) -> None:
        """The stream is whole: end it cleanly."""

    def break_off(self) -> None:
        """The stream broke: end the client's connection, never cleanly."""

    async def relay(self, piece: bytes) -> None:
        """Pass a piece of the stream on, unchanged; waits while the client takes none."""


class Servers(Protocol):
    """What the core carries out its actions with."""

    def send(self, attempt: Attempt) -> None:
        """Start an attempt; its end is reported to the conductor."""

    def abandon(self, attempt: Attempt) -> None:
        """Close the attempt's connection now."""

    def release(self, request: str, known: set[str], unseen: Mapping[str, float], begun: bool) -> None:
        """Let go of what servers hold for a request whose attempts have all ended.

        `known`: where a state waits for certain; `unseen`: where a read was given up that may have ended
        well, and when (the clock's ms); `begun`: an answer has started since, with which all was let go
        wherever that could be told.
        """

    def listed(self) -> None:
        """The list of servers has changed."""

    def silences(self) -> frozenset[str]:
        """The servers that no connection reaches just now."""

    def probe(self, server: str) -> None:
        """Ask a server for its load."""

    def ask_members(self) -> None:
        """Ask discovery for the whole list once."""
