"""What the deciders of the fleet share: members, messages, duties held, facts, and rows that are told.

A decider is free of I/O, clocks and global randomness: it gets events with a time (s, of its own monotonic
clock) and gives actions. The same objects run in the program, in the simulated world and in the benchmarks.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

import msgspec

MAX_DATAGRAM_BYTES = 256  # a datagram whole: what the platform carries where it permits talk at all


@dataclass(frozen=True, slots=True, order=True)
class Member:
    """One process of the program; a restart is another member than its predecessor."""

    name: str
    start: int  # grows with each start of this name
    address: str = ""  # host:port of its datagrams
    site: str = ""


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send one message to the member of this name; it may come late, twice, out of order, or never."""

    recipient: str
    message: msgspec.Struct


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """From now on the member holds a duty; `until_s` on its own monotonic clock, unless extended."""

    duty: str
    token: int  # grows with each holding of the duty, by whomever, over restarts of everyone too
    until_s: float


@dataclass(frozen=True, slots=True)
class LeaseEnded:
    """The member holds the duty no more."""

    duty: str
    token: int
    reason: str  # "given_up", "expired", "stopped"


Action = SendMessage | LeaseAcquired | LeaseEnded


class Decider(Protocol):
    """What each decider that talks looks like to the part that runs it."""

    def receive(self, now_s: float, sender: str, message: Any) -> list[Action]:
        """Take a message of this decider's kinds from the member of that name."""
        ...

    def tick(self, now_s: float) -> list[Action]:
        """Do what is due; may be called early."""
        ...

    def next_s(self) -> float:
        """When the next call of `tick` is wanted."""
        ...


class RecordStore(Protocol):
    """Small records that every member hears of; one writer each, gone with their writer."""

    def write(self, now_s: float, key: str, value: bytes) -> None:
        """Say something under a key of our own; later values replace earlier ones."""
        ...

    def delete(self, now_s: float, key: str) -> None:
        """Take a key of our own back."""
        ...

    def values(self, now_s: float, prefix: str) -> dict[tuple[str, str], bytes]:
        """What is known under keys with a prefix, by writer's name and key."""
        ...


class LeaseTokens(Protocol):
    """Whether a duty is held, asked before each step of it."""

    def token(self, now_s: float, duty: str) -> int | None:
        """The token, where this member holds the duty at this moment of its own clock; else None."""
        ...


# Rows told as facts. Keys: "demand/CLASS", "server/NAME", "backlog/SITE", "plan/SERVER", "doubt/SERVER".


class ClassDemand(msgspec.Struct, array_like=True, frozen=True):
    """What one member sees of one class (key demand/CLASS): rates per s over its window."""

    arrivals: float  # requests per s
    prefill_tokens: float  # unread prompt tokens per s
    decode_tokens: float  # answer tokens per s


class ServerObservation(msgspec.Struct, array_like=True, frozen=True):
    """What one member sees of one server (key server/NAME)."""

    prefill_rate: float  # prompt tokens per s that it gets through, 0: not known
    decode_rate: float  # answer tokens per s that it gets through, 0: not known
    warmth: float  # part of its capacity, 0 to 1
    waiting_entries: int  # read states of this member that wait there to be fetched


class RoleAssignment(msgspec.Struct, array_like=True, frozen=True):
    """One server's role by the planner (key plan/SERVER)."""

    token: int  # of the planner's duty
    number: int  # grows with each plan under a token
    role: str  # "read", "write", "both"


class QueueBacklog(msgspec.Struct, array_like=True, frozen=True):
    """A site's queue (key backlog/SITE)."""

    token: int  # of the site's replay duty
    entries: int
    oldest_s: float  # age of the oldest
    weight: float
    served: float  # work replayed over the window, in tokens
