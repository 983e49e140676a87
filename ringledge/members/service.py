"""Runs the deciders of one member: ticks them when they want it, hears for them, and sends what they tell."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

import anyio
import msgspec

from ringledge.decide.interface import Action, Decider, LeaseAcquired, LeaseEnded, SendMessage
from ringledge.decide.membership import swim as membership_decider
from ringledge.decide.membership.messages import Look
from ringledge.decide.membership.swim import Change, Died, Membership
from ringledge.decide.records import replicated_records as facts_decider
from ringledge.decide.records.replicated_records import ReplicatedRecords
from ringledge.members.codec import Codec, Drop, MalformedError
from ringledge.members.datagrams import Endpoint, endpoint
from ringledge.members.metrics import Figures
from ringledge.members.replay_window import Guard
from ringledge.observe.logging import log

BATCHES = 8  # read at most before a tick
ORDINARY = (Drop.REPLAYED, Drop.OTHER_START, Drop.SILENT)  # drops that networks and restarts bring
SOURCES_MOST = 256  # names whose last source address is remembered


class Socket(Protocol):
    """What the service needs of its socket."""

    overflowed: int

    def send(self, datagram: bytes, to: Endpoint) -> None:
        """Send one."""

    async def readable(self) -> None:
        """Wait for more."""

    def read(self) -> list[tuple[bytes, Endpoint]]:
        """What waits."""


@dataclass(slots=True)
class Hooks:
    """Who is told of what the deciders give."""

    duties: list[Callable[[LeaseAcquired | LeaseEnded], None]] = field(default_factory=list)
    changes: list[Callable[[Change], None]] = field(default_factory=list)
    bound: list[Callable[[], None]] = field(default_factory=list)  # the address is ours from now on


class Service:
    """One member at a socket.

    `others`: further deciders by their name in the codec's table, each with its MESSAGES.
    `clock`: monotonic, s.
    """

    def __init__(
        self,
        membership: Membership,
        facts: ReplicatedRecords,
        others: Mapping[str, tuple[Decider, tuple[type[msgspec.Struct], ...]]],
        hooks: Hooks,
        codec: Callable[[Mapping[str, tuple[type[msgspec.Struct], ...]]], Codec],
        peers: Mapping[str, str],
        strangers: bool,
        clock: Callable[[], float],
        socket: Socket,
        figures: Figures,
    ) -> None:
        self.membership, self.facts, self._hooks = membership, facts, hooks
        deciders: dict[str, tuple[Decider, tuple[type[msgspec.Struct], ...]]] = {
            "membership": (membership, membership_decider.MESSAGES),
            "facts": (facts, facts_decider.MESSAGES),
            **others,
        }
        self._deciders = [decider for decider, _ in deciders.values()]
        self._by_kind = {kind: decider for decider, kinds in deciders.values() for kind in kinds}
        self._codec = codec({name: kinds for name, (_, kinds) in deciders.items()})
        self._peers, self._strangers = dict(peers), strangers
        self._clock, self._socket, self._figures, self._guard = clock, socket, figures, Guard()
        self._sources: dict[str, Endpoint] = {}
        self._wake = anyio.Event()
        self._awaited_s = -math.inf

    async def run(self) -> None:
        """Hear and tick until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._receive)
            await self._tick()

    def wake(self) -> None:
        """A decider may want its tick earlier than it said."""
        if self._next_s() < self._awaited_s:
            self._wake.set()

    def leave(self) -> None:
        """Say goodbye."""
        self._act(self.membership.leave(self._clock()))

    def act(self, actions: list[Action]) -> None:
        """Do what a decider wants that was asked from outside, as when a duty is given up."""
        self._act(self._muted(actions))
        self.wake()

    def _next_s(self) -> float:
        return min(each.next_s() for each in self._deciders)

    async def _tick(self) -> None:
        while True:
            for _ in range(BATCHES):  # what waits is heard first: after a stall it tells that others are well
                if not self._read():
                    break
            now_s = self._clock()
            for decider in self._deciders:
                if decider.next_s() <= now_s:
                    self._act(self._muted(decider.tick(now_s)))
            self._awaited_s = self._next_s()
            self._wake = anyio.Event()
            wait_s = self._awaited_s - self._clock()
            with anyio.move_on_after(max(0.0, wait_s)):
                await self._wake.wait()

    async def _receive(self) -> None:
        while True:
            await self._socket.readable()
            self._read()
            self.wake()
            await anyio.sleep(0)

    def _read(self) -> bool:
        """Hear what waits, up to a batch; whether there was anything."""
        before = self._socket.overflowed
        heard = self._socket.read()
        for datagram, source in heard:
            self._figures.heard(len(datagram))
            try:
                self._take(datagram, source)
            except MalformedError as error:
                self._figures.dropped("heard", error.why)
                if error.why not in ORDINARY:
                    log.rate_limited(
                        "datagram_dropped", why=error.why.value, source=source[0], bytes=len(datagram)
                    )
        if (lost := self._socket.overflowed - before) > 0:
            self._figures.dropped("heard", Drop.FULL, lost)
        return bool(heard)

    def _take(self, datagram: bytes, source: Endpoint) -> None:
        """Hand a datagram to its decider; MalformedError with the reason where it is for none."""
        if self.membership.silent:
            raise MalformedError(Drop.SILENT)
        heard = self._codec.read(datagram)
        if not self._guard.fresh(heard.sender, heard.start, heard.number):
            raise MalformedError(Drop.REPLAYED)
        decider, sender = self._by_kind[type(heard.message)], heard.sender
        member = self.membership.last(sender)
        if decider is self.membership:
            known = self._strangers or member is not None or sender in self._peers
            if not known and not isinstance(heard.message, Look):
                raise MalformedError(Drop.SENDER_UNKNOWN)
        else:
            if heard.to_start != self.membership.me.start:
                raise MalformedError(Drop.OTHER_START)
            if member is None or member.start != heard.start or not self.membership.there(sender):
                raise MalformedError(Drop.SENDER_UNKNOWN)
        self._sources.pop(sender, None)
        self._sources[sender] = source
        if len(self._sources) > SOURCES_MOST:
            del self._sources[next(iter(self._sources))]
        self._act(decider.receive(self._clock(), sender, heard.message))

    def _act(self, actions: list[Action]) -> None:
        self._tell_changes()
        for action in actions:
            match action:
                case SendMessage():
                    self._send(action)
                case _:
                    for hook in self._hooks.duties:
                        hook(action)

    def _muted(self, actions: list[Action]) -> list[Action]:
        """Without what they tell others, where the name is a successor's by now; duties end all the same."""
        if not self.membership.silent:
            return actions
        return [action for action in actions if not isinstance(action, SendMessage)]

    def _tell_changes(self) -> None:
        changes = self.membership.changes()
        if not changes:
            return
        there = self.membership.alive()
        self._figures.there.set(len(there))
        self.facts.members(self._clock(), self.membership.me, there)
        for change in changes:
            if isinstance(change, Died):
                self._figures.died(change.why)
            for hook in self._hooks.changes:
                hook(change)

    def _send(self, action: SendMessage) -> None:
        member = self.membership.last(action.recipient)
        to_start = 0 if member is None else member.start
        try:
            datagram = self._codec.pack(action.message, self.membership.me.start, to_start)
            self._socket.send(datagram, self._address(action.recipient))
        except MalformedError as error:
            self._figures.dropped("sent", error.why)
        except BlockingIOError:
            self._figures.dropped("sent", Drop.FULL)
        except OSError:
            self._figures.dropped("sent", Drop.NETWORK)
        else:
            self._figures.sent(len(datagram))

    def _address(self, name: str) -> Endpoint:
        """Where a member is reached: as the settings say, as it says itself, or where it last spoke from."""
        member = self.membership.last(name)
        address = self._peers.get(name) or ("" if member is None else member.address)
        if address:
            try:
                return endpoint(address)
            except ValueError as error:
                raise MalformedError(Drop.NO_ADDRESS) from error
        if name not in self._sources:
            raise MalformedError(Drop.NO_ADDRESS)
        return self._sources[name]
