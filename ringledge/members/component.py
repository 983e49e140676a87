"""Members as one part of the program: made from the settings, started, asked whether it is ready, stopped."""

from __future__ import annotations

import random
import time
from collections.abc import Mapping
from functools import partial
from typing import Any

import anyio
import anyio.abc
import msgspec
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
from ringledge.members.codec import Codec
from ringledge.members.datagrams import Datagrams
from ringledge.members.metrics import Figures
from ringledge.members.record_writer import RecordWriter
from ringledge.members.service import Hooks, Service
from ringledge.members.settings import MembersConfig, with_told
from ringledge.observe.logging import log

BIND_AGAIN_S = 0.05  # a predecessor that hands over lets the address go within its last call
ALONE_S = 2.0  # after so long with nobody heard the member takes itself for the first, and is ready


class MembersPart:
    """One member of the fleet.

    `told`: RELAY_CONFIG as read, for peer_listen, peers and peers_all. ValueError: settings are of no use.
    Further deciders and hooks for duties and changes are added before the start.
    """

    def __init__(
        self,
        settings: MembersConfig,
        name: str,
        told: Mapping[str, Any],
        registry: CollectorRegistry,
        rng: random.Random,
    ) -> None:
        self._settings = with_told(settings, told)
        self._key, self._figures = settings.key(), Figures(registry)
        # There may be no lasting disk: the wall clock grows over restarts. Where it stepped back, a member
        # hears of its predecessor and goes on above it.
        start = time.time_ns() // 1_000_000
        address = self._settings.advertise or self._settings.listen
        seeds = [*self._settings.peers, *([BROADCAST] if self._settings.everyone else [])]
        me = Member(name, start, address, self._settings.site)
        self.membership = Membership(me, seeds, self._settings.probe, rng)
        self._table = ReplicatedRecords(me, self._settings.facts, rng)
        self.facts = RecordWriter(self._table, self._changed)
        self.hooks = Hooks(changes=[_tell])
        self.service: Service | None = None
        self._others: dict[str, tuple[Decider, tuple[type[msgspec.Struct], ...]]] = {}
        self._scope = anyio.CancelScope()
        self._began_s = time.monotonic()
        self._bound = anyio.Event()

    def add(self, kind: str, decider: Decider, messages: tuple[type[msgspec.Struct], ...]) -> None:
        """Run a further decider, by its name in the codec's table."""
        self._others[kind] = (decider, messages)

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Begin; returns at once."""
        tasks.start_soon(self._run)

    async def bound(self) -> str:
        """Wait until it listens; the address."""
        await self._bound.wait()
        return self._address

    def ready(self) -> bool:
        """Whether it knows who is there: somebody was heard, or nobody for so long that it is the first."""
        if not self._bound.is_set():
            return False
        return len(self.membership.active_members()) > 1 or time.monotonic() - self._began_s >= ALONE_S

    def stop(self) -> None:
        """Say goodbye, and let the address go."""
        if self.service is not None and self._bound.is_set():
            self.service.leave()
        self._scope.cancel()

    def _changed(self) -> None:
        if self.service is not None:
            self.service.wake()

    async def _run(self) -> None:
        with self._scope:
            datagrams = await self._bind()
            for hook in self.hooks.bound:
                hook()
            try:
                settings = self._settings
                peers = settings.peers | ({BROADCAST: settings.everyone} if settings.everyone else {})
                if settings.listen.endswith(":0") and not settings.advertise:  # a port that the system chose
                    self.membership.set_address(datagrams.address)
                self.service = Service(
                    self.membership,
                    self._table,
                    self._others,
                    self.hooks,
                    partial(Codec, settings.cluster, self._key, self.membership.me.name),
                    peers,
                    settings.strangers,
                    time.monotonic,
                    datagrams,
                    self._figures,
                )
                self._address = datagrams.address
                log.info("members_listen", address=datagrams.address, start=self.membership.me.start)
                self._bound.set()
                await self.service.run()
            finally:
                datagrams.close()

    async def _bind(self) -> Datagrams:
        """The socket, as soon as nobody else has its address."""
        told = False
        while True:
            try:
                return Datagrams(self._settings.listen, self._settings.buffer_kb * 1024)
            except OSError as error:
                if not told:
                    log.warning("members_address_taken", address=self._settings.listen, error=str(error))
                told = True
                await anyio.sleep(BIND_AGAIN_S)


def _tell(change: MembershipChange) -> None:
    """One line for each change that on-call staff may ask about."""
    match change:
        case MemberJoined(member):
            log.info("member_joined", member=member.name, start=member.start, address=member.address)
        case MemberLeft(member):
            log.info("member_left", member=member.name, start=member.start)
        case MemberFailed(member, reason):
            log.warning("member_died", member=member.name, start=member.start, why=reason.value)
        case LocalStartRaised(member):
            log.warning("member_start_raised", start=member.start)
        case LocalMemberSuperseded(start):
            log.error("member_superseded", by_start=start)
