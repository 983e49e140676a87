"""The port through which the core reaches servers and discovery."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from ringledge.core.records import Attempt


class ServerTransport(Protocol):
    """What the core executes its actions with."""

    def send(self, attempt: Attempt) -> None:
        """Start an attempt; its end is reported to the conductor."""

    def abandon(self, attempt: Attempt) -> None:
        """Close the attempt's connection now."""

    def release(
        self, request: str, holders: set[str], unobserved: Mapping[str, float], streaming: bool
    ) -> None:
        """Release what servers hold for a request whose attempts have all ended.

        `holders` certainly hold a KV cache entry. `unobserved` maps each server whose cancelled prefill may
        have completed to the clock reading (ms) of the cancellation. `streaming`: a response has started
        since, with which everything was released wherever a server could be told of it.
        """

    def answered_since(self, server: str, since_ms: float) -> bool:
        """Whether the server's process has answered anything since that clock reading (ms)."""

    def endpoints_changed(self) -> None:
        """The list of servers has changed."""

    def unreachable_servers(self) -> frozenset[str]:
        """The servers to which no connection succeeds at the moment."""

    def probe(self, server: str) -> None:
        """Send a health check, which asks a server for its load report."""

    def poll_endpoints(self) -> None:
        """Poll discovery for the complete server list once."""
