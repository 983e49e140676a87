"""Life cycle of cluster membership in this process: construction from settings, start, readiness, stop."""

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

BIND_RETRY_INTERVAL_S = 0.05  # a predecessor holds the address until it stops after the hand-over
SOLE_MEMBER_TIMEOUT_S = 2.0  # a member that has found no other by then is ready as the first of its cluster


class MembersComponent:
    """Runs the local member.

    `relay_config` is the parsed RELAY_CONFIG, of which peer_listen, peers and peers_all are used. Raises
    ValueError for invalid settings. Additional deciders and hooks have to be added before `start`.
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
        # The start number has to grow with each restart. It is read from the wall clock, since there may be
        # no persistent disk. If that clock was set back, the member raises its start above that of its
        # predecessor as soon as it learns of it.
        start = time.time_ns() // 1_000_000
        address = self._settings.advertise or self._settings.listen
        seeds = [*self._settings.peers, *([BROADCAST] if self._settings.broadcast_address else [])]
        me = Member(name, start, address, self._settings.site)
        self.membership = Membership(me, seeds, self._settings.probe, rng)
        replica = ReplicatedRecords(me, self._settings.records, rng)
        self.records = RecordWriter(replica, self._wake_service, self._metrics.record_unwritten)
        self.hooks = Hooks(on_membership_change=[_log_change])
        self.service: MemberService | None = None
        self._deciders = DeciderTable(self.membership, replica)
        self._scope = anyio.CancelScope()
        self._created_s = time.monotonic()
        self._bound = anyio.Event()
        self._address = ""  # set once the socket is bound

    def add_decider(self, name: str, decider: Decider, message_types: MessageTypes) -> None:
        """Add a decider to run; `name` is its key in the codec's FIRST_KIND."""
        self._deciders.add(name, decider, message_types)

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the member in a task and return immediately."""
        tasks.start_soon(self._run)

    async def wait_bound(self) -> str:
        """Wait until the socket is bound; returns its address."""
        await self._bound.wait()
        return self._address

    def is_ready(self) -> bool:
        """Whether another member was found, or none within the time-out, so that this is the first one."""
        if not self._bound.is_set():
            return False
        return (
            len(self.membership.active_members()) > 1
            or time.monotonic() - self._created_s >= SOLE_MEMBER_TIMEOUT_S
        )

    def stop(self) -> None:
        """Announce to the others that the member leaves, and close the socket."""
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
                if (
                    settings.listen.endswith(":0") and not settings.advertise
                ):  # the operating system has chosen the port
                    self.membership.set_address(socket.address)
                self.service = self._build_service(socket)
                self._address = socket.address
                log.info("member_listening", address=socket.address, start=self.membership.local_member.start)
                self._bound.set()
                await self.service.run()
            finally:
                socket.close()

    async def _bind(self) -> DatagramSocket:
        """Bind the socket, retrying while another process uses the address."""
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
    """Log a membership change that operators may need to know of."""
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
