"""Whom to probe next, whom to ask to probe it too, and who is to be told that it is suspected."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from ringledge.decide.membership.member_table import Table
from ringledge.decide.membership.messages import Status
from ringledge.decide.membership.settings import ProbeConfig

EVERYONE = "*"  # as a seed: the address at which all are heard at once
CHASES = 4  # times an interval that a suspect is asked and told what is said of it
LAST = 3.0  # intervals before a suspect's end from which all who suspect it ask
RELAYS_MOST = 64  # probes for others that wait for their answers
WORD = 1 << 32


@dataclass(slots=True)
class _Probe:
    name: str
    start: int
    nonce: int
    ask_s: float  # when others are asked; infinite once they were


class Probes:
    """One probe at a time, all others in turn, each round in another order."""

    def __init__(self, settings: ProbeConfig, rng: random.Random, table: Table) -> None:
        self._settings, self._rng, self._table = settings, rng, table
        self._nonce = rng.randrange(WORD)
        self._order: list[str] = []
        self._probe: _Probe | None = None
        self._relays: dict[int, tuple[str, int]] = {}
        self._chased: set[str] = set()
        self._probe_s = self._chase_s = -math.inf

    def next_s(self) -> float:
        """When something is due."""
        asked_s = math.inf if self._probe is None else self._probe.ask_s
        return min(self._probe_s, asked_s, self._chase_s if self._table.doubts() else math.inf)

    def void(self) -> None:
        """Blame nobody for the probe under way."""
        self._probe = None

    def nonce(self) -> int:
        """A number that no probe of the last hours had."""
        self._nonce = (self._nonce + 1) % WORD
        return self._nonce

    def failed(self, now_s: float) -> str | None:
        """At the end of an interval: the member whose answer is missing."""
        if now_s < self._probe_s or self._probe is None:
            return None
        probe, self._probe = self._probe, None
        peer = self._table.peers.get(probe.name)
        if peer is None or peer.member.start != probe.start or not self._table.suspect(now_s, probe.name):
            return None
        self._chased.add(probe.name)
        return probe.name

    def begin(self, now_s: float) -> tuple[str, int] | None:
        """At the start of an interval: the member to probe, and the nonce."""
        if now_s < self._probe_s:
            return None
        self._probe_s = now_s + self._settings.interval_s
        name = self._next()
        if name is None:
            return None
        self._probe = _Probe(
            name, self._table.peers[name].member.start, self.nonce(), now_s + self._settings.answer_s
        )
        return name, self._probe.nonce

    def asks(self, now_s: float) -> tuple[str, int, list[str]] | None:
        """Where the answer is late: the member, the nonce, and the others to ask."""
        if self._probe is None or now_s < self._probe.ask_s:
            return None
        self._probe.ask_s = math.inf
        helpers = self.some(self._settings.indirect, {self._probe.name})
        return self._probe.name, self._probe.nonce, helpers

    def chase(self, now_s: float) -> list[str]:
        """Suspects to be asked again, so that they refute it in time.

        The one who missed the answer asks all the time; one who only heard of it asks at the end, in case
        the refutation did not come.
        """
        if now_s < self._chase_s or not self._table.doubts():
            return []
        self._chase_s = now_s + self._settings.interval_s / CHASES
        suspects = self._table.suspects()
        self._chased.intersection_update(each.member.name for each in suspects)
        last_s = now_s + LAST * self._settings.interval_s
        return [
            each.member.name
            for each in suspects
            if each.member.name in self._chased or each.until_s <= last_s
        ]

    def relay(self, origin: str, nonce: int) -> int:
        """Probe for another; the nonce of that probe."""
        mine = self.nonce()
        self._relays[mine] = (origin, nonce)
        if len(self._relays) > RELAYS_MOST:
            del self._relays[next(iter(self._relays))]
        return mine

    def answered(self, nonce: int) -> tuple[str, int] | None:
        """An answer came; for whom, and its nonce there, where the probe was for another."""
        if self._probe is not None and nonce == self._probe.nonce:
            self._probe = None
        return self._relays.pop(nonce, None)

    def some(self, most: int, without: set[str]) -> list[str]:
        """So many of the others who are there, drawn."""
        there = [name for name, each in self._table.peers.items() if each.there() and name not in without]
        return self._rng.sample(there, min(most, len(there)))

    def away(self, seeds: list[str]) -> list[str]:
        """Those to try again: seeds that are not there, and those who were taken for dead."""
        peers, alone = self._table.peers, not self._table.there
        unknown = [name for name in seeds if name not in peers and (alone or name != EVERYONE)]
        gone = [name for name in seeds if name in peers and not peers[name].there()]
        dead = [
            name
            for name, each in peers.items()
            if each.status is Status.DEAD and each.member.address and name not in seeds
        ]
        return unknown + gone + dead

    def _next(self) -> str | None:
        """The next in this round's order who is there; a new round where it is at its end."""
        for fresh in (False, True):
            if fresh:
                self._order = [name for name, each in self._table.peers.items() if each.there()]
                self._rng.shuffle(self._order)
            while self._order:
                name = self._order.pop()
                peer = self._table.peers.get(name)
                if peer is not None and peer.there():
                    return name
        return None
