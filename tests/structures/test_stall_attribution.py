"""The attribution of a stall for given counters."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ringledge.structures.stall_attribution import ProcessCounters, StallCause, attribute_stall

INITIAL = ProcessCounters(40.0, 5.0, 2.0, 100, 9_000, 3, 0.5, 0.2)


def counters_after(**increments: float | None) -> ProcessCounters:
    values = {
        name: (getattr(INITIAL, name) or 0) + (increments.get(name) or 0)
        for name in ProcessCounters.__dataclass_fields__
    }
    return ProcessCounters(**values)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("increments", "cause", "blocked_s"),
    [
        pytest.param({"user_s": 0.9}, StallCause.CPU, 0.1, id="a long decision"),
        pytest.param({"user_s": 0.2, "system_s": 0.5}, StallCause.CPU, 0.3, id="system time"),
        pytest.param(
            {"user_s": 0.8, "gc_s": 0.8}, StallCause.CPU, 0.2, id="the collector's time is CPU time"
        ),
        pytest.param(
            {"not_scheduled_s": 0.7, "user_s": 0.1}, StallCause.NOT_SCHEDULED, 0.2, id="not scheduled"
        ),
        pytest.param(
            {"not_scheduled_s": 0.4, "user_s": 0.3}, StallCause.NOT_SCHEDULED, 0.3, id="the largest of three"
        ),
        pytest.param({"major_faults": 900, "user_s": 0.1}, StallCause.BLOCKED, 0.9, id="page faults"),
        pytest.param({"log_write_s": 0.9}, StallCause.BLOCKED, 1.0, id="a blocking log write"),
        pytest.param({}, StallCause.BLOCKED, 1.0, id="stopped"),
        pytest.param(
            {"user_s": 0.5, "not_scheduled_s": 0.5}, StallCause.CPU, 0.0, id="a tie goes to the CPU"
        ),
        pytest.param(
            {"user_s": 0.7, "not_scheduled_s": 0.4},
            StallCause.CPU,
            0.0,
            id="more than the duration, by idle time before it",
        ),
    ],
)
def test_the_cause_is_the_largest_share(
    increments: dict[str, float], cause: StallCause, blocked_s: float
) -> None:
    stall = attribute_stall(1.0, INITIAL, counters_after(**increments))
    assert stall.cause == cause
    assert stall.blocked_s == pytest.approx(blocked_s)
    for name, amount in increments.items():
        assert getattr(stall.deltas, name) == pytest.approx(amount)


def test_time_not_scheduled_is_none_where_the_system_does_not_count_it() -> None:
    stall = attribute_stall(
        1.0, ProcessCounters(not_scheduled_s=None), ProcessCounters(user_s=0.2, not_scheduled_s=None)
    )
    assert (stall.cause, stall.deltas.not_scheduled_s) == (StallCause.BLOCKED, None)
    assert stall.blocked_s == pytest.approx(0.8)


seconds = st.floats(0, 100)


@given(seconds, seconds, seconds, seconds)
def test_the_shares_cover_the_stall_and_the_cause_is_the_largest(
    duration_s: float, user_s: float, system_s: float, not_scheduled_s: float
) -> None:
    stall = attribute_stall(
        duration_s, ProcessCounters(not_scheduled_s=0.0), ProcessCounters(user_s, system_s, not_scheduled_s)
    )
    shares = {
        StallCause.CPU: user_s + system_s,
        StallCause.NOT_SCHEDULED: not_scheduled_s,
        StallCause.BLOCKED: stall.blocked_s,
    }
    assert sum(shares.values()) >= duration_s - 1e-9
    assert shares[stall.cause] == max(shares.values())
