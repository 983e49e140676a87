"""Builds the messages that the local member sends, with membership updates piggybacked on pings and acks."""

from __future__ import annotations

import operator
from functools import reduce

from ringledge.decide.interface import Action, Member, SendMessage
from ringledge.decide.membership.gossip import TransmitLimitedQueue
from ringledge.decide.membership.member_table import MemberTable, member_digest
from ringledge.decide.membership.messages import (
    MAX_UPDATES_BYTES,
    Ack,
    IndirectPingRequest,
    Join,
    MemberList,
    MembershipUpdate,
    MemberStatus,
    Ping,
    ViewDigests,
)
from ringledge.decide.membership.settings import ProbeConfig
from ringledge.decide.paging import bucket_of, paginate

MAX_LISTED_TOMBSTONES = 32  # inactive members in member lists, the latest ones


class MessageBuilder:
    """Messages of the local member `me`, from its member table and its queue of updates.

    `me` and `incarnation` are set by the owner. Building a ping or an ack takes queued updates: build in
    the order of sending.
    """

    def __init__(self, local_member: Member, settings: ProbeConfig, table: MemberTable) -> None:
        self.local_member = local_member
        self.incarnation = 0
        self._settings = settings
        self._table = table
        self._queue = TransmitLimitedQueue()

    def known_start(self, name: str) -> int:
        """The latest start number known of another member; 0: none."""
        peer = self._table.peers.get(name)
        return 0 if peer is None else peer.member.start

    def view_digest(self) -> int:
        """One digest over all active members, the local one included."""
        return reduce(operator.xor, self.bucket_digests())

    def bucket_digests(self) -> list[int]:
        """The digests over all active members by bucket, the local one included."""
        digests = self._table.bucket_digests.copy()
        digests[bucket_of(self.local_member.name)] ^= member_digest(self.local_member)
        return digests

    def differing_buckets(self, digests: tuple[int, ...]) -> list[int]:
        """The buckets in which another member's view differs."""
        pairs = zip(self.bucket_digests(), digests, strict=True)
        return [bucket for bucket, (local, remote) in enumerate(pairs) if local != remote]

    def local_update(self, status: MemberStatus = MemberStatus.ALIVE) -> MembershipUpdate:
        """The local member's update of itself."""
        local_member = self.local_member
        return MembershipUpdate(
            local_member.name,
            local_member.start,
            self.incarnation,
            status,
            local_member.address,
            local_member.site,
        )

    def enqueue(self, update: MembershipUpdate, once: bool = False) -> None:
        """Piggyback an update on the next messages: `once`, or as often as the number of members demands."""
        limit = 1 if once else self._settings.transmit_limit(self._table.active_count + 1)
        self._queue.enqueue(update, limit)

    def ping(self, recipient: str, nonce: int) -> SendMessage:
        """A probe of a member."""
        to_start = self.known_start(recipient)
        updates = self._piggyback(recipient)
        return SendMessage(
            recipient, Ping(self.local_member.start, to_start, nonce, self.view_digest(), updates)
        )

    def ack(self, recipient: str, nonce: int) -> SendMessage:
        """The answer to a member's ping or indirect ping request."""
        to_start = self.known_start(recipient)
        updates = self._piggyback(recipient)
        return SendMessage(
            recipient, Ack(self.local_member.start, to_start, nonce, self.view_digest(), updates)
        )

    def indirect_ping_request(self, recipient: str, nonce: int, target: str) -> SendMessage:
        """A request to a member to ping another one."""
        to_start = self.known_start(recipient)
        return SendMessage(recipient, IndirectPingRequest(self.local_member.start, to_start, nonce, target))

    def join(self, recipient: str) -> SendMessage:
        """The local member's introduction to a member."""
        return SendMessage(recipient, Join(self.known_start(recipient), self.local_update()))

    def member_list(self, recipient: str, *updates: MembershipUpdate) -> SendMessage:
        """A list of some members."""
        return SendMessage(
            recipient, MemberList(self.local_member.start, self.known_start(recipient), updates)
        )

    def view_digests(self, recipient: str) -> SendMessage:
        """The digests by which a member finds where its view differs."""
        digests = tuple(self.bucket_digests())
        return SendMessage(
            recipient, ViewDigests(self.local_member.start, self.known_start(recipient), digests)
        )

    def member_lists(
        self, recipient: str, max_datagrams: int, buckets: list[int] | None = None
    ) -> list[Action]:
        """The member table in lists, all of it or some buckets in their order.

        The local member and the recipient's own entry come first; what exceeds `max_datagrams` is left out.
        """
        peers = self._table.peers
        active = [peer.update() for peer in peers.values() if peer.is_active()]
        inactive = [peer.update() for peer in peers.values() if not peer.is_active()]
        updates = [
            update for update in active + inactive[-MAX_LISTED_TOMBSTONES:] if update.name != recipient
        ]
        if buckets is not None:
            updates = [update for bucket in buckets for update in updates if bucket_of(update.name) == bucket]
        first = [self.local_update()]
        if recipient in peers:
            first.append(peers[recipient].update())
        groups = paginate(first + updates, MAX_UPDATES_BYTES)
        return [self.member_list(recipient, *group) for group in groups[:max_datagrams]]

    def _piggyback(self, recipient: str) -> tuple[MembershipUpdate, ...]:
        """Queued updates for a member: first its own entry to refute, where it is not considered alive."""
        peer = self._table.peers.get(recipient)
        to_refute = None
        if peer is not None and peer.status is not MemberStatus.ALIVE:
            to_refute = peer.update()
        return self._queue.take(MAX_UPDATES_BYTES, recipient, to_refute)
