"""Runs the deciders of the local member: ticks them, passes messages to them, and executes their actions."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import anyio

from ringledge.decide.interface import Action, Decider, LeaseAcquired, LeaseEnded, SendMessage
from ringledge.decide.membership.changes import MemberFailed, MembershipChange
from ringledge.decide.membership.messages import MemberListQuery
from ringledge.members.address_book import AddressBook
from ringledge.members.codec import Codec, DatagramError, DropReason, ReceivedDatagram
from ringledge.members.datagrams import Endpoint
from ringledge.members.deciders import DeciderTable
from ringledge.members.metrics import Direction, MemberMetrics
from ringledge.members.replay_window import ReplayWindow
from ringledge.observe.logging import log

MAX_BATCHES_PER_TICK = 8  # batches of waiting datagrams that are received before a tick
# Reasons for drops that networks and restarts cause in normal operation; they are counted but not logged.
UNLOGGED_REASONS = (DropReason.REPLAYED, DropReason.OTHER_START, DropReason.MEMBER_STOPPED)


class Socket(Protocol):
    """The part of a datagram socket that the service uses."""

    overflow_count: int

    def send(self, datagram: bytes, to: Endpoint) -> None:
        """Send a datagram; raises BlockingIOError if the send buffer is full, or another OSError."""

    async def wait_readable(self) -> None:
        """Wait until at least one datagram can be received."""

    def receive(self) -> list[tuple[bytes, Endpoint]]:
        """Receive a batch of waiting datagrams with their sources."""


@dataclass(slots=True)
class Hooks:
    """Callbacks of other components for events of the local member."""

    on_lease_event: list[Callable[[LeaseAcquired | LeaseEnded], None]] = field(default_factory=list)
    on_membership_change: list[Callable[[MembershipChange], None]] = field(default_factory=list)
    on_bound: list[Callable[[], None]] = field(default_factory=list)  # called when the socket is bound


@dataclass(frozen=True, slots=True)
class Transport:
    """Encoding, socket and metrics of datagrams, and the monotonic clock in s that ticks the deciders."""

    codec: Codec
    socket: Socket
    clock: Callable[[], float]
    metrics: MemberMetrics


@dataclass(frozen=True, slots=True)
class PeerPolicy:
    """Addresses of other members, and whether members that are not configured may join."""

    addresses: AddressBook
    accept_unlisted: bool


class MemberService:
    """The local member on its socket; all deciders have to be in the table at construction."""

    def __init__(
        self, deciders: DeciderTable, hooks: Hooks, policy: PeerPolicy, transport: Transport
    ) -> None:
        self._membership = deciders.membership
        self._records = deciders.records
        self._deciders = deciders.all()
        self._decider_by_type = deciders.by_message_type()
        self._hooks = hooks
        self._policy = policy
        self._codec = transport.codec
        self._socket = transport.socket
        self._clock = transport.clock
        self._metrics = transport.metrics
        self._replay_window = ReplayWindow()
        self._wake_event = anyio.Event()
        self._scheduled_s = -math.inf  # time until which the tick loop sleeps

    async def run(self) -> None:
        """Receive datagrams and tick deciders until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._receive_loop)
            await self._tick_loop()

    def wake(self) -> None:
        """Interrupt the sleep of the tick loop if a decider has become due earlier."""
        if self._next_s() < self._scheduled_s:
            self._wake_event.set()

    def leave(self) -> None:
        """Announce to the other members that this one leaves."""
        self._execute(self._membership.leave(self._clock()))

    def execute_actions(self, actions: list[Action]) -> None:
        """Execute actions of a decider that another component has called, for example to release a lease."""
        self._execute(self._drop_messages_if_stopped(actions))
        self.wake()

    def _next_s(self) -> float:
        return min(decider.next_tick_s() for decider in self._deciders)

    async def _tick_loop(self) -> None:
        while True:
            # Waiting datagrams are processed before the tick: after this process has stalled, they prove that
            # the other members are alive.
            for _ in range(MAX_BATCHES_PER_TICK):
                if not self._receive_batch():
                    break
            now_s = self._clock()
            for decider in self._deciders:
                if decider.next_tick_s() <= now_s:
                    self._execute(self._drop_messages_if_stopped(decider.tick(now_s)))
            self._scheduled_s = self._next_s()
            self._wake_event = anyio.Event()
            sleep_s = self._scheduled_s - self._clock()
            with anyio.move_on_after(max(0.0, sleep_s)):
                await self._wake_event.wait()

    async def _receive_loop(self) -> None:
        while True:
            await self._socket.wait_readable()
            self._receive_batch()
            self.wake()
            await anyio.sleep(0)

    def _receive_batch(self) -> bool:
        """Receive and process a batch of waiting datagrams; returns whether there were any."""
        overflows_before = self._socket.overflow_count
        batch = self._socket.receive()
        for datagram, source in batch:
            self._metrics.record_received(len(datagram))
            try:
                self._receive(datagram, source)
            except DatagramError as error:
                self._record_drop(error.reason, datagram, source)
        overflows = self._socket.overflow_count - overflows_before
        if overflows > 0:
            self._metrics.record_dropped(Direction.RECEIVED, DropReason.BUFFER_FULL, overflows)
        return bool(batch)

    def _record_drop(self, reason: DropReason, datagram: bytes, source: Endpoint) -> None:
        self._metrics.record_dropped(Direction.RECEIVED, reason)
        if reason not in UNLOGGED_REASONS:
            log.rate_limited("datagram_dropped", why=reason.value, source=source[0], bytes=len(datagram))

    def _receive(self, datagram: bytes, source: Endpoint) -> None:
        """Pass a datagram to its decider; raises DatagramError with the reason if it is rejected."""
        if self._membership.stopped:
            raise DatagramError(DropReason.MEMBER_STOPPED)
        received = self._codec.decode(datagram)
        if not self._replay_window.accept(received.sender, received.start, received.sequence):
            raise DatagramError(DropReason.REPLAYED)
        decider = self._decider_by_type[type(received.message)]
        self._check_sender(decider, received)
        self._policy.addresses.learn(received.sender, source)
        self._execute(decider.receive(self._clock(), received.sender, received.message))

    def _check_sender(self, decider: Decider, received: ReceivedDatagram) -> None:
        """Raise DatagramError if the sender may not send to this decider, or addresses another start."""
        member = self._membership.latest_member(received.sender)
        if decider is self._membership:
            if not self._may_join(received.sender) and not isinstance(received.message, MemberListQuery):
                raise DatagramError(DropReason.SENDER_UNKNOWN)
            return
        if received.to_start != self._membership.local_member.start:
            raise DatagramError(DropReason.OTHER_START)
        is_current = member is not None and member.start == received.start
        if not is_current or not self._membership.is_active(received.sender):
            raise DatagramError(DropReason.SENDER_UNKNOWN)

    def _may_join(self, name: str) -> bool:
        policy = self._policy
        is_known = self._membership.latest_member(name) is not None
        return policy.accept_unlisted or is_known or policy.addresses.is_configured(name)

    def _execute(self, actions: list[Action]) -> None:
        self._report_changes()
        for action in actions:
            match action:
                case SendMessage():
                    self._send(action)
                case _:
                    for hook in self._hooks.on_lease_event:
                        hook(action)

    def _drop_messages_if_stopped(self, actions: list[Action]) -> list[Action]:
        """Remove messages if the member has stopped, as a successor may use its name; keep lease events."""
        if not self._membership.stopped:
            return actions
        return [action for action in actions if not isinstance(action, SendMessage)]

    def _report_changes(self) -> None:
        changes = self._membership.take_changes()
        if not changes:
            return
        active = self._membership.active_members()
        self._metrics.active_members.set(len(active))
        self._records.update_members(self._clock(), self._membership.local_member, active)
        for change in changes:
            if isinstance(change, MemberFailed):
                self._metrics.record_failure(change.reason)
            for hook in self._hooks.on_membership_change:
                hook(change)

    def _send(self, action: SendMessage) -> None:
        member = self._membership.latest_member(action.recipient)
        to_start = 0 if member is None else member.start
        try:
            datagram = self._codec.encode(action.message, self._membership.local_member.start, to_start)
            self._socket.send(datagram, self._policy.addresses.resolve(action.recipient, member))
        except DatagramError as error:
            self._metrics.record_dropped(Direction.SENT, error.reason)
        except BlockingIOError:
            self._metrics.record_dropped(Direction.SENT, DropReason.BUFFER_FULL)
        except OSError:
            self._metrics.record_dropped(Direction.SENT, DropReason.NETWORK)
        else:
            self._metrics.record_sent(len(datagram))
