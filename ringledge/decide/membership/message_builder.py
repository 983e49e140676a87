"""Builds the local member's messages, with membership updates piggybacked on pings and acks."""

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

MAX_LISTED_TOMBSTONES = 32  # the latest inactive members that member lists contain


class MessageBuilder:
    """Builds messages from the member table and the queue of updates.

    The caller sets `local_member` and `incarnation`. Building a ping or an ack takes updates from the queue,
    so callers build messages in the order in which they send them.
    """

    def __init__(self, local_member: Member, settings: ProbeConfig, table: MemberTable) -> None:
        self.local_member = local_member
        self.incarnation = 0
        self._settings = settings
        self._table = table
        self._queue = TransmitLimitedQueue()

    def known_start(self, name: str) -> int:
        """The latest known start number of another member; 0 if it is unknown."""
        peer = self._table.peers.get(name)
        return 0 if peer is None else peer.member.start

    def view_digest(self) -> int:
        """The digest of all active members, the local one included."""
        return reduce(operator.xor, self.bucket_digests())

    def bucket_digests(self) -> list[int]:
        """The digest of each bucket of active members, the local one included."""
        digests = self._table.bucket_digests.copy()
        digests[bucket_of(self.local_member.name)] ^= member_digest(self.local_member)
        return digests

    def differing_buckets(self, digests: tuple[int, ...]) -> list[int]:
        """The numbers of the buckets in which another member's view differs."""
        pairs = zip(self.bucket_digests(), digests, strict=True)
        return [bucket for bucket, (local, remote) in enumerate(pairs) if local != remote]

    def local_update(self, status: MemberStatus = MemberStatus.ALIVE) -> MembershipUpdate:
        """The local member's update about itself."""
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
        """Queue an update to be piggybacked `once`, or as often as the number of members requires."""
        limit = 1 if once else self._settings.transmit_limit(self._table.active_count + 1)
        self._queue.enqueue(update, limit)

    def ping(self, recipient: str, nonce: int) -> SendMessage:
        """A ping that probes a member."""
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
        """A request to a member to ping another member."""
        to_start = self.known_start(recipient)
        return SendMessage(recipient, IndirectPingRequest(self.local_member.start, to_start, nonce, target))

    def join(self, recipient: str) -> SendMessage:
        """A message by which the local member introduces itself."""
        return SendMessage(recipient, Join(self.known_start(recipient), self.local_update()))

    def member_list(self, recipient: str, *updates: MembershipUpdate) -> SendMessage:
        """A member list with the given updates."""
        return SendMessage(
            recipient, MemberList(self.local_member.start, self.known_start(recipient), updates)
        )

    def view_digests(self, recipient: str) -> SendMessage:
        """The bucket digests, by which the recipient finds where its view differs."""
        digests = tuple(self.bucket_digests())
        return SendMessage(
            recipient, ViewDigests(self.local_member.start, self.known_start(recipient), digests)
        )

    def member_lists(
        self, recipient: str, max_datagrams: int, buckets: list[int] | None = None
    ) -> list[Action]:
        """The whole member table, or the given buckets in their order, as member lists.

        The local member and the recipient's own entry come first; lists above `max_datagrams` are left out.
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
        """Updates for a recipient; its own entry comes first if it is not considered alive."""
        peer = self._table.peers.get(recipient)
        to_refute = None
        if peer is not None and peer.status is not MemberStatus.ALIVE:
            to_refute = peer.update()
        return self._queue.take(MAX_UPDATES_BYTES, recipient, to_refute)
