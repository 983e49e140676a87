"""Members in virtual time: each datagram may be late, doubled, lost or cut off; a seed replays it."""

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
from ringledge.decide.records.messages import MESSAGES as FACTS
from ringledge.decide.records.replicated_records import ReplicatedRecords
from ringledge.decide.records.settings import RecordsConfig

DELAY_S = (0.001, 0.027)  # of a datagram, from what the platform states


@dataclass(slots=True)
class Node:
    """One process."""

    membership: Membership
    facts: ReplicatedRecords
    changes: list[tuple[float, MembershipChange]] = field(default_factory=list)
    paused: bool = False  # stands still; what comes meanwhile waits
    inbox: list[tuple[str, msgspec.Struct]] = field(default_factory=list)
    tick_s: float = float("inf")
    datagrams: int = 0
    bytes: int = 0


class World:
    """All of them. `loss`, `doubles`: parts of the datagrams; `cut` says whether one from a to b is lost."""

    def __init__(
        self, seed: int, probe: ProbeConfig | None = None, facts: RecordsConfig | None = None
    ) -> None:
        self.rng, self.now_s = random.Random(seed), 0.0
        self.probe, self.facts = probe or ProbeConfig(), facts or RecordsConfig()
        self.nodes: dict[str, Node] = {}
        self.loss = self.duplication = 0.0
        self.is_partitioned: Callable[[str, str], bool] = lambda a, b: False
        self.lost_datagrams = 0  # datagrams that fell to loss or a cut
        self.checks: list[Callable[[World], None]] = []  # called after each event
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self._encoder = msgspec.msgpack.Encoder()

    def start(self, name: str, seeds: list[str], start: int | None = None) -> Node:
        """A process begins, now; one of that name is gone without a word."""
        number = round(self.now_s * 1000) + 1 if start is None else start
        me, rng = Member(name, number, f"{name}:1", "s"), random.Random(self.rng.random())
        node = Node(Membership(me, seeds, self.probe, rng), ReplicatedRecords(me, self.facts, rng))
        self.nodes[name] = node
        self._schedule_tick(name, node)
        return node

    def kill(self, name: str) -> Node:
        """It is gone without a word."""
        return self.nodes.pop(name)

    def leave(self, name: str) -> None:
        """It says goodbye and is gone."""
        node = self.nodes[name]
        self._act(name, node, node.membership.leave(self.now_s))
        del self.nodes[name]

    def pause(self, name: str) -> None:
        """It stands still."""
        self.nodes[name].paused = True

    def resume(self, name: str) -> None:
        """It runs again, and hears first what waited."""
        node = self.nodes[name]
        node.paused = False
        waited, node.inbox = node.inbox, []
        for sender, message in waited:
            self._receive(name, node, sender, message)
        self._schedule_tick(name, node)

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> float:
        """Let time pass, until something holds or for so long; how long it took."""
        began, end_s = self.now_s, self.now_s + seconds
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, event = heapq.heappop(self._events)
            event()
            for check in self.checks:
                check(self)
            if until is not None and until():
                return self.now_s - began
        self.now_s = end_s
        return seconds

    def notify_written(self, name: str) -> None:
        """Something was put into its facts."""
        self._schedule_tick(name, self.nodes[name])

    def has_converged(self) -> bool:
        """Whether each one takes just those for there who run."""
        running = {name: node.membership.me for name, node in self.nodes.items()}
        wanted = tuple(sorted(running.values()))
        return all(node.membership.active_members() == wanted for node in self.nodes.values())

    def _schedule(self, at_s: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (max(at_s, self.now_s), next(self._count), event))

    def _schedule_tick(self, name: str, node: Node) -> None:
        at_s = max(self.now_s, min(node.membership.next_s(), node.facts.next_s()))
        if at_s < node.tick_s:
            node.tick_s = at_s
            self._schedule(at_s, lambda: self._tick(name, node, at_s))

    def _tick(self, name: str, node: Node, at_s: float) -> None:
        if self.nodes.get(name) is not node or node.tick_s != at_s:
            return
        node.tick_s = float("inf")
        if node.paused:
            return
        self._act(name, node, node.membership.tick(self.now_s))
        self._act(name, node, node.facts.tick(self.now_s))
        self._schedule_tick(name, node)

    def _receive(self, name: str, node: Node, sender: str, message: msgspec.Struct) -> None:
        decider = node.facts if isinstance(message, FACTS) else node.membership
        self._act(name, node, decider.receive(self.now_s, sender, message))  # type: ignore[arg-type]
        self._schedule_tick(name, node)

    def _act(self, name: str, node: Node, actions: list[Action]) -> None:
        if changes := node.membership.take_changes():
            node.changes += [(self.now_s, each) for each in changes]
            node.facts.update_members(self.now_s, node.membership.me, node.membership.active_members())
        for action in actions:
            assert isinstance(action, SendMessage)
            size = FIXED_HEADER_BYTES + len(name) + len(self._encoder.encode(action.message))
            assert size <= MAX_DATAGRAM_BYTES, (size, action)
            node.datagrams += 1
            node.bytes += size
            for _ in range(1 + (self.rng.random() < self.duplication)):
                to_all = [each for each in self.nodes if each != name]
                for to in to_all if action.recipient == BROADCAST else [action.recipient]:
                    self._send(name, SendMessage(to, action.message))

    def _send(self, name: str, action: SendMessage) -> None:
        if self.rng.random() < self.loss or self.is_partitioned(name, action.recipient):
            self.lost_datagrams += 1
            return
        delay_s = self.rng.uniform(*DELAY_S)
        self._schedule(self.now_s + delay_s, lambda: self._deliver(name, action))

    def _deliver(self, sender: str, action: SendMessage) -> None:
        node = self.nodes.get(action.recipient)
        if node is None:
            return
        if node.paused:
            node.inbox.append((sender, action.message))
        else:
            self._receive(action.recipient, node, sender, action.message)
