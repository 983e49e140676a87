"""The leases of one member: its acceptor, if it has one, and a proposer for each duty that it seeks.

Events and the time go in, actions come out; there is no I/O. The time is that of one monotonic clock of this
process, which also advances while the process is suspended. It is never compared with another process's time.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from random import Random
from typing import Any

from ringledge.decide.interface import Action, LeaseAcquired, LeaseEnded, SendMessage
from ringledge.decide.leases.acceptor import LeaseAcceptor
from ringledge.decide.leases.acquisition import AcquisitionDelays, CandidateRanking
from ringledge.decide.leases.events import LeaseEvent
from ringledge.decide.leases.messages import (
    MAX_NAME_BYTES,
    MESSAGES,
    AcceptorMessage,
    LeaseReleased,
    LeaseTerms,
)
from ringledge.decide.leases.proposer import LeaseProposer
from ringledge.decide.leases.proposer_state import ProposerState

__all__ = ["MESSAGES", "LeaseManager", "LeaseTerms"]


class LeaseManager:
    """Votes if this member is an acceptor, and seeks and holds duties; implements Decider and LeaseTokens."""

    def __init__(
        self,
        now_s: float,
        name: str,
        start_number: int,
        terms: LeaseTerms,
        random: Random,
        delays: AcquisitionDelays | None = None,
    ) -> None:
        """`start_number` is below 2**42, and above that of every earlier process of this name."""
        if not 0 < len(name.encode()) <= MAX_NAME_BYTES:
            raise ValueError(f"name: must have 1 to {MAX_NAME_BYTES} bytes")
        self._name = name
        self._start_number = start_number
        self._terms = terms
        self._random = random
        self._delays = delays or AcquisitionDelays()
        self.acceptor = self._new_acceptor(now_s)
        self._proposers: dict[str, LeaseProposer] = {}  # by duty
        self._ranking = CandidateRanking(name, self._delays.max_candidates)
        self._eligible = True
        self._stopped = False
        self.event_counts: Counter[LeaseEvent] = Counter()  # since the process started

    def start_seeking(self, now_s: float, duty: str) -> None:
        """From now on, acquire the duty whenever it is free. ValueError: its name is empty or too long."""
        if not 0 < len(duty.encode()) <= MAX_NAME_BYTES:
            raise ValueError(f"duty: must have 1 to {MAX_NAME_BYTES} bytes")
        if duty not in self._proposers:
            proposer = LeaseProposer(duty, self._name, self._start_number, self._terms, self._random)
            proposer.next_attempt_s = now_s
            self._proposers[duty] = proposer

    def stop_seeking(self, now_s: float, duty: str) -> list[Action]:
        """Stop seeking the duty, and release it if it is held."""
        actions = self.release(now_s, duty, LeaseEvent.STOPPED)
        self._proposers.pop(duty, None)
        return actions

    def set_live_members(self, names: Iterable[str]) -> None:
        """Set the members believed to be alive; affects only the choice of candidates and successors."""
        self._ranking.set_live_members(names)

    def set_eligible(self, eligible: bool) -> None:
        """Set whether this member should acquire duties, which it should not while it is overloaded."""
        self._eligible = eligible

    def token(self, now_s: float, duty: str) -> int | None:
        """The token if this member holds the duty now, by its own clock, else None."""
        proposer = self._proposers.get(duty)
        return proposer.token_at(now_s) if proposer else None

    def holders(self) -> dict[str, str]:
        """The last known holder of each duty, "" for none. It is informational and may be out of date."""
        return {duty: proposer.holder for duty, proposer in self._proposers.items()}

    def release(self, now_s: float, duty: str, reason: LeaseEvent = LeaseEvent.GIVEN_UP) -> list[Action]:
        """Release the duty, and nominate a successor if this member holds it."""
        proposer = self._proposers.get(duty)
        if proposer is None:
            return []
        actions: list[Action] = []
        if proposer.state is ProposerState.HOLDING:
            successor = self._ranking.successor(duty, self.holders())
            if successor is not None:
                released = LeaseReleased(duty, proposer.token, nominated_successor=True)
                actions.append(SendMessage(successor, released))
        actions += proposer.end(now_s, reason, self._delays.after_release_s)
        return self._route(now_s, actions)

    def stop(self, now_s: float) -> list[Action]:
        """Release all duties and never seek or vote again: a successor of this name may already run."""
        actions = [
            action for duty in self._proposers for action in self.release(now_s, duty, LeaseEvent.STOPPED)
        ]
        self._stopped = True
        self.acceptor = None
        return actions

    def restart(self, now_s: float, start_number: int) -> list[Action]:
        """Release all duties, and continue under a higher start number as a new process of this name would.

        This is for a member that learns of a predecessor with a start number above its own. Under its own
        number it must neither vote nor hold a lease; but without its vote there may be no majority.
        """
        if self._stopped:
            return []
        duties = list(self._proposers)
        actions = [action for duty in duties for action in self.release(now_s, duty, LeaseEvent.STOPPED)]
        self._start_number = start_number
        self.acceptor = self._new_acceptor(now_s)
        self._proposers.clear()
        for duty in duties:
            self.start_seeking(now_s, duty)
        return actions

    def _new_acceptor(self, now_s: float) -> LeaseAcceptor | None:
        if self._name not in self._terms.acceptors:
            return None
        return LeaseAcceptor(now_s, self._name, self._start_number, self._terms)

    def receive(self, now_s: float, sender: str, message: Any) -> list[Action]:
        """Handle a message of one of the types in `MESSAGES`; `sender` is a member's name."""
        return self._route(now_s, self._receive(now_s, sender, message))

    def tick(self, now_s: float) -> list[Action]:
        """Do the work that is due; an early call is harmless."""
        actions = self.acceptor.tick(now_s) if self.acceptor else []
        for duty, proposer in self._proposers.items():
            idle = proposer.state is ProposerState.IDLE
            actions += proposer.tick(now_s, self._delay_s(duty) if idle else float("inf"))
        return self._route(now_s, actions)

    def next_tick_s(self) -> float:
        """The time at which `tick` has to be called next."""
        next_tick_s = self.acceptor.next_tick_s() if self.acceptor else float("inf")
        for duty, proposer in self._proposers.items():
            delay_s = self._delay_s(duty) if proposer.state is ProposerState.IDLE else 0.0
            next_tick_s = min(next_tick_s, proposer.next_tick_s(delay_s))
        return next_tick_s

    def _receive(self, now_s: float, sender: str, message: Any) -> list[Action]:
        if isinstance(message, AcceptorMessage):
            return self.acceptor.receive(now_s, sender, message) if self.acceptor else []
        proposer = self._proposers.get(message.duty)
        return proposer.receive(now_s, sender, message) if proposer else []

    def _route(self, now_s: float, actions: list[Action]) -> list[Action]:
        """Deliver messages of this member to itself directly; count and return the other actions."""
        remaining: list[Action] = []
        for action in actions:
            if isinstance(action, SendMessage) and action.recipient == self._name:
                remaining += self._route(now_s, self._receive(now_s, self._name, action.message))
            else:
                self._count(action)
                remaining.append(action)
        return remaining

    def _count(self, action: Action) -> None:
        match action:
            case LeaseAcquired():
                self.event_counts[LeaseEvent.BEGIN] += 1
            case LeaseEnded(reason=reason):
                self.event_counts[LeaseEvent(reason)] += 1

    def _engaged_duty_count(self) -> int:
        """The number of duties that this member holds or is acquiring."""
        return sum(proposer.state is not ProposerState.IDLE for proposer in self._proposers.values())

    def _delay_s(self, duty: str) -> float:
        """The delay before this member's attempt to acquire a duty; infinity if it makes none."""
        if self._stopped:
            return float("inf")
        proposer = self._proposers[duty]
        if proposer.nominated and self._eligible:
            return 0.0
        delays = self._delays
        rank_s = delays.per_rank_s * self._ranking.rank(duty)
        delay_s = min(delays.max_s, delays.per_duty_s * self._engaged_duty_count() + rank_s)
        delay_s *= 1 if proposer.duty_released else delays.unreleased_factor
        if not self._ranking.is_candidate(duty):
            delay_s += delays.non_candidate_s
        return delay_s if self._eligible else delay_s + delays.overloaded_s
