"""The responses of the acceptors in the prepare or propose phase of one attempt."""

from __future__ import annotations

from ringledge.decide.leases.messages import LeaseTerms


class PhaseResponses:
    """The acceptors that reserved the duty for the proposer, and the time until which others reject it."""

    def __init__(self, terms: LeaseTerms) -> None:
        self._terms = terms
        self._prepared: dict[str, None] = {}  # in the order of their responses
        self._rejected_until_s: dict[str, float] = {}  # by acceptor

    def clear(self) -> None:
        """Discard all responses, at the start of a prepare phase."""
        self._prepared.clear()
        self._rejected_until_s.clear()

    def clear_rejections(self) -> None:
        """Discard the rejections, at the start of a propose phase."""
        self._rejected_until_s.clear()

    def prepared(self) -> list[str]:
        """The acceptors that reserved the duty for the proposer, in the order of their responses."""
        return [*self._prepared]

    def add_prepared(self, acceptor: str) -> None:
        """Record a `PrepareResponse`; it replaces an earlier rejection."""
        self._prepared[acceptor] = None
        self._rejected_until_s.pop(acceptor, None)

    def add_rejection(self, acceptor: str, until_s: float) -> None:
        """Record that an acceptor rejects the proposer until a given time."""
        self._rejected_until_s[acceptor] = until_s

    def withdraw_rejection(self, acceptor: str) -> bool:
        """Discard an acceptor's rejection; False if there is none."""
        return self._rejected_until_s.pop(acceptor, None) is not None

    def majority_prepared(self) -> bool:
        """Whether a majority is prepared, so that the propose phase can begin."""
        return len(self._prepared) >= self._terms.majority

    def majority_impossible(self) -> bool:
        """Whether so many acceptors reject that the others are no majority."""
        return len(self._rejected_until_s) > len(self._terms.acceptors) - self._terms.majority

    def majority_free_s(self) -> float:
        """When enough rejections expire to make a majority possible; requires `majority_impossible`."""
        needed = self._terms.majority - len(self._prepared)
        return sorted(self._rejected_until_s.values())[needed - 1]

    def unanswered(self, now_s: float) -> list[str]:
        """The acceptors that have not answered, or whose rejection has expired."""
        rejecting = (acceptor for acceptor, until_s in self._rejected_until_s.items() if now_s < until_s)
        answered = {*self._prepared, *rejecting}
        return [acceptor for acceptor in self._terms.acceptors if acceptor not in answered]
