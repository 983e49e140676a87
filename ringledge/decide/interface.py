"""Types that the deciders of the cluster share: members, actions, and the records that they replicate.

A decider is free of I/O, clocks and global randomness: it takes events with a time (s, of its own monotonic
clock) and returns actions. The same objects run in the program, in the simulation and in the benchmarks.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

import msgspec

MAX_DATAGRAM_BYTES = 256  # of a complete datagram: the limit of the platform


@dataclass(frozen=True, slots=True, order=True)
class Member:
    """One process of the program. A restarted process is another member than its predecessor."""

    name: str
    start: int  # grows with each start of this name
    address: str = ""  # host:port of its datagrams
    site: str = ""


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to the member of this name. It may be delayed, duplicated, reordered or lost."""

    recipient: str
    message: msgspec.Struct


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """The member has become the lease holder of a duty, until `until_s` of its monotonic clock."""

    duty: str
    token: int  # fencing token: grows with each acquisition by any member, across restarts of all
    until_s: float


@dataclass(frozen=True, slots=True)
class LeaseEnded:
    """The member is no longer the lease holder of a duty."""

    duty: str
    token: int
    reason: str  # "given_up", "expired", "stopped"


Action = SendMessage | LeaseAcquired | LeaseEnded


class Decider(Protocol):
    """A state machine that exchanges messages with its peers on other members."""

    def receive(self, now_s: float, sender: str, message: Any) -> list[Action]:
        """Take a message of one of this decider's types from the member of that name."""
        ...

    def tick(self, now_s: float) -> list[Action]:
        """Do what is due; calling it early does no harm."""
        ...

    def next_tick_s(self) -> float:
        """When the next call of `tick` is due."""
        ...


class RecordStore(Protocol):
    """Small records replicated to every member; one writer each, deleted after their writer is gone."""

    def write(self, now_s: float, key: str, value: bytes) -> None:
        """Write a record of the local member; later values replace earlier ones."""
        ...

    def delete(self, now_s: float, key: str) -> None:
        """Delete a record of the local member."""
        ...

    def values(self, now_s: float, prefix: str) -> dict[tuple[str, str], bytes]:
        """All known values under keys with a prefix, by the writer's name and the key."""
        ...


class LeaseTokens(Protocol):
    """The fencing tokens of held leases, to be checked before each step of a duty."""

    def token(self, now_s: float, duty: str) -> int | None:
        """The token, while this member is the lease holder by its own clock; else None."""
        ...


# Values of replicated records, by key: "demand/CLASS", "server/NAME", "backlog/SITE", "plan/SERVER",
# "doubt/SERVER".
DEMAND_PREFIX = "demand/"  # of `ClassDemand`
SERVER_PREFIX = "server/"  # of `ServerObservation`


class ClassDemand(msgspec.Struct, array_like=True, frozen=True):
    """The demand for a class as one member observes it (key demand/CLASS), over its window."""

    arrivals: float  # requests per s
    prefill_tokens: float  # unread prompt tokens per s
    decode_tokens: float  # answer tokens per s


class ServerObservation(msgspec.Struct, array_like=True, frozen=True):
    """The state of one server that one member observes (key server/NAME)."""

    prefill_rate: float  # prompt tokens per s of its throughput, 0: not known
    decode_rate: float  # answer tokens per s of its throughput, 0: not known
    warmth: float  # share of its capacity, 0 to 1
    waiting_entries: int  # prefilled states of this member that wait there to be fetched


class RoleAssignment(msgspec.Struct, array_like=True, frozen=True):
    """The role that the planner assigns to one server (key plan/SERVER)."""

    token: int  # fencing token of the planner's lease
    number: int  # grows with each plan under a token
    role: str  # "read", "write", "both"


class QueueBacklog(msgspec.Struct, array_like=True, frozen=True):
    """The backlog of a site's queue (key backlog/SITE)."""

    token: int  # fencing token of the site's replay lease
    entries: int
    oldest_s: float  # age of the oldest
    weight: float
    served: float  # work replayed over the window, in tokens
