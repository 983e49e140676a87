"""Messages of the lease protocol: between proposers and acceptors, and among acceptors.

The protocol is PaxosLease (Trencséni, Gazsó, Reinhardt 2012) with tokens that stay the same across renewals;
see docs/design/coordination-leases.md. Any message may be delayed, duplicated, reordered or lost; safety does
not depend on the arrival of any. A message is encoded as a msgpack array of at most 150 bytes, if the names
of members and duties have at most `MAX_NAME_BYTES`. The order of the fields is the wire format.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property
from hashlib import blake2s

import msgspec

MAX_NAME_BYTES = 40  # of a member's or a duty's name, in UTF-8
START_NUMBER_LIMIT = 2**42  # exclusive; milliseconds since 1970 stay below it until 2109
START_SUM_BITS = 45  # bits of a token that hold the sum of the start numbers of up to five acceptors
COUNTER_BITS = 12  # bits of a token that count holdings while the sum of start numbers is the same
MAX_GENERATION = 2 ** (63 - START_SUM_BITS - COUNTER_BITS) - 1  # lets a token fit a signed 64-bit integer


class PrepareRequest(msgspec.Struct, array_like=True, frozen=True):
    """From a proposer to acceptors: asks whether the duty is free, and for its highest token."""

    duty: str
    start_number: int  # of the proposer; echoed, to recognise responses to its predecessor
    prepare_number: int  # number of the proposer's prepare phase
    nominated_successor: bool  # whether the last holder nominated the sender as its successor
    terms_digest: int  # `LeaseTerms.digest`


class PrepareResponse(msgspec.Struct, array_like=True, frozen=True):
    """From an acceptor to a proposer: the duty is free, and reserved for the proposer for a short time."""

    duty: str
    start_number: int
    prepare_number: int
    highest_token: int  # the highest token that the acceptor knows


class ProposeRequest(msgspec.Struct, array_like=True, frozen=True):
    """From a proposer to acceptors: lock the duty under this token, or renew the lock."""

    duty: str
    start_number: int
    token: int
    round_number: int  # number of the proposer's round; the lease runs from the time at which it was sent
    lease_ms: int
    renewal: bool  # whether the sender held the duty under this token when it sent the request
    terms_digest: int


class ProposeAccepted(msgspec.Struct, array_like=True, frozen=True):
    """From an acceptor to a proposer: the duty is locked for the proposer."""

    duty: str
    start_number: int
    token: int
    round_number: int


class Rejected(msgspec.Struct, array_like=True, frozen=True):
    """From an acceptor to a proposer: the duty is not free, or the token is not above the highest one."""

    duty: str
    start_number: int
    prepare_number: int  # 0 if a `ProposeRequest` is rejected
    token: int  # 0 if a `PrepareRequest` is rejected
    highest_token: int
    holder: str  # member for which the duty is locked or reserved; "" if only the token is too low
    remaining_ms: int  # until that lock or reservation expires, by the acceptor's clock


class LeaseRelease(msgspec.Struct, array_like=True, frozen=True):
    """From a holder to acceptors: its holding under this token has ended for good."""

    duty: str
    start_number: int
    token: int


class LeaseReleased(msgspec.Struct, array_like=True, frozen=True):
    """From an acceptor to rejected proposers, or from the last holder to its successor: the duty is free."""

    duty: str
    token: int  # of the holding that ended
    nominated_successor: bool  # whether the recipient is nominated and has to seek the duty at once


class StateTransferRequest(msgspec.Struct, array_like=True, frozen=True):
    """From an acceptor to the others, after the silence that follows its start: asks for their state."""

    start_number: int
    terms_digest: int


class StateTransferResponse(msgspec.Struct, array_like=True, frozen=True):
    """From an acceptor to a restarted one: the state that it knows."""

    requester_start_number: int
    start_number: int  # of the responder
    active: bool  # whether the responder knows a token not below any that it or a predecessor accepted
    highest_token: int  # of all duties
    terms_digest: int


ProposerMessage = PrepareResponse | ProposeAccepted | Rejected | LeaseReleased
AcceptorMessage = (
    PrepareRequest | ProposeRequest | LeaseRelease | StateTransferRequest | StateTransferResponse
)

# The order is the wire format: the kind of a message is its index here.
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
    """Parameters that all members must share; acceptors ignore requests whose `digest` differs."""

    acceptors: tuple[str, ...]  # 3 or 5 names
    lease_s: float = 3.0
    max_lease_s: float = 3.0  # longest lease that any member may still hold under earlier settings
    clock_drift: float = 0.1  # bound on the relative rate error of any clock, in either direction
    generation: int = 1  # operators raise it with each change of `acceptors`

    def __post_init__(self) -> None:
        if len(set(self.acceptors)) != len(self.acceptors) or len(self.acceptors) not in (3, 5):
            raise ValueError("voters: must be 3 or 5 different names")
        if self.max_lease_s < self.lease_s:
            raise ValueError("longest_s: must not be below lease_s")
        if not 1 <= self.generation <= MAX_GENERATION:
            raise ValueError(f"generation: must be 1 to {MAX_GENERATION}")
        if not 0 <= self.clock_drift <= 0.5:
            raise ValueError("rate: must be 0 to 0.5")

    @property
    def majority(self) -> int:
        """The number of acceptors that form a majority."""
        return len(self.acceptors) // 2 + 1

    @property
    def holder_lease_s(self) -> float:
        """How long a holder relies on a grant after sending its request, by its own clock.

        This is at most `lease_s` of real time, however slow its clock is within the drift bound.
        """
        return self.lease_s * (1 - self.clock_drift)

    def acceptor_lock_s(self, lease_ms: int) -> float:
        """How long an acceptor locks a duty after receiving the request, by its own clock.

        This is at least the lease in real time, however fast its clock is within the drift bound.
        """
        return lease_ms / 1000 * (1 + self.clock_drift)

    @property
    def startup_silence_s(self) -> float:
        """How long an acceptor is silent after a start, so that every lock of its predecessor expires."""
        return self.max_lease_s * (1 + self.clock_drift)

    @cached_property
    def digest(self) -> int:
        """A 32-bit digest of the set of acceptors and the generation."""
        text = "\0".join((str(self.generation), *sorted(self.acceptors)))
        return int.from_bytes(blake2s(text.encode(), digest_size=4).digest(), "big")

    def token_floor(self, start_number_sum: int) -> int:
        """A token above that of every lease that was acquired before all acceptors restarted.

        `start_number_sum` is the sum of the current start numbers of all acceptors.
        """
        return (self.generation << (START_SUM_BITS + COUNTER_BITS)) + (start_number_sum << COUNTER_BITS)
