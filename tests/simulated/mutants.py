"""Faulty variants of the leases, each with a single change and the case that has to detect it."""

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
    """A fault introduced by a patch or by lease terms, and the case that detects it."""

    name: str
    case: Callable[[int, LeaseTerms], Any]
    apply: Callable[[Patch], None] = lambda patch: None
    terms: LeaseTerms = TERMS


class NoStartupSilence(LeaseTerms):
    """Terms without the silence of an acceptor after its start."""

    startup_silence_s = property(lambda self: 0.0)  # type: ignore[assignment]


class NoDriftMargin(LeaseTerms):
    """Terms that assume clocks of equal rates."""

    holder_lease_s = property(lambda self: self.lease_s)  # type: ignore[assignment]

    def acceptor_lock_s(self, lease_ms: int) -> float:
        """The duration of the lease, without a margin."""
        return lease_ms / 1000


class MinorityQuorum(LeaseTerms):
    """Terms under which one acceptor decides."""

    majority = property(lambda self: 1)  # type: ignore[assignment]


class NoTokenFloor(LeaseTerms):
    """Terms under which tokens start over after a restart of all acceptors."""

    def token_floor(self, start_number_sum: int) -> int:
        """The floor of a first start."""
        return 0


def skip_state_transfer(patch: Patch) -> None:
    """Makes a started acceptor active without the state of the others."""

    def tick(self: AcceptorRecovery, now_s: float) -> list[Any]:
        self.active = self.active or now_s >= self._next_request_s
        return []

    patch.setattr(AcceptorRecovery, "tick", tick)


def _lease_from_arrival(patch: Patch) -> None:
    """Starts the holder's lease at the arrival of the response instead of the request's sending."""
    on_accepted = LeaseProposer._on_accepted

    def from_arrival(self: LeaseProposer, now_s: float, sender: str, message: Any) -> list[Any]:
        self._rounds._sent_s = dict.fromkeys(self._rounds._sent_s, now_s)
        return on_accepted(self, now_s, sender, message)

    patch.setattr(LeaseProposer, "_on_accepted", from_arrival)


def _any_round(patch: Patch) -> None:
    """Counts an acceptance for the latest round, whichever round it names."""
    on_accepted = LeaseProposer._on_accepted

    def for_latest(self: LeaseProposer, now_s: float, sender: str, message: Any) -> list[Any]:
        sent_s = self._rounds._sent_s
        self._rounds._sent_s = dict.fromkeys(sent_s, max(sent_s.values(), default=0.0))
        return on_accepted(self, now_s, sender, message)

    patch.setattr(LeaseProposer, "_on_accepted", for_latest)


def _no_expiry_check(patch: Patch) -> None:
    """Lets a holder act after its lease has expired."""
    patch.setattr(
        LeaseProposer,
        "token_at",
        lambda self, now_s: self.token if self.state is ProposerState.HOLDING else None,
    )


def no_lock(patch: Patch) -> None:
    """Makes an acceptor accept proposals for a duty that is locked for another member."""
    patch.setattr(LeaseAcceptor, "_reject_unavailable", lambda *args: None)


class AdmitAll(FencingTokenCheck):
    """A receiver that rejects nothing."""

    def admit(self, duty: str, token: int) -> bool:
        """Admits any token."""
        return True


def _all_restart_together(seed: int, terms: LeaseTerms) -> None:
    fleet = cases.settled_fleet(seed, terms)
    for _ in range(3):
        fleet.start_all()
        fleet.run_until_covered(9)


def _acceptors_restart_in_turn(seed: int, terms: LeaseTerms) -> None:
    fleet = cases.acceptors_restart_in_turn(seed, terms)
    fleet.run_until_covered(9)


def _holder_suspended(seed: int, terms: LeaseTerms) -> None:
    fleet = cases.settled_fleet(seed, terms)
    process = fleet.world.processes[fleet.holder()]
    others = cases.others_than(fleet, process.name)
    process.suspend()
    fleet.run_until_covered(5, others)
    fleet.world.run_for(1)


def _suspended_without_fence(seed: int, terms: LeaseTerms) -> None:
    cases.suspended_between_check_and_effect(seed, terms, AdmitAll)


def _partition(seed: int, terms: LeaseTerms) -> None:
    fleet = cases.settled_fleet(seed, terms)
    fleet.world.network.partition("abd", "ce")
    fleet.world.run_for(9)


MUTANTS = (
    Mutant("no silence after a restart", cases.acceptors_restart, terms=NoStartupSilence(TERMS.acceptors)),
    Mutant("no state transfer after a restart", _acceptors_restart_in_turn, skip_state_transfer),
    Mutant("no margin for clock drift", cases.clocks_drift_apart, terms=NoDriftMargin(TERMS.acceptors)),
    Mutant("a minority decides", _partition, terms=MinorityQuorum(TERMS.acceptors)),
    Mutant("no token floor", _all_restart_together, terms=NoTokenFloor(TERMS.acceptors)),
    Mutant("the lease runs from the response's arrival", cases.slow_responses, _lease_from_arrival),
    Mutant("an acceptance counts for a later round", cases.slow_responses, _any_round),
    Mutant("no check of the clock before acting", _holder_suspended, _no_expiry_check),
    Mutant("no lock at the acceptor", cases.long_settled_fleet, no_lock),
    Mutant("no fence at the receiver", _suspended_without_fence),
)
