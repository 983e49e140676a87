"""The small port through which the core reaches servers and discovery."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from ringledge.core.records import Attempt


class ServerTransport(Protocol):
    """What the core carries out its actions with."""

    def send(self, attempt: Attempt) -> None:
        """Start an attempt; its end is reported to the conductor."""

    def abandon(self, attempt: Attempt) -> None:
        """Close the attempt's connection now."""

    def release(self, request: str, known: set[str], unseen: Mapping[str, float], begun: bool) -> None:
        """Release what servers hold for a request whose attempts have all ended.

        `known`: which hold a KV cache entry for certain; `unseen`: where a prefill was given up that may have
        ended well, and when (the clock's ms); `begun`: an answer has started since, with which all was
        released wherever that could be told.
        """

    def answered_since(self, server: str, at_ms: float) -> bool:
        """Whether the server's process has answered anything since then (the clock's ms)."""

    def endpoints_changed(self) -> None:
        """The list of servers has changed."""

    def unreachable_servers(self) -> frozenset[str]:
        """The servers that no connection reaches just now."""

    def probe(self, server: str) -> None:
        """Ask a server for its load."""

    def poll_endpoints(self) -> None:
        """Ask discovery for the whole list once."""
