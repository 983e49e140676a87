"""The interface through which the core reaches servers and discovery."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Protocol

from ringledge.core.records import Attempt


class ServerTransport(Protocol):
    """Sends attempts, releases and health checks to servers."""

    def send(self, attempt: Attempt) -> None:
        """Start an attempt, whose outcome is reported through `Conductor.on_attempt_outcome`."""

    def abandon(self, attempt: Attempt) -> None:
        """Close the attempt's connection immediately."""

    def release(
        self, request: str, holders: set[str], unobserved: Mapping[str, float], streaming: bool
    ) -> None:
        """Release the KV cache entries of a request whose attempts have all ended.

        `holders` are known to hold an entry. `unobserved` maps each server on which an attempt may have left
        an entry to the clock reading (ms) at which that attempt ended, or to inf if the server may yet run
        it. `streaming` says that a response has started, which released the entries on all servers that could
        be reached.
        """

    def answered_since(self, server: str, since_ms: float) -> bool:
        """Whether the server's process has answered any call since that clock reading (ms)."""

    def endpoints_changed(self, names: Iterable[str], is_whole: bool) -> None:
        """Called after the entries of these servers have changed, or after the whole list was replaced."""

    def unreachable_servers(self) -> frozenset[str]:
        """The servers to which connections are currently likely to fail."""

    def probe(self, server: str) -> None:
        """Send a health check, which also requests the server's load report."""

    def poll_endpoints(self) -> None:
        """Request the complete server list from discovery once."""
