"""The member table: the state of every other member as the local one knows it, and the merging of updates.

A higher start number of a name supersedes a lower one at once, and a lower one is never accepted again. For
the same start number the higher incarnation wins, then the higher status. Recent direct contact outweighs a
death reported by another member: the peer becomes a suspect only, and has the suspicion timeout to refute it.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass

from ringledge.decide.interface import Member
from ringledge.decide.membership.changes import (
    FailureReason,
    MemberFailed,
    MemberJoined,
    MemberLeft,
    MembershipChange,
    MemberSuspected,
)
from ringledge.decide.membership.messages import MembershipUpdate, MemberStatus
from ringledge.decide.membership.settings import ProbeConfig
from ringledge.decide.paging import BUCKET_COUNT, bucket_of

MAX_TOMBSTONES = 1024  # dead and departed members, remembered so that no late update revives them


@dataclass(slots=True)
class PeerState:
    """The state of another member."""

    member: Member
    incarnation: int
    status: MemberStatus
    suspicion_deadline_s: float = math.inf  # time at which a suspect is declared dead
    last_contact_s: float = -math.inf  # time of the last message received directly from it

    def is_active(self) -> bool:
        """Whether the member belongs to the group."""
        return self.status.is_active

    def update(self) -> MembershipUpdate:
        """The update that disseminates this state; for an inactive member it has no address."""
        member = self.member
        if self.is_active():
            return MembershipUpdate(
                member.name, member.start, self.incarnation, self.status, member.address, member.site
            )
        return MembershipUpdate(member.name, member.start, self.incarnation, self.status)


def member_digest(member: Member) -> int:
    """A 32-bit hash of one member; a digest of members is the XOR of their hashes."""
    return zlib.crc32(f"{member.name}/{member.start}".encode())


class MemberTable:
    """All other members by name, digests of the active ones, and the changes that were not yet taken.

    Invariants: `active_count` and `bucket_digests` cover exactly the active peers; `peers` is in the order in
    which their current start numbers were first seen.
    """

    def __init__(self, settings: ProbeConfig) -> None:
        self.peers: dict[str, PeerState] = {}
        self.bucket_digests = [0] * BUCKET_COUNT
        self.active_count = 0
        self._settings = settings
        self._changes: list[MembershipChange] = []
        self._suspects: set[str] = set()

    def merge(self, now_s: float, update: MembershipUpdate, from_list: bool) -> bool:
        """Apply an update about another member; return whether it changed anything.

        `from_list`: the update is part of a member list. A death in a list may be old, so it only raises a
        suspicion.
        """
        peer = self.peers.get(update.name)
        if peer is None or update.start > peer.member.start:
            return self._add_start(now_s, peer, update)
        if update.start < peer.member.start:
            return False
        status = self._credible_status(now_s, peer, update, from_list)
        if (update.incarnation, status) <= (peer.incarnation, peer.status):
            return False
        if peer.status is MemberStatus.LEFT:
            return False
        if status.is_active and update.address:  # a member first known from its death has no address yet
            peer.member = _member_of(update)
        if status.is_active and not peer.member.address:
            return False
        peer.incarnation = update.incarnation
        self._set_status(now_s, peer, status)
        return True

    def suspect(self, now_s: float, name: str) -> bool:
        """Suspect a member that did not acknowledge a probe; False if its status is not ALIVE."""
        peer = self.peers.get(name)
        if peer is None or peer.status is not MemberStatus.ALIVE:
            return False
        self._set_status(now_s, peer, MemberStatus.SUSPECT)
        return True

    def expire_suspects(self, now_s: float) -> list[PeerState]:
        """Declare dead the suspects whose suspicion has timed out, and return them."""
        dead = [peer for peer in self.suspects() if peer.suspicion_deadline_s <= now_s]
        for peer in dead:
            self._set_status(now_s, peer, MemberStatus.DEAD)
        return dead

    def next_deadline_s(self) -> float:
        """The time at which the next suspicion times out; infinity without suspects."""
        return min((peer.suspicion_deadline_s for peer in self.suspects()), default=math.inf)

    def has_suspects(self) -> bool:
        """Whether any member is suspected."""
        return bool(self._suspects)

    def suspects(self) -> list[PeerState]:
        """The suspected members, sorted by name."""
        return [self.peers[name] for name in sorted(self._suspects)]

    def extend_suspicions(self, by_s: float) -> None:
        """Give the suspects more time, as this process was stalled and received no refutations meanwhile."""
        for peer in self.suspects():
            peer.suspicion_deadline_s += by_s

    def record_contact(self, now_s: float, name: str, start: int) -> None:
        """Record that a message came directly from the member with this start number."""
        peer = self.peers.get(name)
        if peer is not None and peer.member.start == start:
            peer.last_contact_s = now_s

    def record_change(self, change: MembershipChange) -> None:
        """Add a change to those that the next `take_changes` returns."""
        self._changes.append(change)

    def take_changes(self) -> list[MembershipChange]:
        """Return the changes since the last call, in order."""
        changes, self._changes = self._changes, []
        return changes

    def _credible_status(
        self, now_s: float, peer: PeerState, update: MembershipUpdate, from_list: bool
    ) -> MemberStatus:
        """The status to apply: an unconfirmed death counts as a suspicion only."""
        if update.status is not MemberStatus.DEAD or not peer.is_active():
            return update.status
        if from_list or self._contacted_recently(now_s, peer):
            return MemberStatus.SUSPECT
        return update.status

    def _contacted_recently(self, now_s: float, peer: PeerState) -> bool:
        return now_s - peer.last_contact_s < self._suspicion_timeout_s()

    def _suspicion_timeout_s(self) -> float:
        return self._settings.suspicion_timeout_s(self.active_count + 1)

    def _add_start(self, now_s: float, previous: PeerState | None, update: MembershipUpdate) -> bool:
        """Add a new start number of a name; it supersedes the previous one."""
        if update.status.is_active and not update.address:
            return False
        if previous is not None and previous.is_active():
            self._deactivate(previous)
            self.record_change(MemberFailed(previous.member, FailureReason.SUPERSEDED))
        self.peers.pop(update.name, None)  # moves the name to the end of the order
        self._suspects.discard(update.name)
        peer = PeerState(_member_of(update), update.incarnation, update.status)
        self.peers[update.name] = peer
        if peer.is_active():
            self._activate(peer)
        else:
            self._evict_tombstones()
        if peer.status is MemberStatus.SUSPECT:
            self._start_suspicion(now_s, peer)
        return True

    def _set_status(self, now_s: float, peer: PeerState, status: MemberStatus) -> None:
        """Change the status of a peer whose start number stays the same, and record the change."""
        was_active = peer.is_active()
        peer.status = status
        self._suspects.discard(peer.member.name)
        if not was_active and peer.is_active():
            self._activate(peer)
        if status is MemberStatus.SUSPECT:
            self._start_suspicion(now_s, peer)
        if was_active and not peer.is_active():
            self._deactivate(peer)
            self.record_change(_departure(peer))
            self._evict_tombstones()

    def _start_suspicion(self, now_s: float, peer: PeerState) -> None:
        peer.suspicion_deadline_s = now_s + self._suspicion_timeout_s()
        self._suspects.add(peer.member.name)
        self.record_change(MemberSuspected(peer.member))

    def _activate(self, peer: PeerState) -> None:
        self.bucket_digests[bucket_of(peer.member.name)] ^= member_digest(peer.member)
        self.active_count += 1
        self.record_change(MemberJoined(peer.member))

    def _deactivate(self, peer: PeerState) -> None:
        self.bucket_digests[bucket_of(peer.member.name)] ^= member_digest(peer.member)
        self.active_count -= 1

    def _evict_tombstones(self) -> None:
        """Forget the oldest inactive members above `MAX_TOMBSTONES`."""
        inactive = [name for name, peer in self.peers.items() if not peer.is_active()]
        for name in inactive[: max(0, len(inactive) - MAX_TOMBSTONES)]:
            del self.peers[name]


def _member_of(update: MembershipUpdate) -> Member:
    return Member(update.name, update.start, update.address, update.site)


def _departure(peer: PeerState) -> MemberLeft | MemberFailed:
    if peer.status is MemberStatus.LEFT:
        return MemberLeft(peer.member)
    return MemberFailed(peer.member, FailureReason.SILENT)
