"""The changes that the membership protocol reports: members join, leave, fail or are suspected."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ringledge.decide.interface import Member


class FailureReason(enum.StrEnum):
    """Why a member is considered failed."""

    SILENT = "silent"  # its suspicion timed out, or another member reported it dead
    SUPERSEDED = "superseded"  # a later process of its name was seen


@dataclass(frozen=True, slots=True)
class MemberJoined:
    """A member became active, for the first time or again."""

    member: Member


@dataclass(frozen=True, slots=True)
class MemberLeft:
    """A member announced that it leaves the group."""

    member: Member


@dataclass(frozen=True, slots=True)
class MemberFailed:
    """A member is considered dead."""

    member: Member
    reason: FailureReason


@dataclass(frozen=True, slots=True)
class MemberSuspected:
    """A member is suspected; it remains active until the suspicion times out."""

    member: Member


@dataclass(frozen=True, slots=True)
class LocalStartRaised:
    """The local member continues under a higher start number, since a predecessor's was above its own."""

    member: Member


@dataclass(frozen=True, slots=True)
class LocalMemberSuperseded:
    """A successor runs under the local member's name; the local member sends nothing more."""

    start: int  # start number of the successor


MembershipChange = (
    MemberJoined | MemberLeft | MemberFailed | MemberSuspected | LocalStartRaised | LocalMemberSuperseded
)
