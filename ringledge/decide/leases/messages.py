"""What is said about leases: between those who want a duty and the voters, and among voters.

Every kind may come late, twice, out of order or never; none has to arrive for safety. Encoded in msgpack each
is at most 150 bytes, with names and duties of at most `MOST_NAME` bytes.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property
from hashlib import blake2s

import msgspec

MOST_NAME = 40  # bytes of a member's or a duty's name that fit
MOST_START = 2**42  # start numbers are below: milliseconds since 1970 are, until 2109
START_BITS = 45  # of a token: the sum of the starts of five voters
COUNT_BITS = 12  # of a token: holdings for each unit by which the starts' sum grows
MOST_GENERATION = 2 ** (63 - START_BITS - COUNT_BITS) - 1  # a token fits a signed number of 64 bits


class Ask(msgspec.Struct, array_like=True, frozen=True):
    """Seeker to voters: whether the duty is free, and which token was its last."""

    duty: str
    start: int  # of the seeker; told back, so that an answer to its predecessor is known as such
    ask: int  # the seeker's count of its questions
    follow: bool  # the last holder named it to follow
    terms: int  # `LeaseTerms.digest`


class Promise(msgspec.Struct, array_like=True, frozen=True):
    """Voter to seeker: free, and kept for you for a moment."""

    duty: str
    start: int
    ask: int
    top: int  # the highest token known


class Take(msgspec.Struct, array_like=True, frozen=True):
    """Seeker to voters: lock it for me under this token, or go on."""

    duty: str
    start: int
    token: int
    round: int  # the seeker's count; its term runs from when this round was first sent
    lease_ms: int
    held: bool  # the sender holds it under this token, as it sends this
    terms: int


class Taken(msgspec.Struct, array_like=True, frozen=True):
    """Voter to seeker: locked for you."""

    duty: str
    start: int
    token: int
    round: int


class Refused(msgspec.Struct, array_like=True, frozen=True):
    """Voter to seeker: not free, or the token is not above the highest."""

    duty: str
    start: int
    ask: int  # 0 where a Take is refused
    token: int  # 0 where an Ask is refused
    top: int
    holder: str  # for whom it is locked or kept; "" where only the token is too low
    left_ms: int  # for so long still, by the voter's clock


class Release(msgspec.Struct, array_like=True, frozen=True):
    """Holder to voters: ended, and never again under this token."""

    duty: str
    start: int
    token: int


class Freed(msgspec.Struct, array_like=True, frozen=True):
    """Voter to those who wait, or a holder that ends to the one who shall follow."""

    duty: str
    token: int  # of the holding that ended
    follow: bool  # you shall follow: seek at once


class Learn(msgspec.Struct, array_like=True, frozen=True):
    """A voter that started, its silence over, to the other voters: what they know."""

    start: int
    terms: int


class Known(msgspec.Struct, array_like=True, frozen=True):
    """Voter to voter: what I know."""

    echo: int  # the asker's start
    start: int  # of the one who answers
    active: bool  # it knows every token that it ever took, over its restarts
    top: int  # the highest of all duties
    terms: int


MESSAGES: tuple[type[msgspec.Struct], ...] = (
    Ask,
    Promise,
    Take,
    Taken,
    Refused,
    Release,
    Freed,
    Learn,
    Known,
)


@dataclass(frozen=True)
class LeaseTerms:
    """What all members have to agree on; who has others is not heard (`digest`)."""

    voters: tuple[str, ...]  # 3 or 5 names
    lease_s: float = 3.0
    longest_s: float = 3.0  # the longest lease that any member may still have from earlier settings
    rate: float = 0.1  # by which the rate of any clock may be off, either way
    generation: int = 1  # raised by the operators with each change of `voters`

    def __post_init__(self) -> None:
        if len(set(self.voters)) != len(self.voters) or len(self.voters) not in (3, 5):
            raise ValueError("voters: 3 or 5 different names")
        if self.longest_s < self.lease_s:
            raise ValueError("longest_s: not below lease_s")
        if not 1 <= self.generation <= MOST_GENERATION:
            raise ValueError(f"generation: 1 to {MOST_GENERATION}")
        if not 0 <= self.rate <= 0.5:
            raise ValueError("rate: 0 to 0.5")

    @property
    def majority(self) -> int:
        """How many voters decide."""
        return len(self.voters) // 2 + 1

    @property
    def held_s(self) -> float:
        """For how long a holder relies on it since it sent, by its clock: a lease of true time at most."""
        return self.lease_s * (1 - self.rate)

    def locked_s(self, lease_ms: int) -> float:
        """For how long a voter locks it from when it heard, by its clock: at least the lease in true time."""
        return lease_ms / 1000 * (1 + self.rate)

    @property
    def silence_s(self) -> float:
        """For how long a voter that started says nothing: what its predecessor locked runs out meanwhile."""
        return self.longest_s * (1 + self.rate)

    @cached_property
    def digest(self) -> int:
        """32 bits that tell other voters or another generation."""
        text = "\0".join((str(self.generation), *sorted(self.voters)))
        return int.from_bytes(blake2s(text.encode(), digest_size=4).digest(), "big")

    def floor(self, starts: int) -> int:
        """The least token after voters whose starts add up to this met without their memory."""
        return (self.generation << (START_BITS + COUNT_BITS)) + (starts << COUNT_BITS)
