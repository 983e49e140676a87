"""Types that the deciders of the cluster share: members, actions and the values of replicated records.

A decider does no I/O, reads no clock and uses no global randomness: it takes events together with the time
(in s, of its own monotonic clock) and returns actions. The same objects run in production, in the simulation
and in the benchmarks.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

import msgspec

MAX_DATAGRAM_BYTES = 256  # the platform's limit for a whole datagram, header included


@dataclass(frozen=True, slots=True, order=True)
class Member:
    """One process of the router; a restarted process is a different member than its predecessor."""

    name: str
    start: int  # start number: higher for each later process of this name
    address: str = ""  # host:port at which it receives datagrams
    site: str = ""


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to the named member; it may be delayed, duplicated, reordered or lost."""

    recipient: str
    message: msgspec.Struct


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """The local member has become the lease holder of a duty, until `until_s` of its monotonic clock."""

    duty: str
    token: int  # fencing token: grows with each acquisition by any member, also when all members restart
    until_s: float


@dataclass(frozen=True, slots=True)
class LeaseEnded:
    """The local member is no longer the lease holder of a duty."""

    duty: str
    token: int
    reason: str  # "given_up", "expired" or "stopped"; see `LeaseEvent`


Action = SendMessage | LeaseAcquired | LeaseEnded


class Decider(Protocol):
    """A state machine that exchanges messages with its peers on other members."""

    def receive(self, now_s: float, sender: str, message: Any) -> list[Action]:
        """Handle a message of one of this decider's types; `sender` is the sending member's name."""
        ...

    def tick(self, now_s: float) -> list[Action]:
        """Do the work that is due; an early call is harmless."""
        ...

    def next_tick_s(self) -> float:
        """The time at which `tick` has to be called next."""
        ...


class RecordStore(Protocol):
    """Small records replicated to every member; each has one writer and is deleted after that is gone."""

    def write(self, now_s: float, key: str, value: bytes) -> bool:
        """Write a record of the local member; it replaces the earlier value of the key.

        Returns False if the record exceeds a limit and was not written.
        """
        ...

    def delete(self, now_s: float, key: str) -> None:
        """Delete a record of the local member."""
        ...

    def values(self, now_s: float, prefix: str) -> dict[tuple[str, str], bytes]:
        """All known values whose key has the prefix, by the writer's name and the key."""
        ...


class LeaseTokens(Protocol):
    """The fencing tokens of the leases that this member holds, to be checked before each step of a duty."""

    def token(self, now_s: float, duty: str) -> int | None:
        """The token while this member is the lease holder by its own clock, else None."""
        ...


# The keys of replicated records are "demand/CLASS", "server/NAME", "backlog/SITE", "plan/SERVER" and
# "doubt/SERVER". Their values are the structs below, and `health_checks.Suspicion` for "doubt/SERVER".
DEMAND_PREFIX = "demand/"  # of the keys of `ClassDemand`
SERVER_PREFIX = "server/"  # of the keys of `ServerObservation`


class ClassDemand(msgspec.Struct, array_like=True, frozen=True):
    """The demand for a request class that one member measures over its window (key demand/CLASS)."""

    arrivals: float  # requests per s
    prefill_tokens: float  # prompt tokens per s that have to be prefilled, cached ones excluded
    decode_tokens: float  # answer tokens per s


class ServerObservation(msgspec.Struct, array_like=True, frozen=True):
    """The state of one server as one member observes it (key server/NAME)."""

    prefill_rate: float  # throughput in prompt tokens per s; 0 if not known
    decode_rate: float  # throughput in answer tokens per s; 0 if not known
    warmth: float  # fraction of its capacity that is available, 0 to 1; below 1 while it warms up
    waiting_entries: int  # KV cache entries of this member's requests that wait there to be fetched


class RoleAssignment(msgspec.Struct, array_like=True, frozen=True):
    """The role that the planner assigns to a server (key plan/SERVER)."""

    token: int  # fencing token of the planner's lease
    number: int  # number of the plan; grows with each plan under the same token
    role: str  # "read" (prefill), "write" (decode) or "both" (mixed)


class QueueBacklog(msgspec.Struct, array_like=True, frozen=True):
    """The backlog of a site's queue, published by the holder of its replay lease (key backlog/SITE)."""

    token: int  # fencing token of that lease
    entries: int
    oldest_s: float  # age of the oldest entry
    weight: float  # of the site, when sites share capacity
    served: float  # work replayed within the window, in tokens
