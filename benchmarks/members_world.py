"""A group of members in virtual time with delayed, duplicated and lost datagrams; a seed reproduces a run."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from ringledge.decide.datagram import FIXED_HEADER_BYTES
from ringledge.decide.interface import MAX_DATAGRAM_BYTES, Action, Member, SendMessage
from ringledge.decide.membership.changes import MembershipChange
from ringledge.decide.membership.settings import ProbeConfig
from ringledge.decide.membership.swim import BROADCAST, Membership
from ringledge.decide.records.messages import MESSAGES as RECORD_MESSAGES
from ringledge.decide.records.replicated_records import ReplicatedRecords
from ringledge.decide.records.settings import RecordsConfig

DATAGRAM_DELAY_S = (0.001, 0.027)  # range, from the platform's specification


@dataclass(slots=True)
class SimulatedMember:
    """The membership and records of one simulated process, with the datagrams that it has sent."""

    membership: Membership
    records: ReplicatedRecords
    changes: list[tuple[float, MembershipChange]] = field(default_factory=list)
    paused: bool = False  # as after SIGSTOP: received datagrams wait in the inbox
    inbox: list[tuple[str, msgspec.Struct]] = field(default_factory=list)
    tick_s: float = float("inf")
    datagrams: int = 0
    bytes: int = 0


class SimulatedGroup:
    """The members by name, and the network between them.

    `loss`, `duplication`: fractions of datagrams; `is_partitioned`: whether those from a to b are lost.
    """

    def __init__(
        self, seed: int, probe: ProbeConfig | None = None, records: RecordsConfig | None = None
    ) -> None:
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.probe_config = probe or ProbeConfig()
        self.records_config = records or RecordsConfig()
        self.nodes: dict[str, SimulatedMember] = {}
        self.loss = 0.0
        self.duplication = 0.0
        self.is_partitioned: Callable[[str, str], bool] = lambda a, b: False
        self.lost_datagrams = 0  # by loss or by a partition
        self.checks: list[Callable[[SimulatedGroup], None]] = []  # called after each event
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._encoder = msgspec.msgpack.Encoder()

    def start(self, name: str, seeds: list[str], start: int | None = None) -> SimulatedMember:
        """Start a member now; a running one of that name is killed."""
        number = round(self.now_s * 1000) + 1 if start is None else start
        me = Member(name, number, f"{name}:1", "s")
        rng = random.Random(self.rng.random())
        node = SimulatedMember(
            Membership(me, seeds, self.probe_config, rng), ReplicatedRecords(me, self.records_config, rng)
        )
        self.nodes[name] = node
        self._schedule_tick(name, node)
        return node

    def kill(self, name: str) -> SimulatedMember:
        """End a member without notice."""
        return self.nodes.pop(name)

    def leave(self, name: str) -> None:
        """Have a member announce that it leaves, and end it."""
        node = self.nodes[name]
        self._act(name, node, node.membership.leave(self.now_s))
        del self.nodes[name]

    def pause(self, name: str) -> None:
        """Pause a member as SIGSTOP does."""
        self.nodes[name].paused = True

    def resume(self, name: str) -> None:
        """Resume a member; it receives the waiting datagrams first."""
        node = self.nodes[name]
        node.paused = False
        waiting, node.inbox = node.inbox, []
        for sender, message in waiting:
            self._receive(name, node, sender, message)
        self._schedule_tick(name, node)

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> float:
        """Advance the time by some seconds, or until a condition holds; returns the elapsed time in s."""
        start_s = self.now_s
        end_s = start_s + seconds
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, event = heapq.heappop(self._events)
            event()
            for check in self.checks:
                check(self)
            if until is not None and until():
                return self.now_s - start_s
        self.now_s = end_s
        return seconds

    def notify_written(self, name: str) -> None:
        """Schedule a tick after a write to the member's records."""
        self._schedule_tick(name, self.nodes[name])

    def has_converged(self) -> bool:
        """Whether each running member considers exactly the running ones active."""
        running = {name: node.membership.local_member for name, node in self.nodes.items()}
        wanted = tuple(sorted(running.values()))
        return all(node.membership.active_members() == wanted for node in self.nodes.values())

    def _schedule(self, at_s: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (max(at_s, self.now_s), next(self._event_numbers), event))

    def _schedule_tick(self, name: str, node: SimulatedMember) -> None:
        at_s = max(self.now_s, min(node.membership.next_tick_s(), node.records.next_tick_s()))
        if at_s < node.tick_s:
            node.tick_s = at_s
            self._schedule(at_s, lambda: self._tick(name, node, at_s))

    def _tick(self, name: str, node: SimulatedMember, at_s: float) -> None:
        if self.nodes.get(name) is not node or node.tick_s != at_s:
            return
        node.tick_s = float("inf")
        if node.paused:
            return
        self._act(name, node, node.membership.tick(self.now_s))
        self._act(name, node, node.records.tick(self.now_s))
        self._schedule_tick(name, node)

    def _receive(self, name: str, node: SimulatedMember, sender: str, message: msgspec.Struct) -> None:
        decider = node.records if isinstance(message, RECORD_MESSAGES) else node.membership
        self._act(name, node, decider.receive(self.now_s, sender, message))  # type: ignore[arg-type]
        self._schedule_tick(name, node)

    def _act(self, name: str, node: SimulatedMember, actions: list[Action]) -> None:
        if changes := node.membership.take_changes():
            node.changes += [(self.now_s, each) for each in changes]
            node.records.update_members(
                self.now_s, node.membership.local_member, node.membership.active_members()
            )
        for action in actions:
            assert isinstance(action, SendMessage)
            size = FIXED_HEADER_BYTES + len(name) + len(self._encoder.encode(action.message))
            assert size <= MAX_DATAGRAM_BYTES, (size, action)
            node.datagrams += 1
            node.bytes += size
            for _ in range(1 + (self.rng.random() < self.duplication)):
                for recipient in self._recipients(name, action):
                    self._send(name, SendMessage(recipient, action.message))

    def _recipients(self, sender: str, action: SendMessage) -> list[str]:
        if action.recipient != BROADCAST:
            return [action.recipient]
        return [name for name in self.nodes if name != sender]

    def _send(self, name: str, action: SendMessage) -> None:
        if self.rng.random() < self.loss or self.is_partitioned(name, action.recipient):
            self.lost_datagrams += 1
            return
        delay_s = self.rng.uniform(*DATAGRAM_DELAY_S)
        self._schedule(self.now_s + delay_s, lambda: self._deliver(name, action))

    def _deliver(self, sender: str, action: SendMessage) -> None:
        node = self.nodes.get(action.recipient)
        if node is None:
            return
        if node.paused:
            node.inbox.append((sender, action.message))
        else:
            self._receive(action.recipient, node, sender, action.message)
