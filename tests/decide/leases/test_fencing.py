"""The check of fencing tokens at the receiver of effects."""

from __future__ import annotations

import pytest

from ringledge.decide.leases.fencing import FencingTokenCheck


def test_equal_and_higher_tokens_are_admitted_and_persisted_before() -> None:
    persisted: dict[str, int] = {}
    fence = FencingTokenCheck(persist=persisted.__setitem__)
    assert [fence.admit("d", token) for token in (5, 5, 7, 6, 7)] == [True, True, True, False, True]
    assert fence.admit("e", 1)
    assert (fence.rejected, persisted) == (1, {"d": 7, "e": 1})
    restarted = FencingTokenCheck(persisted)
    assert not restarted.admit("d", 6)


def test_token_that_cannot_be_persisted_is_not_admitted() -> None:
    def disk_full(duty: str, token: int) -> None:
        raise OSError("no space")

    fence = FencingTokenCheck({"d": 5}, disk_full)
    assert fence.admit("d", 5)  # needs no persisting, as it is not above the highest token
    with pytest.raises(OSError, match="no space"):
        fence.admit("d", 6)
    assert fence.highest("d") == 5
