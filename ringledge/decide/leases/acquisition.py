"""Distribution of duties over members: after which delay each candidate tries to acquire a free duty."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ringledge.decide.rendezvous import ranked


@dataclass(frozen=True, slots=True)
class AcquisitionDelays:
    """The parts of the delay before a member tries to acquire a free duty."""

    per_duty_s: float = 0.04  # for each duty that the member holds or is acquiring
    per_rank_s: float = 0.01  # for each candidate that precedes the member in the duty's order
    max_s: float = 0.08  # limit of the sum of the two, so that a released duty is taken over within 0.2 s
    unreleased_factor: float = 8.0  # factor if the lease expired without a release; spreads the attempts
    max_candidates: int = 5  # per duty; more would only cost datagrams
    non_candidate_s: float = 30.0  # added for non-candidates, which act only if live candidates fail to
    overloaded_s: float = 10.0  # added for overloaded members, which act only if no other member does
    after_release_s: float = 3.0  # how long the member that released the duty makes no attempt


class CandidateRanking:
    """The order of each duty's candidates, by rendezvous hashing over the live members."""

    def __init__(self, name: str, max_candidates: int) -> None:
        self._name = name
        self._max_candidates = max_candidates
        self._live_members: frozenset[str] = frozenset()
        self._ranks: dict[str, int] = {}  # rank of this member among the live ones, by duty

    def set_live_members(self, names: Iterable[str]) -> None:
        """Replace the set of live members."""
        live_members = frozenset(names)
        if live_members != self._live_members:
            self._live_members = live_members
            self._ranks.clear()

    def rank(self, duty: str) -> int:
        """How many members precede this one in the duty's order; 0 while no members are known."""
        if not self._live_members:
            return 0
        if duty not in self._ranks:
            self._ranks[duty] = ranked(duty, self._live_members | {self._name}).index(self._name)
        return self._ranks[duty]

    def is_candidate(self, duty: str) -> bool:
        """Whether this member is among the first `max_candidates` in the duty's order."""
        return self.rank(duty) < self._max_candidates

    def successor(self, duty: str, holders: Mapping[str, str]) -> str | None:
        """The other candidate that holds the fewest duties; `holders` maps duties to their holders."""
        held_counts = Counter(holders.values())
        candidates = ranked(duty, self._live_members)[: self._max_candidates + 1]
        others = [each for each in candidates if each != self._name]
        return min(others, key=held_counts.__getitem__) if others else None
