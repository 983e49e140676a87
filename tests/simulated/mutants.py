"""Ways to get leases wrong, each a change to one place; a named case has to catch each."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import pytest

from ringledge.decide.leases.acceptor import LeaseAcceptor
from ringledge.decide.leases.fencing import FencingTokenCheck
from ringledge.decide.leases.manager import LeaseTerms
from ringledge.decide.leases.proposer import LeaseProposer
from ringledge.decide.leases.proposer_state import ProposerState
from ringledge.decide.leases.recovery import AcceptorRecovery
from tests.simulated import cases

TERMS = LeaseTerms(("a", "b", "c"))
Patch = pytest.MonkeyPatch


@dataclass(frozen=True)
class Mutant:
    """What is broken, by a patch or by terms, and the case that shows it."""

    name: str
    case: Callable[[int, LeaseTerms], Any]
    breaks: Callable[[Patch], None] = lambda patch: None
    terms: LeaseTerms = TERMS


class Silent(LeaseTerms):
    """No silence after a start."""

    startup_silence_s = property(lambda self: 0.0)  # type: ignore[assignment]


class NoMargin(LeaseTerms):
    """As if all clocks ran alike."""

    holder_lease_s = property(lambda self: self.lease_s)  # type: ignore[assignment]

    def acceptor_lock_s(self, lease_ms: int) -> float:
        """No longer than the lease."""
        return lease_ms / 1000


class Minority(LeaseTerms):
    """One voter decides."""

    majority = property(lambda self: 1)  # type: ignore[assignment]


class NoStarts(LeaseTerms):
    """Tokens begin anew with the voters."""

    def token_floor(self, start_number_sum: int) -> int:
        """As if nobody had ever started before."""
        return 0


def votes_at_once(patch: Patch) -> None:
    """A voter that started doesn't learn."""

    def tick(self: AcceptorRecovery, now_s: float) -> list[Any]:
        self.active = self.active or now_s >= self._next_request_s
        return []

    patch.setattr(AcceptorRecovery, "tick", tick)


def _from_arrival(patch: Patch) -> None:
    """The holder's term runs from when the answer came."""
    on_accepted = LeaseProposer._on_accepted

    def late(self: LeaseProposer, now_s: float, sender: str, message: Any) -> list[Any]:
        self._rounds._sent_s = dict.fromkeys(self._rounds._sent_s, now_s)
        return on_accepted(self, now_s, sender, message)

    patch.setattr(LeaseProposer, "_on_accepted", late)


def _any_round(patch: Patch) -> None:
    """An answer counts for the latest ProposeRequest, whichever it names."""
    on_accepted = LeaseProposer._on_accepted

    def latest(self: LeaseProposer, now_s: float, sender: str, message: Any) -> list[Any]:
        sent_s = self._rounds._sent_s
        self._rounds._sent_s = dict.fromkeys(sent_s, max(sent_s.values(), default=0.0))
        return on_accepted(self, now_s, sender, message)

    patch.setattr(LeaseProposer, "_on_accepted", latest)


def _no_expiry(patch: Patch) -> None:
    """A holder doesn't look at its clock before it acts."""
    patch.setattr(
        LeaseProposer,
        "token_at",
        lambda self, now_s: self.token if self.state is ProposerState.HOLDING else None,
    )


def no_lock(patch: Patch) -> None:
    """A voter lets another take what is locked."""
    patch.setattr(LeaseAcceptor, "_reject_unavailable", lambda *args: None)


class Open(FencingTokenCheck):
    """A receiver that refuses nothing."""

    def admit(self, duty: str, token: int) -> bool:
        """Any token will do."""
        return True


def _restarted_together(seed: int, terms: LeaseTerms) -> None:
    held = cases.settled(seed, terms)
    for _ in range(3):
        held.start_all()
        held.covered_within(9)


def _restarted_in_turn(seed: int, terms: LeaseTerms) -> None:
    """Each voter restarts, one active again before the next, with nobody to remind them."""
    held = cases.voters_restart_in_turn(seed, terms)
    held.covered_within(9)


def _stopped(seed: int, terms: LeaseTerms) -> None:
    held = cases.settled(seed, terms)
    process = held.world.processes[held.holder()]
    others = [each for each in held.names if each != process.name]
    process.stop()
    held.covered_within(5, others)
    held.world.run_for(1)


def _open_fence(seed: int, terms: LeaseTerms) -> None:
    cases.stopped_before_the_effect(seed, terms, Open)


def _split(seed: int, terms: LeaseTerms) -> None:
    held = cases.settled(seed, terms)
    held.world.network.split("abd", "ce")
    held.world.run_for(9)


MUTANTS = (
    Mutant("no silence after a restart", cases.voters_restart, terms=Silent(TERMS.acceptors)),
    Mutant("no learning after a restart", _restarted_in_turn, votes_at_once),
    Mutant("no margin for the rates of clocks", cases.rates_apart, terms=NoMargin(TERMS.acceptors)),
    Mutant("a minority decides", _split, terms=Minority(TERMS.acceptors)),
    Mutant("tokens begin anew with all voters", _restarted_together, terms=NoStarts(TERMS.acceptors)),
    Mutant("the term runs from the answer's arrival", cases.slow_answers, _from_arrival),
    Mutant("an answer counts for a later ProposeRequest", cases.slow_answers, _any_round),
    Mutant("no look at the clock before acting", _stopped, _no_expiry),
    Mutant("a voter lets go of what it locked", cases.settled_long, no_lock),
    Mutant("no fence at the receiver", _open_fence),
)
