"""What an acceptor answers: its recovery, locks, reservations and releases."""

from __future__ import annotations

import msgspec
import pytest

from ringledge.decide.interface import Action, SendMessage
from ringledge.decide.leases.acceptor import MAX_TRACKED_DUTIES, RESERVATION_S, LeaseAcceptor
from ringledge.decide.leases.duty_locks import MAX_WAITERS
from ringledge.decide.leases.messages import (
    LeaseRelease,
    LeaseReleased,
    LeaseTerms,
    PrepareRequest,
    PrepareResponse,
    ProposeAccepted,
    ProposeRequest,
    Rejected,
    StateTransferRequest,
    StateTransferResponse,
)

TERMS = LeaseTerms(("a", "b", "c"))
DIGEST = TERMS.digest
LOCK_S = TERMS.acceptor_lock_s(3000)
ACTIVE_S = TERMS.startup_silence_s  # earliest time at which an acceptor started at 0 can be active


def _active_acceptor() -> LeaseAcceptor:
    """An acceptor that recovered at `ACTIVE_S` from two active ones, which knew token 10."""
    acceptor = LeaseAcceptor(0.0, "a", 5, TERMS)
    acceptor.tick(ACTIVE_S)
    for name in "bc":
        acceptor.receive(ACTIVE_S, name, StateTransferResponse(5, 5, True, 10, DIGEST))
    assert acceptor.recovery.active
    return acceptor


def _only_message(actions: list[Action]) -> msgspec.Struct:
    (action,) = actions
    assert isinstance(action, SendMessage)
    return action.message


def _prepare(prepare_number: int = 1, nominated: bool = False) -> PrepareRequest:
    return PrepareRequest("d", 1, prepare_number, nominated, DIGEST)


def _propose(token: int, renewal: bool = False, start_number: int = 1) -> ProposeRequest:
    return ProposeRequest("d", start_number, token, 1, 3000, renewal, DIGEST)


def test_started_acceptor_is_silent_for_the_longest_lease_and_ignores_proposers_until_recovered() -> None:
    acceptor = LeaseAcceptor(0.0, "a", 5, TERMS)
    silent_s = TERMS.startup_silence_s - 0.001
    state = StateTransferResponse(5, 5, True, 9, DIGEST)
    for message in (_prepare(), _propose(9), StateTransferRequest(7, DIGEST), state):
        assert acceptor.receive(silent_s, "b", message) == []
    assert acceptor.tick(silent_s) == []
    now_s = acceptor.next_tick_s()
    assert now_s == TERMS.startup_silence_s
    recipients = [each.recipient for each in acceptor.tick(now_s) if isinstance(each, SendMessage)]
    assert recipients == ["b", "c"]
    assert acceptor.receive(now_s, "x", _prepare()) == []
    response = _only_message(acceptor.receive(now_s, "b", StateTransferRequest(7, DIGEST)))
    assert response == StateTransferResponse(7, 5, False, 0, DIGEST)
    acceptor.receive(now_s, "b", StateTransferResponse(5, 3, True, 9, DIGEST))
    assert acceptor.receive(now_s, "x", _prepare()) == []  # one active acceptor is no majority
    acceptor.receive(
        now_s, "c", StateTransferResponse(4, 3, True, 99, DIGEST)
    )  # a response to its predecessor
    assert acceptor.receive(now_s, "x", _prepare()) == []
    acceptor.receive(now_s, "c", StateTransferResponse(5, 3, True, 8, DIGEST))
    assert _only_message(acceptor.receive(now_s, "x", _prepare())) == PrepareResponse("d", 1, 1, 9)


def test_acceptors_that_all_restarted_recover_with_the_floor_of_their_start_number_sum() -> None:
    acceptor = LeaseAcceptor(0.0, "a", 5, TERMS)
    acceptor.receive(ACTIVE_S, "b", StateTransferResponse(5, 100, False, 0, DIGEST))
    assert not acceptor.recovery.active
    acceptor.receive(ACTIVE_S, "c", StateTransferResponse(5, 1000, False, 0, DIGEST))
    assert acceptor.recovery.token_floor == TERMS.token_floor(1105) > TERMS.token_floor(1104) + 4000


