"""Message sizes, the range of tokens, and the validation of terms, names and start numbers."""

from __future__ import annotations

from random import Random

import msgspec
import pytest

from ringledge.decide.interface import MAX_DATAGRAM_BYTES
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


def test_every_message_fits_a_datagram_with_the_longest_names_and_the_highest_numbers() -> None:
    name, start_number, token, digest = "n" * MAX_NAME_BYTES, START_NUMBER_LIMIT - 1, 2**63 - 1, 2**32 - 1
    count = 10**9
    longest = (
        PrepareRequest(name, start_number, count, True, digest),
        PrepareResponse(name, start_number, count, token),
        ProposeRequest(name, start_number, token, count, 60_000, True, digest),
        ProposeAccepted(name, start_number, token, count),
        Rejected(name, start_number, count, token, token, name, 66_000),
        LeaseRelease(name, start_number, token),
        LeaseReleased(name, token, True),
        StateTransferRequest(start_number, digest),
        StateTransferResponse(start_number, start_number, True, token, digest),
    )
    assert {type(message) for message in longest} == {*MESSAGES}
    sizes = {type(message).__name__: len(msgspec.msgpack.encode(message)) for message in longest}
    assert max(sizes.values()) <= 150 < MAX_DATAGRAM_BYTES, sizes


def test_highest_token_fits_a_signed_64_bit_integer() -> None:
    terms = LeaseTerms(("a", "b", "c", "d", "e"), generation=MAX_GENERATION)
    assert terms.token_floor(5 * (START_NUMBER_LIMIT - 1)) < 2**63
    second = LeaseTerms(terms.acceptors, generation=2)
    assert second.token_floor(0) > LeaseTerms(terms.acceptors).token_floor(5 * (START_NUMBER_LIMIT - 1))


def test_invalid_terms_names_and_start_numbers_raise_an_error_that_names_them() -> None:
    for acceptors in ((), ("a", "b"), ("a", "a", "b"), ("a", "b", "c", "d")):
        with pytest.raises(ValueError, match="voters"):
            LeaseTerms(acceptors)
    with pytest.raises(ValueError, match="start"):
        LeaseManager(0.0, "a", START_NUMBER_LIMIT, TERMS, Random(1))
    with pytest.raises(ValueError, match="name"):
        LeaseManager(0.0, "ä" * 30, 1, TERMS, Random(1))
    with pytest.raises(ValueError, match="duty"):
        LeaseManager(0.0, "x", 1, TERMS, Random(1)).start_seeking(0.0, "")
