"""The rounds of propose requests of one holding, and until when their acceptances let the proposer hold."""

from __future__ import annotations

from ringledge.decide.leases.messages import LeaseTerms

MAX_REMEMBERED_ROUNDS = 40  # remembered: more than are sent within a lease


class GrantedRounds:
    """When each round was sent, and the latest round that each acceptor accepted."""

    def __init__(self, terms: LeaseTerms) -> None:
        self._terms = terms
        self.round_number = 0  # of the latest round; never reset, so that late responses are recognised
        self._full_round_s = 0.0  # when a round was last sent to all acceptors
        self._sent_s: dict[int, float] = {}  # by round number
        # Invariant: a grant counts from when its round was sent, never from when the response arrived. The
        # acceptor locked the duty after that moment, so its lock outlasts what the proposer relies on.
        self._granted_s: dict[str, float] = {}  # by acceptor: when its latest accepted round was sent

    def begin_full_round(self, now_s: float) -> None:
        """Remember that the next round goes to all acceptors."""
        self._full_round_s = now_s

    def begin_round(self, now_s: float) -> None:
        """Count and remember a round that is sent now; forget the oldest beyond `MAX_ROUNDS`."""
        self.round_number += 1
        self._sent_s[self.round_number] = now_s
        self._sent_s.pop(self.round_number - MAX_REMEMBERED_ROUNDS, None)

    def record_acceptance(self, acceptor: str, round_number: int) -> bool:
        """Record an acceptance; False where the round is not of this holding, or forgotten."""
        sent_s = self._sent_s.get(round_number)
        if sent_s is None:
            return False
        self._granted_s[acceptor] = max(sent_s, self._granted_s.get(acceptor, sent_s))
        return True

    def lease_end_s(self) -> float | None:
        """Until when a majority of the grants lasts; None while fewer acceptors have granted."""
        majority = self._terms.majority
        if len(self._granted_s) < majority:
            return None
        majority_sent_s = sorted(self._granted_s.values(), reverse=True)[majority - 1]
        return majority_sent_s + self._terms.holder_lease_s

    def missing_grants(self) -> list[str]:
        """Acceptors that have accepted no round since the last one to all was sent."""
        acceptors = self._terms.acceptors
        return [each for each in acceptors if self._granted_s.get(each, -1e9) < self._full_round_s]

    def clear(self) -> None:
        """Forget the rounds: the holding, or the attempt at one, has ended."""
        self._sent_s.clear()
        self._granted_s.clear()