def test_locked_duty_is_rejected_until_the_lock_expires_and_then_needs_a_higher_token() -> None:
    acceptor = _active_acceptor()
    almost_expired_s = ACTIVE_S + LOCK_S - 0.01
    expired_s = ACTIVE_S + LOCK_S
    assert isinstance(_only_message(acceptor.receive(ACTIVE_S, "x", _propose(11))), ProposeAccepted)
    rejected = _only_message(acceptor.receive(almost_expired_s, "y", _propose(99)))
    assert isinstance(rejected, Rejected)
    assert (rejected.holder, rejected.highest_token) == ("x", 11)
    assert 0 < rejected.remaining_ms <= 11
    restarted_holder = _propose(99, start_number=2)
    assert isinstance(_only_message(acceptor.receive(almost_expired_s, "x", restarted_holder)), Rejected)
    too_low = _only_message(acceptor.receive(expired_s, "y", _propose(11)))
    assert isinstance(too_low, Rejected)
    assert too_low.remaining_ms == 0
    assert isinstance(_only_message(acceptor.receive(expired_s, "y", _propose(12))), ProposeAccepted)


def test_renewal_is_accepted_without_knowledge_of_the_holding_but_not_after_its_release() -> None:
    acceptor = _active_acceptor()
    assert isinstance(_only_message(acceptor.receive(ACTIVE_S, "x", _propose(7))), Rejected)
    renewal = _propose(7, renewal=True)
    assert isinstance(_only_message(acceptor.receive(ACTIVE_S, "x", renewal)), ProposeAccepted)
    rejected = _only_message(acceptor.receive(ACTIVE_S, "y", _prepare()))
    assert isinstance(rejected, Rejected)
    assert rejected.highest_token == 10  # the recovered token, which is above the holder's
    released = _only_message(acceptor.receive(ACTIVE_S, "x", LeaseRelease("d", 1, 7)))
    assert released == LeaseReleased("d", 7, False)
    assert isinstance(_only_message(acceptor.receive(ACTIVE_S, "x", renewal)), Rejected)


def test_release_before_its_proposal_prevents_the_lock_and_a_foreign_release_unlocks_nothing() -> None:
    acceptor = _active_acceptor()
    acceptor.receive(ACTIVE_S, "x", LeaseRelease("d", 1, 11))
    assert isinstance(_only_message(acceptor.receive(ACTIVE_S, "x", _propose(11))), Rejected)
    acceptor.receive(ACTIVE_S, "y", _propose(12))
    acceptor.receive(ACTIVE_S, "x", LeaseRelease("d", 1, 13))
    acceptor.receive(ACTIVE_S, "y", LeaseRelease("d", 2, 12))
    assert isinstance(_only_message(acceptor.receive(ACTIVE_S, "x", _prepare())), Rejected)


def test_prepare_reserves_the_duty_for_a_moment_except_against_the_nominated_successor() -> None:
    acceptor = _active_acceptor()
    assert isinstance(_only_message(acceptor.receive(ACTIVE_S, "x", _prepare())), PrepareResponse)
    rejected = _only_message(acceptor.receive(ACTIVE_S, "y", _prepare()))
    assert isinstance(rejected, Rejected)
    assert rejected.holder == "x"
    nominated = _prepare(nominated=True)
    assert isinstance(_only_message(acceptor.receive(ACTIVE_S, "z", nominated)), PrepareResponse)
    acceptor.receive(ACTIVE_S, "z", LeaseRelease("d", 1, 0))  # ends the reservation
    acceptor.receive(ACTIVE_S, "x", _prepare(2))
    expired_s = ACTIVE_S + RESERVATION_S
    assert isinstance(_only_message(acceptor.receive(expired_s, "y", _prepare())), PrepareResponse)


def test_memory_is_bounded_and_no_token_is_forgotten() -> None:
    acceptor = _active_acceptor()
    duties = 3 * MAX_TRACKED_DUTIES
    for number in range(duties):
        proposal = ProposeRequest(f"d{number}", 1, 100 + number, 1, 3000, False, DIGEST)
        acceptor.receive(ACTIVE_S + 10 * number, "x", proposal)
    assert len(acceptor._locks) <= MAX_TRACKED_DUTIES + 1
    late_s = ACTIVE_S + 10 * duties
    forgotten = ProposeRequest("d0", 1, 100, 1, 3000, False, DIGEST)
    assert isinstance(_only_message(acceptor.receive(late_s, "y", forgotten)), Rejected)
    for number in range(2 * MAX_WAITERS):
        prepare = PrepareRequest(f"d{duties - 1}", 1, 1, False, DIGEST)
        acceptor.receive(ACTIVE_S, f"y{number}", prepare)
    assert all(len(lock.waiters) <= MAX_WAITERS for lock in acceptor._locks.values())


@pytest.mark.parametrize("lease_ms", [0, -1, 3001])
def test_lease_that_is_not_positive_or_above_the_maximum_is_rejected(lease_ms: int) -> None:
    proposal = ProposeRequest("d", 1, 11, 1, lease_ms, False, DIGEST)
    assert isinstance(_only_message(_active_acceptor().receive(ACTIVE_S, "x", proposal)), Rejected)
