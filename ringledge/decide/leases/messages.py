"""Messages of the lease protocol: between proposers and acceptors, and among acceptors.

The protocol is PaxosLease (Trencséni, Gazsó, Reinhardt 2012) with tokens that stay the same over renewals;
see docs/design/coordination-leases.md. Any message may be delayed, duplicated, reordered or lost; safety
relies on the arrival of none. Encoded as msgpack arrays each takes at most 150 bytes, given names of
members and duties of at most `MAX_NAME_BYTES`. The order of fields is the wire format.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property
from hashlib import blake2s

import msgspec

MAX_NAME_BYTES = 40  # of a member's or a duty's name, in UTF-8
START_NUMBER_LIMIT = 2**42  # start numbers are below: milliseconds since 1970 are, until 2109
START_SUM_BITS = 45  # of a token: the sum of the start numbers of five acceptors
COUNTER_BITS = 12  # of a token: holdings for each unit by which the sum of start numbers grows
MAX_GENERATION = 2 ** (63 - START_SUM_BITS - COUNTER_BITS) - 1  # a token fits a signed 64-bit integer


class PrepareRequest(msgspec.Struct, array_like=True, frozen=True):
    """Proposer to acceptors: asks whether the duty is free, and for its highest token."""

    duty: str
    start_number: int  # of the proposer; echoed, so that responses to its predecessor are recognised
    prepare_number: int  # the proposer's count of its prepare phases
    nominated_successor: bool  # the last holder nominated the sender as its successor
    terms_digest: int  # `LeaseTerms.digest`


class PrepareResponse(msgspec.Struct, array_like=True, frozen=True):
    """Acceptor to proposer: the duty is free, and reserved for the proposer for a moment."""

    duty: str
    start_number: int
    prepare_number: int
    highest_token: int  # the highest that the acceptor knows


class ProposeRequest(msgspec.Struct, array_like=True, frozen=True):
    """Proposer to acceptors: lock the duty under this token, or renew the lock."""

    duty: str
    start_number: int
    token: int
    round_number: int  # the proposer's count; its lease runs from when this round was sent
    lease_ms: int
    renewal: bool  # the sender held the duty under this token when it sent this
    terms_digest: int


class ProposeAccepted(msgspec.Struct, array_like=True, frozen=True):
    """Acceptor to proposer: the duty is locked for the proposer."""

    duty: str
    start_number: int
    token: int
    round_number: int


class Rejected(msgspec.Struct, array_like=True, frozen=True):
    """Acceptor to proposer: the duty is not free, or the token is not above the highest."""

    duty: str
    start_number: int
    prepare_number: int  # 0 where a `ProposeRequest` is rejected
    token: int  # 0 where a `PrepareRequest` is rejected
    highest_token: int
    holder: str  # for whom the duty is locked or reserved; "" where only the token is too low
    remaining_ms: int  # of that lock or reservation, by the acceptor's clock


class LeaseRelease(msgspec.Struct, array_like=True, frozen=True):
    """Holder to acceptors: the holding under this token has ended for good."""

    duty: str
    start_number: int
    token: int


class LeaseReleased(msgspec.Struct, array_like=True, frozen=True):
    """Acceptor to rejected proposers, or a releasing holder to its successor: the duty is free."""

    duty: str
    token: int  # of the holding that ended
    nominated_successor: bool  # the receiver is nominated, and seeks the duty at once


class StateTransferRequest(msgspec.Struct, array_like=True, frozen=True):
    """Restarted acceptor, its silence over, to the other acceptors: asks for what they know."""

    start_number: int
    terms_digest: int


class StateTransferResponse(msgspec.Struct, array_like=True, frozen=True):
    """Acceptor to a restarted acceptor: what it knows."""

    requester_start_number: int
    start_number: int  # of the responder
    active: bool  # the responder knows every token that it ever accepted, over its restarts
    highest_token: int  # of all duties
    terms_digest: int


ProposerMessage = PrepareResponse | ProposeAccepted | Rejected | LeaseReleased
AcceptorMessage = (
    PrepareRequest | ProposeRequest | LeaseRelease | StateTransferRequest | StateTransferResponse
)

# The order is the wire format: a message's kind is its place here.
MESSAGES: tuple[type[msgspec.Struct], ...] = (
    PrepareRequest,
    PrepareResponse,
    ProposeRequest,
    ProposeAccepted,
    Rejected,
    LeaseRelease,
    LeaseReleased,
    StateTransferRequest,
    StateTransferResponse,
)


@dataclass(frozen=True)
class LeaseTerms:
    """What all members have to agree on; acceptors ignore requests under other terms (`digest`)."""

    acceptors: tuple[str, ...]  # 3 or 5 names
    lease_s: float = 3.0
    max_lease_s: float = 3.0  # the longest lease that any member may still have from earlier settings
    clock_drift: float = 0.1  # bound on the relative error of any clock's rate, either way
    generation: int = 1  # raised by the operators with each change of `acceptors`

    def __post_init__(self) -> None:
        if len(set(self.acceptors)) != len(self.acceptors) or len(self.acceptors) not in (3, 5):
            raise ValueError("voters: 3 or 5 different names")
        if self.max_lease_s < self.lease_s:
            raise ValueError("longest_s: not below lease_s")
        if not 1 <= self.generation <= MAX_GENERATION:
            raise ValueError(f"generation: 1 to {MAX_GENERATION}")
        if not 0 <= self.clock_drift <= 0.5:
            raise ValueError("rate: 0 to 0.5")

    @property
    def majority(self) -> int:
        """The size of a quorum of acceptors."""
        return len(self.acceptors) // 2 + 1

    @property
    def holder_lease_s(self) -> float:
        """How long a holder relies on a grant after sending its request, by its clock.

        At most `lease_s` of true time, however slow the clock is within the bound.
        """
        return self.lease_s * (1 - self.clock_drift)

    def acceptor_lock_s(self, lease_ms: int) -> float:
        """How long an acceptor locks a duty after receiving the request, by its clock.

        At least the lease in true time, however fast the clock is within the bound.
        """
        return lease_ms / 1000 * (1 + self.clock_drift)

    @property
    def startup_silence_s(self) -> float:
        """How long a started acceptor is silent: every lock of its predecessor expires meanwhile."""
        return self.max_lease_s * (1 + self.clock_drift)

    @cached_property
    def digest(self) -> int:
        """32 bits that differ for another set of acceptors or another generation."""
        text = "\0".join((str(self.generation), *sorted(self.acceptors)))
        return int.from_bytes(blake2s(text.encode(), digest_size=4).digest(), "big")

    def token_floor(self, start_number_sum: int) -> int:
        """The token above all tokens begun before every acceptor restarted.

        `start_number_sum`: of the start numbers of all acceptors, as they are now.
        """
        return (self.generation << (START_SUM_BITS + COUNTER_BITS)) + (start_number_sum << COUNTER_BITS)
