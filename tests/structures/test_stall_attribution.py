"""What most of the time went to, by given counters."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringledge.structures.stall_attribution import CPU, WAITED, WITHHELD, Counters, account

START = Counters(40.0, 5.0, 2.0, 100, 9_000, 3, 0.5, 0.2)


def later(**gained: float | None) -> Counters:
    told = {
        name: (getattr(START, name) or 0) + (gained.get(name) or 0) for name in Counters.__dataclass_fields__
    }
    return Counters(**told)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("gained", "why", "waited_s"),
    [
        pytest.param({"user_s": 0.9}, CPU, 0.1, id="a decision that took long"),
        pytest.param({"user_s": 0.2, "system_s": 0.5}, CPU, 0.3, id="the kernel, for us"),
        pytest.param({"user_s": 0.8, "collected_s": 0.8}, CPU, 0.2, id="the collector's time is in the CPU"),
        pytest.param({"withheld_s": 0.7, "user_s": 0.1}, WITHHELD, 0.2, id="no processor"),
        pytest.param({"withheld_s": 0.4, "user_s": 0.3}, WITHHELD, 0.3, id="the largest of three"),
        pytest.param({"major": 900, "user_s": 0.1}, WAITED, 0.9, id="pages read from the disk"),
        pytest.param({"logged_s": 0.9}, WAITED, 1.0, id="the reader of the log"),
        pytest.param({}, WAITED, 1.0, id="stopped"),
        pytest.param({"user_s": 0.5, "withheld_s": 0.5}, CPU, 0.0, id="a tie goes to what is surer"),
        pytest.param(
            {"user_s": 0.7, "withheld_s": 0.4}, CPU, 0.0, id="more than the time, for rest before it"
        ),
    ],
)
def test_the_largest_share_is_named(gained: dict[str, float], why: str, waited_s: float) -> None:
    away = account(1.0, START, later(**gained))
    assert away.why == why
    assert away.waited_s == pytest.approx(waited_s)
    for name, amount in gained.items():
        assert getattr(away.spent, name) == pytest.approx(amount)


def test_where_the_system_does_not_tell_what_it_withheld_that_is_said() -> None:
    away = account(1.0, Counters(withheld_s=None), Counters(user_s=0.2, withheld_s=None))
    assert (away.why, away.spent.withheld_s) == (WAITED, None)
    assert away.waited_s == pytest.approx(0.8)


seconds = st.floats(0, 100)


@given(seconds, seconds, seconds, seconds)
def test_the_shares_cover_the_time_and_none_is_larger(
    away_s: float, user_s: float, system_s: float, withheld_s: float
) -> None:
    away = account(away_s, Counters(withheld_s=0.0), Counters(user_s, system_s, withheld_s))
    shares = {CPU: user_s + system_s, WITHHELD: withheld_s, WAITED: away.waited_s}
    assert sum(shares.values()) >= away_s - 1e-9
    assert shares[away.why] == max(shares.values())
