"""SWIM's failure detector: selects probe targets, helpers of indirect probes and suspects to ping again."""

from __future__ import annotations

import math
import random
from collections.abc import Collection
from dataclasses import dataclass

from ringledge.decide.membership.member_table import MemberTable
from ringledge.decide.membership.messages import MemberStatus
from ringledge.decide.membership.settings import ProbeConfig

BROADCAST = "*"  # seed name that stands for the broadcast address, at which all members receive
SUSPECT_PINGS_PER_INTERVAL = 4  # each ping carries the suspicion, so that the suspect can refute it
FINAL_PING_INTERVALS = 3.0  # last part of a suspicion, in which every member pings the suspect
MAX_RELAYED_PROBES = 64  # probes on behalf of other members that await an Ack
NONCE_RANGE = 1 << 32


@dataclass(frozen=True, slots=True)
class Probe:
    """A ping to send."""

    target: str
    nonce: int


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """A probe without a timely Ack, to be repeated directly and through helpers."""

    target: str
    nonce: int
    helpers: list[str]


@dataclass(frozen=True, slots=True)
class RelayedProbe:
    """A probe on behalf of another member: the member that requested it and the nonce of its request."""

    origin: str
    nonce: int


@dataclass(slots=True)
class _PendingProbe:
    target: str
    start: int
    nonce: int
    indirect_probe_due_s: float  # infinite once the indirect probe was sent


class FailureDetector:
    """Probes one member per interval; each round covers all members in a newly shuffled order."""

    def __init__(self, settings: ProbeConfig, rng: random.Random, table: MemberTable) -> None:
        self._settings = settings
        self._rng = rng
        self._table = table
        self._last_nonce = rng.randrange(NONCE_RANGE)
        self._remaining_targets: list[str] = []  # targets left in the current round, the next one last
        self._pending_probe: _PendingProbe | None = None
        self._relayed: dict[int, RelayedProbe] = {}  # by the nonce of the local ping
        self._direct_suspects: set[str] = set()  # suspects that did not answer a probe of this member
        self._next_probe_s = -math.inf
        self._next_suspect_ping_s = -math.inf

    def next_tick_s(self) -> float:
        """The time at which the next probe, indirect probe or ping of a suspect is due."""
        indirect_s = math.inf if self._pending_probe is None else self._pending_probe.indirect_probe_due_s
        suspect_ping_s = self._next_suspect_ping_s if self._table.has_suspects() else math.inf
        return min(self._next_probe_s, indirect_s, suspect_ping_s)

    def cancel_pending_probe(self) -> None:
        """Drop the probe that awaits its Ack, so that its target is not suspected."""
        self._pending_probe = None

    def next_nonce(self) -> int:
        """A new nonce; nonces repeat after 2**32 probes, which takes hours at the least."""
        self._last_nonce = (self._last_nonce + 1) % NONCE_RANGE
        return self._last_nonce

    def suspect_unresponsive(self, now_s: float) -> str | None:
        """At the end of an interval: suspect the probed member if its Ack is missing, and return its name."""
        if now_s < self._next_probe_s or self._pending_probe is None:
            return None
        pending, self._pending_probe = self._pending_probe, None
        peer = self._table.peers.get(pending.target)
        if peer is None or peer.member.start != pending.start:
            return None
        if not self._table.suspect(now_s, pending.target):
            return None
        self._direct_suspects.add(pending.target)
        return pending.target

    def start_probe(self, now_s: float) -> Probe | None:
        """At the start of an interval: select the probe to send."""
        if now_s < self._next_probe_s:
            return None
        self._next_probe_s = now_s + self._settings.interval_s
        target = self._next_target()
        if target is None:
            return None
        start = self._table.peers[target].member.start
        nonce = self.next_nonce()
        self._pending_probe = _PendingProbe(target, start, nonce, now_s + self._settings.ack_timeout_s)
        return Probe(target, nonce)

    def start_indirect_probe(self, now_s: float) -> IndirectProbe | None:
        """The indirect probe to send if the Ack of the current probe is late."""
        pending = self._pending_probe
        if pending is None or now_s < pending.indirect_probe_due_s:
            return None
        pending.indirect_probe_due_s = math.inf
        helpers = self.sample_active(self._settings.indirect_probes, {pending.target})
        return IndirectProbe(pending.target, pending.nonce, helpers)

    def suspects_to_ping(self, now_s: float) -> list[str]:
        """The suspects to ping again, so that they learn of the suspicion and refute it in time.

        A member pings the suspects that missed its own probe until the suspicion ends. Suspects that it knows
        from others it pings only shortly before the suspicion times out, in case the refutation was lost.
        """
        if now_s < self._next_suspect_ping_s or not self._table.has_suspects():
            return []
        self._next_suspect_ping_s = now_s + self._settings.interval_s / SUSPECT_PINGS_PER_INTERVAL
        suspects = self._table.suspects()
        self._direct_suspects.intersection_update(peer.member.name for peer in suspects)
        final_ping_horizon_s = now_s + FINAL_PING_INTERVALS * self._settings.interval_s
        return [
            peer.member.name
            for peer in suspects
            if peer.member.name in self._direct_suspects or peer.suspicion_deadline_s <= final_ping_horizon_s
        ]

    def register_relayed_probe(self, origin: str, nonce: int) -> int:
        """Register a probe on behalf of another member, and return the nonce for the local ping."""
        relay_nonce = self.next_nonce()
        self._relayed[relay_nonce] = RelayedProbe(origin, nonce)
        if len(self._relayed) > MAX_RELAYED_PROBES:
            del self._relayed[next(iter(self._relayed))]
        return relay_nonce

    def record_ack(self, nonce: int) -> RelayedProbe | None:
        """Record an Ack; return the relayed probe that it answers, or None if the probe was this member's."""
        if self._pending_probe is not None and nonce == self._pending_probe.nonce:
            self._pending_probe = None
        return self._relayed.pop(nonce, None)

    def sample_active(self, max_count: int, exclude: Collection[str] = ()) -> list[str]:
        """A random sample of the active members, except the excluded ones."""
        names = [name for name in self._active_names() if name not in exclude]
        return self._rng.sample(names, min(max_count, len(names)))

    def rejoin_candidates(self, seeds: list[str]) -> list[str]:
        """The names to try to contact: seeds that are not active members, and dead members."""
        peers = self._table.peers
        alone = not self._table.active_count
        unknown = [name for name in seeds if name not in peers and (alone or name != BROADCAST)]
        inactive = [name for name in seeds if name in peers and not peers[name].is_active()]
        dead = [
            name
            for name, peer in peers.items()
            if peer.status is MemberStatus.DEAD and peer.member.address and name not in seeds
        ]
        return unknown + inactive + dead

    def _active_names(self) -> list[str]:
        return [name for name, peer in self._table.peers.items() if peer.is_active()]

    def _next_target(self) -> str | None:
        """The next active member of this round, or of a newly shuffled round if none is left."""
        target = self._pop_active_target()
        if target is None:
            self._remaining_targets = self._active_names()
            self._rng.shuffle(self._remaining_targets)
            target = self._pop_active_target()
        return target

    def _pop_active_target(self) -> str | None:
        while self._remaining_targets:
            name = self._remaining_targets.pop()
            peer = self._table.peers.get(name)
            if peer is not None and peer.is_active():
                return name
        return None
