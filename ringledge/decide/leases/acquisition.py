"""How duties are spread over members: which candidate seeks a free duty after which delay."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ringledge.decide.rendezvous import ranked


@dataclass(frozen=True, slots=True)
class AcquisitionDelays:
    """By how many seconds a member delays its attempt to acquire a free duty."""

    per_duty_s: float = 0.04  # for each duty that it holds or is acquiring
    per_rank_s: float = 0.01  # for each candidate before it in the duty's order
    max_s: float = 0.08  # of both together: a released duty is begun within 0.2 s
    unreleased_factor: float = 8.0  # where the duty was not released: attempts are further apart then
    max_candidates: int = 5  # of a duty; more would only cost datagrams
    non_candidate_s: float = 30.0  # other members: where all candidates are alive, but can't
    overloaded_s: float = 10.0  # an overloaded member: only where nobody else does
    after_release_s: float = 3.0  # the member that released the duty


class CandidateRanking:
    """The order of a duty's candidates by rendezvous hashing over the live members."""

    def __init__(self, name: str, max_candidates: int) -> None:
        self._name = name
        self._max_candidates = max_candidates
        self._live_members: frozenset[str] = frozenset()
        self._ranks: dict[str, int] = {}  # by duty; of this member among the live ones

    def set_live_members(self, names: Iterable[str]) -> None:
        """Replace the live members."""
        live_members = frozenset(names)
        if live_members != self._live_members:
            self._live_members = live_members
            self._ranks.clear()

    def rank(self, duty: str) -> int:
        """How many are before this member in the duty's order; 0 while no members are known."""
        if not self._live_members:
            return 0
        if duty not in self._ranks:
            self._ranks[duty] = ranked(duty, self._live_members | {self._name}).index(self._name)
        return self._ranks[duty]

    def is_candidate(self, duty: str) -> bool:
        """Whether this member is among the first of the duty's order."""
        return self.rank(duty) < self._max_candidates

    def successor(self, duty: str, holders: Mapping[str, str]) -> str | None:
        """Of the duty's other candidates, the one that holds the fewest duties; `holders` by duty."""
        held_counts = Counter(holders.values())
        candidates = ranked(duty, self._live_members)[: self._max_candidates + 1]
        others = [each for each in candidates if each != self._name]
        return min(others, key=held_counts.__getitem__) if others else None
