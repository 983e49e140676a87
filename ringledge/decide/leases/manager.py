"""Duties that one member holds at a time, by a majority of named voters; a member's whole part in it.

Free of I/O and clocks: events and a time in, actions out. The time is one monotonic clock of this process
that runs on while the process is stopped; it is compared with nobody's.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from typing import Any

from ringledge.decide.interface import Action, LeaseAcquired, SendMessage
from ringledge.decide.leases.acceptor import LeaseAcceptor
from ringledge.decide.leases.messages import (
    MESSAGES,
    MOST_NAME,
    Ask,
    Freed,
    Known,
    Learn,
    LeaseTerms,
    Release,
    Take,
)
from ringledge.decide.leases.proposer import LeaseProposer, Phase
from ringledge.decide.rendezvous import ranked

__all__ = ["MESSAGES", "LeaseTerms", "Leases", "Spread"]

TO_VOTERS = (Ask, Take, Release, Learn, Known)


@dataclass(frozen=True, slots=True)
class Spread:
    """How duties come to be spread over members; each s by which a member seeks later."""

    held_s: float = 0.04  # for each duty that it holds or is after
    rank_s: float = 0.01  # for each member before it in the duty's order
    most_s: float = 0.08  # of both together: a duty handed on is begun within 0.2 s
    slow: float = 8.0  # times as much where the duty was not handed on: tries are further apart then
    candidates: int = 5  # members of a duty's order who seek it; the rest would only cost datagrams
    others_s: float = 30.0  # the rest: where all candidates are there, but can't
    overloaded_s: float = 10.0  # a member that is overloaded: only where nobody else does
    rest_s: float = 3.0  # after it gave a duty up


class Leases:
    """Votes, where it is named a voter, and seeks and holds the duties that it wants."""

    def __init__(
        self,
        now_s: float,
        name: str,
        start: int,
        terms: LeaseTerms,
        random: Random,
        spread: Spread | None = None,
    ) -> None:
        """`start`: below 2**42 and above that of every earlier process of this name."""
        if not 0 < len(name.encode()) <= MOST_NAME:
            raise ValueError(f"name: 1 to {MOST_NAME} bytes")
        self._name, self._start, self._terms, self._random = name, start, terms, random
        self._spread = spread or Spread()
        self.voter = LeaseAcceptor(now_s, name, start, terms) if name in terms.voters else None
        self._seekers: dict[str, LeaseProposer] = {}
        self._ranks: dict[str, int] = {}
        self._alive: frozenset[str] = frozenset()
        self._able = True
        self._stopped = False
        self.counts: Counter[str] = Counter()  # Begin and why of End, of this process

    def want(self, now_s: float, duty: str) -> None:
        """Seek it from now on."""
        if not 0 < len(duty.encode()) <= MOST_NAME:
            raise ValueError(f"duty: 1 to {MOST_NAME} bytes")
        if duty not in self._seekers:
            seeker = LeaseProposer(duty, self._name, self._start, self._terms, self._random)
            seeker.due_s = now_s
            self._seekers[duty] = seeker
            self._ranks[duty] = self._rank(duty)

    def alive(self, names: Iterable[str]) -> None:
        """Who is there, by what this member knows; decides who seeks and who is named to follow, no more."""
        names = frozenset(names)
        if names != self._alive:
            self._alive = names
            self._ranks = {duty: self._rank(duty) for duty in self._seekers}

    def able(self, able: bool) -> None:
        """Whether this member may take on duties: not, while it is overloaded."""
        self._able = able

    def token(self, now_s: float, duty: str) -> int | None:
        """The token, where this member holds the duty at this moment of its own clock; else None."""
        seeker = self._seekers.get(duty)
        return seeker.token_at(now_s) if seeker else None

    def holders(self) -> dict[str, str]:
        """Who held each duty last, as far as known; "" for nobody. To look at, not to act on."""
        return {duty: seeker.holder for duty, seeker in self._seekers.items()}

    def give_up(self, now_s: float, duty: str, why: str = "given_up") -> list[Action]:
        """End it in good order and name who shall follow."""
        seeker = self._seekers.get(duty)
        if seeker is None:
            return []
        actions: list[Action] = []
        if seeker.phase is Phase.HOLD and (follower := self._follower(duty)):
            actions.append(SendMessage(follower, Freed(duty, seeker.token, True)))
        actions += seeker.end(now_s, why, self._spread.rest_s)
        return self._route(now_s, actions)

    def drop(self, now_s: float, duty: str) -> list[Action]:
        """Seek it no more; end it where it is held."""
        actions = self.give_up(now_s, duty, "stopped")
        self._seekers.pop(duty, None)
        return actions

    def stop(self, now_s: float) -> list[Action]:
        """End all and neither seek nor vote again: a successor of this name may be there already."""
        actions = [each for duty in self._seekers for each in self.give_up(now_s, duty, "stopped")]
        self._stopped, self.voter = True, None
        return actions

    def receive(self, now_s: float, sender: str, message: Any) -> list[Action]:
        """Take a message of `MESSAGES` from the member of that name."""
        return self._route(now_s, self._receive(now_s, sender, message))

    def tick(self, now_s: float) -> list[Action]:
        """Do what is due; may be called early."""
        actions = self.voter.tick(now_s) if self.voter else []
        for duty, seeker in self._seekers.items():
            resting = seeker.phase is Phase.REST
            actions += seeker.tick(now_s, self._extra_s(duty) if resting else float("inf"))
        return self._route(now_s, actions)

    def next_s(self) -> float:
        """When the next call of `tick` is wanted."""
        voter_s = self.voter.next_s() if self.voter else float("inf")
        for duty, each in self._seekers.items():
            extra_s = self._extra_s(duty) if each.phase is Phase.REST else 0.0
            voter_s = min(voter_s, each.next_s(extra_s))
        return voter_s

    def _receive(self, now_s: float, sender: str, message: Any) -> list[Action]:
        if isinstance(message, TO_VOTERS):
            return self.voter.receive(now_s, sender, message) if self.voter else []
        seeker = self._seekers.get(message.duty)
        return seeker.receive(now_s, sender, message) if seeker else []

    def _route(self, now_s: float, actions: list[Action]) -> list[Action]:
        """Hand what this member tells itself to itself, and count."""
        out: list[Action] = []
        for each in actions:
            if isinstance(each, SendMessage) and each.recipient == self._name:
                out += self._route(now_s, self._receive(now_s, self._name, each.message))
                continue
            if not isinstance(each, SendMessage):
                self.counts["begin" if isinstance(each, LeaseAcquired) else each.reason] += 1
            out.append(each)
        return out

    def _busy(self) -> int:
        return len([each for each in self._seekers.values() if each.phase is not Phase.REST])

    def _rank(self, duty: str) -> int:
        """How many are before this member in the duty's order."""
        return ranked(duty, self._alive | {self._name}).index(self._name) if self._alive else 0

    def _extra_s(self, duty: str) -> float:
        """By how much this member seeks the duty later than it could."""
        if self._stopped:
            return float("inf")
        if self._seekers[duty].hinted and self._able:
            return 0.0
        spread, rank = self._spread, self._ranks[duty]
        late_s = min(spread.most_s, spread.held_s * self._busy() + spread.rank_s * rank)
        late_s *= 1 if self._seekers[duty].freed else spread.slow
        if rank >= spread.candidates:
            late_s += spread.others_s
        return late_s if self._able else late_s + spread.overloaded_s

    def _follower(self, duty: str) -> str | None:
        """Of those who seek the duty, one that holds fewest, as far as known."""
        held = Counter(self.holders().values())
        order = ranked(duty, self._alive)[: self._spread.candidates + 1]
        others = [each for each in order if each != self._name]
        return min(others, key=held.__getitem__) if others else None
