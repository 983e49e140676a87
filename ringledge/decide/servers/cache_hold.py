"""What servers may hold of one request's KV cache, and for how long already; free of I/O and clocks.

The time counts while no attempt of the request is in flight that has arrived. All times are in ms of the
caller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from math import inf


class ReleaseReason(StrEnum):
    """Why the entries of an open request are released; the values stand in logs and metrics."""

    NO_SERVER_REACHED = "no_server_reached"  # no decode server took a connection within the hold limit
    NOT_DELIVERED = "not_delivered"  # the decode in flight may not have arrived by the hold limit


@dataclass(slots=True)
class CacheHold:
    """The KV cache entries of one request."""

    holders: set[str] = field(default_factory=set)  # servers that hold an entry
    # Servers on which an attempt may have left an entry unobserved, and when it ended (inf: it may yet run).
    unobserved: dict[str, float] = field(default_factory=dict)
    idle_since_ms: float = 0.0  # since when no attempt that has arrived is in flight
    released: bool = False  # the entry was released while the policy still counts on it

    def prefilled(self, server: str) -> None:
        """A prefill has ended well: its server holds an entry."""
        self.holders.add(server)
        self.released = False

    def fetched_elsewhere(self, now_ms: float) -> None:
        """A decode found no entry: its holder has none any more; an earlier decode may have fetched it."""
        self.unobserved |= dict.fromkeys(self.holders, now_ms)
        self.holders.clear()

    def ended_unobserved(self, server: str, now_ms: float, has_answered: bool) -> None:
        """An attempt that may have left an entry ended without a response.

        `has_answered`: its server has answered something since the attempt was sent; one that has not may
        hang, and run the attempt once it resumes.
        """
        self.unobserved[server] = now_ms if has_answered else inf

    def attempt_ended(self, now_ms: float, has_arrived: bool) -> None:
        """An attempt has ended, whatever it left; `has_arrived`: its server had received it."""
        if has_arrived:
            self.idle_since_ms = now_ms

    def stream_started(self) -> None:
        """The first token has arrived: with it servers release by themselves what they hold."""
        self.holders.clear()

    def take_holders(self) -> set[str]:
        """Remove the certain holders, which are told to release the entry."""
        holders, self.holders = self.holders, set()
        return holders

    def take_unobserved(self) -> dict[str, float]:
        """Remove the servers that may hold an entry unobserved."""
        unobserved, self.unobserved = self.unobserved, {}
        return unobserved
