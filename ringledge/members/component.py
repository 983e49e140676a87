"""Members as a component of the program: built from the settings, started, asked for readiness, stopped."""

from __future__ import annotations

import random
import time
from collections.abc import Mapping
from typing import Any

import anyio
import anyio.abc
from prometheus_client import CollectorRegistry

from ringledge.decide.interface import Decider, Member
from ringledge.decide.membership.changes import (
    LocalMemberSuperseded,
    LocalStartRaised,
    MemberFailed,
    MemberJoined,
    MemberLeft,
    MembershipChange,
)
from ringledge.decide.membership.swim import BROADCAST, Membership
from ringledge.decide.records.replicated_records import ReplicatedRecords
from ringledge.members.address_book import AddressBook
from ringledge.members.codec import Codec
from ringledge.members.datagrams import DatagramSocket
from ringledge.members.deciders import DeciderTable, MessageTypes
from ringledge.members.metrics import MemberMetrics
from ringledge.members.record_writer import RecordWriter
from ringledge.members.service import Hooks, MemberService, PeerPolicy, Transport
from ringledge.members.settings import MembersConfig, with_platform_config
from ringledge.observe.logging import log

BIND_RETRY_INTERVAL_S = 0.05  # a predecessor that hands over releases the address only when it stops
ALONE_S = 2.0  # a member that finds no other for so long considers itself the first, and ready


class MembersComponent:
    """The member that this process is.

    `relay_config`: RELAY_CONFIG as read, for peer_listen, peers and peers_all. ValueError: invalid settings.
    Further deciders, and hooks for leases and changes, are to be added before the start.
    """

    def __init__(
        self,
        settings: MembersConfig,
        name: str,
        relay_config: Mapping[str, Any],
        registry: CollectorRegistry,
        rng: random.Random,
    ) -> None:
        self._settings = with_platform_config(settings, relay_config)
        self._key = self._settings.key()
        self._metrics = MemberMetrics(registry)
        # There may be no lasting disk: the wall clock grows over restarts. Where it was set back, a member
        # learns of its predecessor and continues above its start.
        start = time.time_ns() // 1_000_000
        address = self._settings.advertise or self._settings.listen
        seeds = [*self._settings.peers, *([BROADCAST] if self._settings.broadcast_address else [])]
        me = Member(name, start, address, self._settings.site)
        self.membership = Membership(me, seeds, self._settings.probe, rng)
        replica = ReplicatedRecords(me, self._settings.records, rng)
        self.records = RecordWriter(replica, self._wake_service)
        self.hooks = Hooks(on_membership_change=[_log_change])
        self.service: MemberService | None = None
        self._deciders = DeciderTable(self.membership, replica)
        self._scope = anyio.CancelScope()
        self._created_s = time.monotonic()
        self._bound = anyio.Event()
        self._address = ""  # known once bound

    def add_decider(self, name: str, decider: Decider, message_types: MessageTypes) -> None:
        """Run a further decider, by its name in the codec's table."""
        self._deciders.add(name, decider, message_types)

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start; returns at once."""
        tasks.start_soon(self._run)

    async def wait_bound(self) -> str:
        """Wait until the socket is bound; its address."""
        await self._bound.wait()
        return self._address

    def is_ready(self) -> bool:
        """Whether the other members are known: one was found, or none for so long that this is the first."""
        if not self._bound.is_set():
            return False
        return len(self.membership.active_members()) > 1 or time.monotonic() - self._created_s >= ALONE_S

    def stop(self) -> None:
        """Announce that the member leaves, and release the address."""
        if self.service is not None and self._bound.is_set():
            self.service.leave()
        self._scope.cancel()

    def _wake_service(self) -> None:
        if self.service is not None:
            self.service.wake()

    async def _run(self) -> None:
        with self._scope:
            socket = await self._bind()
            for hook in self.hooks.on_bound:
                hook()
            try:
                settings = self._settings
                if settings.listen.endswith(":0") and not settings.advertise:  # the system chose the port
                    self.membership.set_address(socket.address)
                self.service = self._build_service(socket)
                self._address = socket.address
                log.info("member_listening", address=socket.address, start=self.membership.local_member.start)
                self._bound.set()
                await self.service.run()
            finally:
                socket.close()

    async def _bind(self) -> DatagramSocket:
        """The socket, as soon as no other process has its address."""
        is_logged = False
        while True:
            try:
                return DatagramSocket(self._settings.listen, self._settings.buffer_kb * 1024)
            except OSError as error:
                if not is_logged:
                    log.warning("member_address_in_use", address=self._settings.listen, error=str(error))
                is_logged = True
                await anyio.sleep(BIND_RETRY_INTERVAL_S)

    def _build_service(self, socket: DatagramSocket) -> MemberService:
        settings = self._settings
        addresses = dict(settings.peers)
        if settings.broadcast_address:
            addresses[BROADCAST] = settings.broadcast_address
        policy = PeerPolicy(AddressBook(addresses), settings.accept_unlisted)
        codec = Codec(
            settings.cluster, self._key, self.membership.local_member.name, self._deciders.message_types()
        )
        transport = Transport(codec, socket, time.monotonic, self._metrics)
        return MemberService(self._deciders, self.hooks, policy, transport)


def _log_change(change: MembershipChange) -> None:
    """Log a change that on-call staff may ask about."""
    match change:
        case MemberJoined(member):
            log.info("member_joined", member=member.name, start=member.start, address=member.address)
        case MemberLeft(member):
            log.info("member_left", member=member.name, start=member.start)
        case MemberFailed(member, reason):
            log.warning("member_died", member=member.name, start=member.start, why=reason.value)
        case LocalStartRaised(member):
            log.warning("member_incarnation_raised", start=member.start)
        case LocalMemberSuperseded(start):
            log.error("member_superseded", by_start=start)
