"""Group membership by SWIM (Das, Gupta, Motivala 2002) with suspicion and refutation.

In each interval a member probes one other member, in an order that it shuffles for each round. A member that
does not acknowledge is probed indirectly through some others, then suspected, then declared dead. Updates are
piggybacked on pings and acks. A member that learns of its own suspicion or death refutes it with a higher
incarnation. Two additions to the paper let the sides of a partition merge again: members whose digests of the
group differ exchange their member lists, and dead members are contacted from time to time.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import replace

from ringledge.decide.datagram import MAX_START_NUMBER, validated_name
from ringledge.decide.interface import Action, Member
from ringledge.decide.membership.changes import LocalMemberSuperseded, LocalStartRaised, MembershipChange
from ringledge.decide.membership.failure_detector import BROADCAST, FailureDetector
from ringledge.decide.membership.member_table import MemberTable
from ringledge.decide.membership.message_builder import MessageBuilder
from ringledge.decide.membership.messages import (
    MESSAGES,
    Ack,
    IndirectPingRequest,
    Join,
    MemberList,
    MemberListQuery,
    MemberMessage,
    MembershipUpdate,
    MemberStatus,
    Message,
    Ping,
    ViewDigests,
    sender_start,
    updates_of,
)
from ringledge.decide.membership.periodic import PeriodicTasks
from ringledge.decide.membership.settings import ProbeConfig

__all__ = ["BROADCAST", "MESSAGES", "Membership"]

MAX_SYNC_DATAGRAMS = 8  # limit of datagrams with member lists that answer differing digests
MAX_JOIN_DATAGRAMS = 100  # limit of datagrams with member lists that answer a join or a query
ANNOUNCE_FAN_OUT = 8  # members notified directly when this one leaves or raises its start number
# Suspicion timeouts after the first tick within which a higher start number is taken for a predecessor's.
START_CONFLICT_GRACE_FACTOR = 2.0


class Membership:
    """The local member's instance of the protocol; implements Decider. Times are in s of its monotonic clock.

    `seeds` are names of members to join through; `rng` draws the order of probes and all samples. The caller
    fetches the changes with `take_changes` after each call. Once `stopped`, the instance neither sends nor
    handles any message.
    """

    def __init__(
        self, local_member: Member, seeds: Iterable[str], settings: ProbeConfig, rng: random.Random
    ) -> None:
        """Raise ValueError if the member's name does not fit a datagram."""
        validated_name(local_member.name)
        self.stopped = False  # the local member has left or was superseded
        self._settings = settings
        self._rng = rng
        self._table = MemberTable(settings)
        self._builder = MessageBuilder(local_member, settings, self._table)
        self._detector = FailureDetector(settings, rng, self._table)
        self._periodic = PeriodicTasks(
            settings,
            rng,
            [name for name in dict.fromkeys(seeds) if name != local_member.name],
            self._table,
            self._builder,
            self._detector,
        )
        self._start_confirmed = False  # another member has addressed the current start number
        self._first_tick_s = math.inf
        self._next_sync_s = -math.inf

    @property
    def local_member(self) -> Member:
        """The local member; its start number may rise while it joins."""
        return self._builder.local_member

    def set_address(self, address: str) -> None:
        """Set the local member's address once its socket is bound; must precede the first tick."""
        self._builder.local_member = replace(self.local_member, address=address)

    def active_members(self) -> tuple[Member, ...]:
        """All active members sorted by name, the local one included."""
        active = [peer.member for peer in self._table.peers.values() if peer.is_active()]
        return tuple(sorted([self.local_member, *active]))

    def statuses(self) -> dict[str, MemberStatus]:
        """The status of each known name, the local one included."""
        local = MemberStatus.LEFT if self.stopped else MemberStatus.ALIVE
        return {
            self.local_member.name: local,
            **{name: peer.status for name, peer in self._table.peers.items()},
        }

    def latest_member(self, name: str) -> Member | None:
        """The member with the latest known start number of a name, active or not."""
        if name == self.local_member.name:
            return self.local_member
        peer = self._table.peers.get(name)
        return None if peer is None else peer.member

    def is_active(self, name: str) -> bool:
        """Whether the latest member of a name is active."""
        peer = self._table.peers.get(name)
        return name == self.local_member.name or (peer is not None and peer.is_active())

    def take_changes(self) -> list[MembershipChange]:
        """Return the changes since the last call."""
        return self._table.take_changes()

    def next_tick_s(self) -> float:
        """The time at which the next tick is due."""
        if self.stopped:
            return math.inf
        return self._periodic.next_tick_s()

    def tick(self, now_s: float) -> list[Action]:
        """Expire suspicions, probe and contact inactive members, as far as each is due."""
        if self.stopped:
            return []
        self._first_tick_s = min(self._first_tick_s, now_s)
        return self._periodic.tick(now_s)

    def receive(self, now_s: float, sender: str, message: Message) -> list[Action]:
        """Handle a message; one under the local name is a late one, or from another process of this name."""
        if self.stopped:
            return []
        if isinstance(message, MemberListQuery):
            return self._builder.member_lists(sender, MAX_JOIN_DATAGRAMS)
        if sender == self.local_member.name:
            return self._resolve_start_conflict(now_s, sender_start(message), has_ended=False)
        start_on_arrival = self.local_member.start
        actions = self._merge(now_s, updates_of(message), from_list=isinstance(message, MemberList))
        if message.to_start > self.local_member.start:
            actions += self._resolve_start_conflict(now_s, message.to_start, has_ended=False)
        if self.stopped:
            return actions
        self._start_confirmed = self._start_confirmed or message.to_start == self.local_member.start
        if sender_start(message) < self._builder.known_start(sender):
            # The sender has a successor, or must raise its start number; its own entry informs it.
            entry = self._table.peers[sender].update()
            return [*actions, self._builder.member_list(sender, entry)]
        self._table.record_contact(now_s, sender, sender_start(message))
        actions += self._answer(sender, message)
        if message.to_start != start_on_arrival and not isinstance(message, Join):
            actions.append(self._builder.join(sender))
        if isinstance(message, Ping | Ack) and message.view_digest != self._builder.view_digest():
            actions += self._sync(now_s, sender)
        return actions

    def leave(self, now_s: float) -> list[Action]:
        """Announce that the local member leaves, and stop."""
        if self.stopped:
            return []
        self.stopped = True
        recipients = self._detector.sample_active(ANNOUNCE_FAN_OUT)
        update = self._builder.local_update(MemberStatus.LEFT)
        return [self._builder.member_list(name, update) for name in recipients]

    def _answer(self, sender: str, message: MemberMessage) -> list[Action]:
        """The answer that the type of a message requires."""
        builder = self._builder
        match message:
            case Ping():
                return [builder.ack(sender, message.nonce)]
            case Ack():
                relayed = self._detector.record_ack(message.nonce)
                return [] if relayed is None else [builder.ack(relayed.origin, relayed.nonce)]
            case IndirectPingRequest() if message.target in self._table.peers:
                nonce = self._detector.register_relayed_probe(sender, message.nonce)
                return [builder.ping(message.target, nonce)]
            case Join():
                return builder.member_lists(sender, MAX_JOIN_DATAGRAMS)
            case ViewDigests():
                buckets = builder.differing_buckets(message.digests)
                self._rng.shuffle(buckets)  # not all buckets may fit
                return builder.member_lists(sender, MAX_SYNC_DATAGRAMS, buckets)
            case _:
                return []

    def _merge(self, now_s: float, updates: Iterable[MembershipUpdate], from_list: bool) -> list[Action]:
        """Apply updates, and disseminate those that changed something."""
        actions: list[Action] = []
        for update in updates:
            if update.name == self.local_member.name:
                actions += self._merge_own_update(now_s, update)
            elif self._table.merge(now_s, update, from_list):
                self._builder.enqueue(self._table.peers[update.name].update(), once=from_list)
        return actions

    def _merge_own_update(self, now_s: float, update: MembershipUpdate) -> list[Action]:
        """Handle an update about the local member; refute a suspicion or death of its start number."""
        builder = self._builder
        same_start = update.start == self.local_member.start
        if update.start > self.local_member.start or (same_start and update.status is MemberStatus.LEFT):
            has_ended = not update.status.is_active
            return self._resolve_start_conflict(now_s, update.start, has_ended)
        if same_start and update.status is not MemberStatus.ALIVE:
            builder.incarnation = max(builder.incarnation, update.incarnation + 1)
            builder.enqueue(builder.local_update())  # repeated: the sender has not seen an earlier one
        return []

    def _resolve_start_conflict(self, now_s: float, start: int, has_ended: bool) -> list[Action]:
        """Handle another start number of the local name: a successor's, or a predecessor's with a fast clock.

        `has_ended`: the member with that start number is dead or has left, so it is not a successor.
        """
        if start < self.local_member.start or (start == self.local_member.start and not has_ended):
            return []
        grace_s = START_CONFLICT_GRACE_FACTOR * self._settings.suspicion_timeout_s(
            self._table.active_count + 1
        )
        within_grace = now_s - min(self._first_tick_s, now_s) < grace_s
        if self._start_confirmed and not within_grace and not has_ended:
            self.stopped = True
            self._table.record_change(LocalMemberSuperseded(start))
            return []
        builder = self._builder
        builder.local_member = replace(self.local_member, start=min(start + 1, MAX_START_NUMBER))
        builder.incarnation = 0
        self._start_confirmed = False
        self._table.record_change(LocalStartRaised(self.local_member))
        builder.enqueue(builder.local_update())
        return [builder.join(name) for name in self._detector.sample_active(ANNOUNCE_FAN_OUT)]

    def _sync(self, now_s: float, name: str) -> list[Action]:
        """Send the digests to a member whose view differs, at most once per interval."""
        if now_s < self._next_sync_s:
            return []
        self._next_sync_s = now_s + self._settings.interval_s
        return [self._builder.view_digests(name)]
