"""The acceptor, the size of messages, the terms, and fencing, each by itself."""

from __future__ import annotations

from random import Random

import msgspec
import pytest

from ringledge.decide.interface import MAX_DATAGRAM_BYTES, Action, SendMessage
from ringledge.decide.leases.acceptor import MAX_DUTIES, RESERVATION_S, LeaseAcceptor
from ringledge.decide.leases.duty_locks import MAX_WAITERS
from ringledge.decide.leases.fencing import FencingTokenCheck
from ringledge.decide.leases.manager import LeaseManager, LeaseTerms
from ringledge.decide.leases.messages import (
    MAX_GENERATION,
    MAX_NAME_BYTES,
    MESSAGES,
    START_NUMBER_LIMIT,
    LeaseRelease,
    LeaseReleased,
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
LOCKED_S = TERMS.acceptor_lock_s(3000)


def _active(now_s: float = 0.0) -> LeaseAcceptor:
    """A voter that has learned from two that were active."""
    voter = LeaseAcceptor(now_s, "a", 5, TERMS)
    now_s += TERMS.startup_silence_s
    voter.tick(now_s)
    for name in "bc":
        voter.receive(now_s, name, StateTransferResponse(5, 5, True, 10, DIGEST))
    assert voter.recovery.active
    return voter


def _said(actions: list[Action]) -> msgspec.Struct:
    (only,) = actions
    assert isinstance(only, SendMessage)
    return only.message


def _take(token: int, held: bool = False, start: int = 1) -> ProposeRequest:
    return ProposeRequest("d", start, token, 1, 3000, held, DIGEST)


def test_every_message_fits_with_the_longest_names_and_the_highest_numbers() -> None:
    name, start, token, digest = "n" * MAX_NAME_BYTES, START_NUMBER_LIMIT - 1, 2**63 - 1, 2**32 - 1
    many = 10**9
    longest = (
        PrepareRequest(name, start, many, True, digest),
        PrepareResponse(name, start, many, token),
        ProposeRequest(name, start, token, many, 60_000, True, digest),
        ProposeAccepted(name, start, token, many),
        Rejected(name, start, many, token, token, name, 66_000),
        LeaseRelease(name, start, token),
        LeaseReleased(name, token, True),
        StateTransferRequest(start, digest),
        StateTransferResponse(start, start, True, token, digest),
    )
    assert {type(each) for each in longest} == {*MESSAGES}
    sizes = {type(each).__name__: len(msgspec.msgpack.encode(each)) for each in longest}
    assert max(sizes.values()) <= 150 < MAX_DATAGRAM_BYTES, sizes


def test_the_highest_token_fits_a_signed_number_of_64_bits() -> None:
    terms = LeaseTerms(("a", "b", "c", "d", "e"), generation=MAX_GENERATION)
    assert terms.token_floor(5 * (START_NUMBER_LIMIT - 1)) < 2**63
    later = LeaseTerms(terms.acceptors, generation=2)
    assert later.token_floor(0) > LeaseTerms(terms.acceptors).token_floor(5 * (START_NUMBER_LIMIT - 1))


def test_a_voter_that_started_says_nothing_for_the_longest_lease_and_nothing_to_seekers_till_it_knows() -> (
    None
):
    voter = LeaseAcceptor(0.0, "a", 5, TERMS)
    almost_s = TERMS.startup_silence_s - 0.001
    for message in (
        PrepareRequest("d", 1, 1, False, DIGEST),
        _take(9),
        StateTransferRequest(7, DIGEST),
        StateTransferResponse(5, 5, True, 9, DIGEST),
    ):
        assert voter.receive(almost_s, "b", message) == []
    assert voter.tick(almost_s) == []
    now_s = voter.next_s()
    assert now_s == TERMS.startup_silence_s
    assert [each.recipient for each in voter.tick(now_s) if isinstance(each, SendMessage)] == ["b", "c"]
    assert voter.receive(now_s, "x", PrepareRequest("d", 1, 1, False, DIGEST)) == []
    assert _said(voter.receive(now_s, "b", StateTransferRequest(7, DIGEST))) == StateTransferResponse(
        7, 5, False, 0, DIGEST
    )
    voter.receive(now_s, "b", StateTransferResponse(5, 3, True, 9, DIGEST))
    assert (
        voter.receive(now_s, "x", PrepareRequest("d", 1, 1, False, DIGEST)) == []
    )  # one that is active is no majority
    voter.receive(now_s, "c", StateTransferResponse(4, 3, True, 99, DIGEST))  # meant for its predecessor
    assert voter.receive(now_s, "x", PrepareRequest("d", 1, 1, False, DIGEST)) == []
    voter.receive(now_s, "c", StateTransferResponse(5, 3, True, 8, DIGEST))
    assert _said(voter.receive(now_s, "x", PrepareRequest("d", 1, 1, False, DIGEST))) == PrepareResponse(
        "d", 1, 1, 9
    )


def test_voters_that_all_started_go_on_above_what_their_starts_add_up_to() -> None:
    voter = LeaseAcceptor(0.0, "a", 5, TERMS)
    now_s = TERMS.startup_silence_s
    voter.receive(now_s, "b", StateTransferResponse(5, 100, False, 0, DIGEST))
    assert not voter.recovery.active
    voter.receive(now_s, "c", StateTransferResponse(5, 1000, False, 0, DIGEST))
    assert voter.recovery.token_floor == TERMS.token_floor(1105) > TERMS.token_floor(1104) + 4000


def test_locked_for_one_until_the_lock_runs_out_and_then_above_the_highest_only() -> None:
    voter = _active(0.0)
    now_s = TERMS.startup_silence_s
    assert isinstance(_said(voter.receive(now_s, "x", _take(11))), ProposeAccepted)
    refused = _said(voter.receive(now_s + LOCKED_S - 0.01, "y", _take(99)))
    assert isinstance(refused, Rejected)
    assert (refused.holder, refused.highest_token) == ("x", 11)
    assert 0 < refused.remaining_ms <= 11
    assert isinstance(_said(voter.receive(now_s + LOCKED_S - 0.01, "x", _take(99, start=2))), Rejected)
    low = _said(voter.receive(now_s + LOCKED_S, "y", _take(11)))
    assert isinstance(low, Rejected)
    assert low.remaining_ms == 0
    assert isinstance(_said(voter.receive(now_s + LOCKED_S, "y", _take(12))), ProposeAccepted)


def test_a_holder_goes_on_at_a_voter_that_does_not_know_it_and_a_late_take_of_an_ended_one_does_not() -> None:
    voter, now_s = _active(0.0), TERMS.startup_silence_s
    assert isinstance(_said(voter.receive(now_s, "x", _take(7))), Rejected)
    assert isinstance(_said(voter.receive(now_s, "x", _take(7, held=True))), ProposeAccepted)
    refused = _said(voter.receive(now_s, "y", PrepareRequest("d", 1, 1, False, DIGEST)))
    assert isinstance(refused, Rejected)
    assert refused.highest_token == 10  # what it learned, above the holder's
    assert _said(voter.receive(now_s, "x", LeaseRelease("d", 1, 7))) == LeaseReleased("d", 7, False)
    assert isinstance(_said(voter.receive(now_s, "x", _take(7, held=True))), Rejected)


def test_a_release_that_overtakes_its_take_wins_and_one_of_another_frees_nothing() -> None:
    voter, now_s = _active(0.0), TERMS.startup_silence_s
    voter.receive(now_s, "x", LeaseRelease("d", 1, 11))
    assert isinstance(_said(voter.receive(now_s, "x", _take(11))), Rejected)
    voter.receive(now_s, "y", _take(12))
    voter.receive(now_s, "x", LeaseRelease("d", 1, 13))
    voter.receive(now_s, "y", LeaseRelease("d", 2, 12))
    assert isinstance(_said(voter.receive(now_s, "x", PrepareRequest("d", 1, 1, False, DIGEST))), Rejected)


def test_it_is_kept_for_who_asked_first_for_a_moment() -> None:
    voter, now_s = _active(0.0), TERMS.startup_silence_s
    assert isinstance(
        _said(voter.receive(now_s, "x", PrepareRequest("d", 1, 1, False, DIGEST))), PrepareResponse
    )
    refused = _said(voter.receive(now_s, "y", PrepareRequest("d", 1, 1, False, DIGEST)))
    assert isinstance(refused, Rejected)
    assert refused.holder == "x"
    assert isinstance(
        _said(voter.receive(now_s, "z", PrepareRequest("d", 1, 1, True, DIGEST))), PrepareResponse
    )  # named to follow
    voter.receive(now_s, "z", LeaseRelease("d", 1, 0))  # and lets go of it
    voter.receive(now_s, "x", PrepareRequest("d", 1, 2, False, DIGEST))
    assert isinstance(
        _said(voter.receive(now_s + RESERVATION_S, "y", PrepareRequest("d", 1, 1, False, DIGEST))),
        PrepareResponse,
    )


def test_what_a_voter_remembers_is_bounded_and_no_token_is_forgotten() -> None:
    voter, now_s = _active(0.0), TERMS.startup_silence_s
    for each in range(3 * MAX_DUTIES):
        voter.receive(
            now_s + 10 * each, "x", ProposeRequest(f"d{each}", 1, 100 + each, 1, 3000, False, DIGEST)
        )
    assert len(voter._locks) <= MAX_DUTIES + 1
    late_s = now_s + 10 * 3 * MAX_DUTIES
    assert isinstance(
        _said(voter.receive(late_s, "y", ProposeRequest("d0", 1, 100, 1, 3000, False, DIGEST))), Rejected
    )
    for each in range(2 * MAX_WAITERS):
        voter.receive(now_s, f"y{each}", PrepareRequest(f"d{3 * MAX_DUTIES - 1}", 1, 1, False, DIGEST))
    assert all(len(lock.waiters) <= MAX_WAITERS for lock in voter._locks.values())


@pytest.mark.parametrize("lease_ms", [0, -1, 3001])
def test_a_lease_that_is_none_or_beyond_the_longest_is_refused(lease_ms: int) -> None:
    message = ProposeRequest("d", 1, 11, 1, lease_ms, False, DIGEST)
    assert isinstance(_said(_active(0.0).receive(TERMS.startup_silence_s, "x", message)), Rejected)


def test_terms_names_and_starts_that_do_not_hold_are_told() -> None:
    for voters in ((), ("a", "b"), ("a", "a", "b"), ("a", "b", "c", "d")):
        with pytest.raises(ValueError, match="voters"):
            LeaseTerms(voters)
    with pytest.raises(ValueError, match="start"):
        LeaseManager(0.0, "a", START_NUMBER_LIMIT, TERMS, Random(1))
    with pytest.raises(ValueError, match="name"):
        LeaseManager(0.0, "ä" * 30, 1, TERMS, Random(1))
    with pytest.raises(ValueError, match="duty"):
        LeaseManager(0.0, "x", 1, TERMS, Random(1)).start_seeking(0.0, "")


def test_a_fence_lets_the_same_and_higher_tokens_in_and_remembers_before_it_does() -> None:
    kept: dict[str, int] = {}
    fence = FencingTokenCheck(persist=kept.__setitem__)
    assert [fence.admit("d", each) for each in (5, 5, 7, 6, 7)] == [True, True, True, False, True]
    assert fence.admit("e", 1)
    assert (fence.rejected, kept) == (1, {"d": 7, "e": 1})
    again = FencingTokenCheck(kept)
    assert not again.admit("d", 6)


def test_a_fence_that_can_not_remember_lets_nothing_in() -> None:
    def full(duty: str, token: int) -> None:
        raise OSError("no space")

    fence = FencingTokenCheck({"d": 5}, full)
    assert fence.admit("d", 5)  # known already
    with pytest.raises(OSError, match="no space"):
        fence.admit("d", 6)
    assert fence.highest("d") == 5
