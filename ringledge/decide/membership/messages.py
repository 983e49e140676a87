"""The messages of the membership protocol: those of SWIM, and others to join and to compare member tables.

Each message carries the sender's start number (`start`) and the recipient's as the sender knows it
(`to_start`, 0 if unknown), so that a member that is addressed under its predecessor's start number can
introduce itself. Messages are encoded as arrays: the order of the fields, and of the types in `MESSAGES`, is
the wire format.
"""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec
from msgspec import Meta

from ringledge.decide.datagram import MAX_BODY_BYTES, MAX_NAME_BYTES, MemberName, StartNumber, Uint32, Uint53
from ringledge.decide.paging import BUCKET_COUNT

# Size of a Ping without updates: array heads, two start numbers, a nonce and a digest, all at maximum length.
PING_OVERHEAD_BYTES = 32
MAX_ADDRESS_BYTES = 64  # limit of a host:port; an IPv6 address and port take 47
MAX_UPDATES_BYTES = MAX_BODY_BYTES - PING_OVERHEAD_BYTES  # available for updates in one message


class MemberStatus(enum.IntEnum):
    """The state of a member; for equal incarnations the higher value overrides the lower one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # announced by the member itself; final for this start number

    @property
    def is_active(self) -> bool:
        """Whether the member belongs to the group; a suspect does until the suspicion times out."""
        return self <= MemberStatus.SUSPECT


class MembershipUpdate(msgspec.Struct, array_like=True, frozen=True):
    """The state of one member as the sender knows it; address and site are set only if it is active."""

    name: MemberName
    start: StartNumber
    incarnation: Uint53  # only the member itself raises it, to refute a suspicion
    status: MemberStatus
    address: Annotated[str, Meta(max_length=MAX_ADDRESS_BYTES)] = ""
    site: Annotated[str, Meta(max_length=MAX_NAME_BYTES)] = ""


class Ping(msgspec.Struct, array_like=True, frozen=True):
    """A probe of the recipient, answered by an Ack with the same nonce."""

    start: StartNumber
    to_start: StartNumber
    nonce: Uint32
    view_digest: Uint32  # digest of the active members, by which differing views are detected
    updates: tuple[MembershipUpdate, ...] = ()


class Ack(msgspec.Struct, array_like=True, frozen=True):
    """The answer to a Ping, or to an IndirectPingRequest after its target has answered."""

    start: StartNumber
    to_start: StartNumber
    nonce: Uint32
    view_digest: Uint32
    updates: tuple[MembershipUpdate, ...] = ()


class IndirectPingRequest(msgspec.Struct, array_like=True, frozen=True):
    """SWIM's ping-req: asks the recipient to ping the target and to forward the acknowledgement."""

    start: StartNumber
    to_start: StartNumber
    nonce: Uint32
    target: MemberName


class Join(msgspec.Struct, array_like=True, frozen=True):
    """The introduction of the sender, answered by MemberLists."""

    to_start: StartNumber
    sender: MembershipUpdate


class MemberList(msgspec.Struct, array_like=True, frozen=True):
    """A part of the sender's member table."""

    start: StartNumber
    to_start: StartNumber
    updates: tuple[MembershipUpdate, ...]


class MemberListQuery(msgspec.Struct, array_like=True, frozen=True):
    """A request for the member table by a process that is not a member, answered by MemberLists."""


class ViewDigests(msgspec.Struct, array_like=True, frozen=True):
    """Digests of the active members by bucket, answered by MemberLists of the buckets that differ."""

    start: StartNumber
    to_start: StartNumber
    digests: Annotated[tuple[Uint32, ...], Meta(min_length=BUCKET_COUNT, max_length=BUCKET_COUNT)]


MESSAGES: tuple[type[msgspec.Struct], ...] = (
    Ping,
    Ack,
    IndirectPingRequest,
    Join,
    MemberList,
    MemberListQuery,
    ViewDigests,
)
MemberMessage = Ping | Ack | IndirectPingRequest | Join | MemberList | ViewDigests  # sent by members
Message = MemberMessage | MemberListQuery


def sender_start(message: MemberMessage) -> int:
    """The start number of the message's sender."""
    return message.sender.start if isinstance(message, Join) else message.start


def updates_of(message: MemberMessage) -> tuple[MembershipUpdate, ...]:
    """The membership updates that a message carries."""
    match message:
        case Join():
            return (message.sender,)
        case IndirectPingRequest() | ViewDigests():
            return ()
        case _:
            return message.updates
