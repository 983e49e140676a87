"""The periodic work of the membership protocol: suspicion timeouts, probes and attempts to rejoin."""

from __future__ import annotations

import math
import random

from ringledge.decide.interface import Action
from ringledge.decide.membership.failure_detector import FailureDetector
from ringledge.decide.membership.member_table import MemberTable
from ringledge.decide.membership.message_builder import MessageBuilder
from ringledge.decide.membership.settings import ProbeConfig

REJOIN_INTERVALS = 5  # from one attempt to contact inactive members to the next; 1 if no other is active
MAX_TICK_DELAY_INTERVALS = 0.5  # a later tick means that the local process was stalled
MAX_JOIN_ATTEMPTS = 3  # names contacted at once while no other member is active


class PeriodicTasks:
    """Runs the work that is due at each tick; `seeds` are the names of other members to join through."""

    def __init__(
        self,
        settings: ProbeConfig,
        rng: random.Random,
        seeds: list[str],
        table: MemberTable,
        builder: MessageBuilder,
        detector: FailureDetector,
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._seeds = seeds
        self._table = table
        self._builder = builder
        self._detector = detector
        self._expected_tick_s = math.inf
        self._next_rejoin_s = -math.inf

    def next_tick_s(self) -> float:
        """The time at which the next tick is due, kept so that a late tick is noticed."""
        self._expected_tick_s = min(
            self._detector.next_tick_s(), self._next_rejoin_s, self._table.next_deadline_s()
        )
        return self._expected_tick_s

    def tick(self, now_s: float) -> list[Action]:
        """Expire suspicions, probe and contact inactive members, as far as each is due."""
        self._compensate_for_stall(now_s)
        self._update_suspicions(now_s)
        actions = self._probe(now_s)
        if now_s >= self._next_rejoin_s:
            actions += self._rejoin(now_s)
        return actions

    def _compensate_for_stall(self, now_s: float) -> None:
        """Suspect nobody after a late tick, since messages that arrived meanwhile are not yet processed."""
        delay_s = now_s - self._expected_tick_s
        self._expected_tick_s = math.inf
        if MAX_TICK_DELAY_INTERVALS * self._settings.interval_s < delay_s < math.inf:
            self._detector.cancel_pending_probe()
            self._table.extend_suspicions(delay_s)

    def _update_suspicions(self, now_s: float) -> None:
        for peer in self._table.expire_suspects(now_s):
            self._builder.enqueue(peer.update())
        suspect_name = self._detector.suspect_unresponsive(now_s)
        if suspect_name is not None:
            self._builder.enqueue(self._table.peers[suspect_name].update())

    def _probe(self, now_s: float) -> list[Action]:
        """The pings and indirect ping requests that are due."""
        builder = self._builder
        actions: list[Action] = []
        probe = self._detector.start_probe(now_s)
        if probe is not None:
            actions.append(builder.ping(probe.target, probe.nonce))
        late = self._detector.start_indirect_probe(now_s)
        if late is not None:
            actions.append(builder.ping(late.target, late.nonce))
            actions += [
                builder.indirect_ping_request(helper, late.nonce, late.target) for helper in late.helpers
            ]
        for name in self._detector.suspects_to_ping(now_s):
            actions.append(builder.ping(name, self._detector.next_nonce()))
        return actions

    def _rejoin(self, now_s: float) -> list[Action]:
        """Contact some seeds and dead members, in case they are active."""
        alone = not self._table.active_count
        intervals = 1 if alone else REJOIN_INTERVALS
        self._next_rejoin_s = now_s + intervals * self._settings.interval_s
        candidates = self._detector.rejoin_candidates(self._seeds)
        attempts = min(MAX_JOIN_ATTEMPTS if alone else 1, len(candidates))
        return [self._contact(name) for name in self._rng.sample(candidates, attempts)]

    def _contact(self, name: str) -> Action:
        if name in self._table.peers:
            return self._builder.ping(name, self._detector.next_nonce())
        return self._builder.join(name)
