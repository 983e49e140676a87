"""The rounds of propose requests of one holding, and how long their acceptances extend the lease."""

from __future__ import annotations

from ringledge.decide.leases.messages import LeaseTerms

MAX_REMEMBERED_ROUNDS = 40  # more than are sent within a lease


class GrantedRounds:
    """The time at which each round was sent, and the latest round that each acceptor accepted."""

    def __init__(self, terms: LeaseTerms) -> None:
        self._terms = terms
        self.round_number = 0  # of the latest round; never reset, so that late responses are recognised
        self._full_round_s = 0.0  # time of the last round that was sent to all acceptors
        self._sent_s: dict[int, float] = {}  # by round number
        # Invariant: a grant counts from the time at which its round was sent, never from the arrival of the
        # response. The acceptor locked the duty after that time, so its lock outlasts the proposer's lease.
        self._granted_s: dict[str, float] = {}  # send time of the latest accepted round, by acceptor

    def begin_full_round(self, now_s: float) -> None:
        """Record that the next round goes to all acceptors."""
        self._full_round_s = now_s

    def begin_round(self, now_s: float) -> None:
        """Record a round that is sent now; forget the oldest above `MAX_REMEMBERED_ROUNDS`."""
        self.round_number += 1
        self._sent_s[self.round_number] = now_s
        self._sent_s.pop(self.round_number - MAX_REMEMBERED_ROUNDS, None)

    def record_acceptance(self, acceptor: str, round_number: int) -> bool:
        """Record an acceptance; False if the round belongs to no current holding or is forgotten."""
        sent_s = self._sent_s.get(round_number)
        if sent_s is None:
            return False
        self._granted_s[acceptor] = max(sent_s, self._granted_s.get(acceptor, sent_s))
        return True

    def lease_end_s(self) -> float | None:
        """The time until which a majority of grants lasts; None while fewer acceptors have granted."""
        majority = self._terms.majority
        if len(self._granted_s) < majority:
            return None
        majority_sent_s = sorted(self._granted_s.values(), reverse=True)[majority - 1]
        return majority_sent_s + self._terms.holder_lease_s

    def missing_grants(self) -> list[str]:
        """The acceptors that have accepted no round since the last one was sent to all."""
        acceptors = self._terms.acceptors
        return [each for each in acceptors if self._granted_s.get(each, -1e9) < self._full_round_s]

    def clear(self) -> None:
        """Forget the rounds, as the holding or the attempt has ended."""
        self._sent_s.clear()
        self._granted_s.clear()
