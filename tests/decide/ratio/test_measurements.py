"""What one conductor sees of demand and paces."""

from __future__ import annotations

from math import inf, nan

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from ringledge.decide.ratio.demand_estimate import sane
from ringledge.decide.ratio.measurements import MOST_TOKENS, WINDOW_S, Measures


def steady(per_s: float, seconds: float) -> tuple[Measures, float]:
    measures, now_s = Measures(), 100.0
    for _ in range(int(per_s * seconds)):
        now_s += 1 / per_s
        measures.taken(now_s, 0, 1000.0, 200.0)
    return measures, now_s


def test_demand_is_what_comes_in_times_what_requests_take() -> None:
    measures, now_s = steady(8, 60)
    for _ in range(200):
        measures.has_read(0, "r", 250.0, 0.1)
        measures.has_written(0, "w", 1000.0, 120.0, 6.0)
    told = measures.demand(now_s)[0]
    assert told.arrivals == pytest.approx(8, rel=0.1)
    assert told.prefill_tokens == pytest.approx(8 * 250, rel=0.1)
    assert told.decode_tokens == pytest.approx(8 * 120, rel=0.1)


def test_what_is_turned_away_is_asked_for_all_the_same() -> None:
    """Counted by what was served, a short role would look as if it were enough."""
    measures, now_s = steady(8, 60)
    told = measures.demand(now_s)[0]
    assert told.prefill_tokens == pytest.approx(8 * 1000, rel=0.1)
    assert told.decode_tokens == pytest.approx(8 * 100, rel=0.1)


def test_demand_that_ends_fades() -> None:
    measures, now_s = steady(8, 60)
    assert measures.demand(now_s + 5 * WINDOW_S)[0].arrivals < 0.1


def test_a_server_gets_through_what_its_memory_holds_of_streams() -> None:
    measures = Measures()
    for _ in range(50):
        measures.has_read(0, "s", 500.0, 0.05)
        measures.has_written(0, "s", 900.0, 200.0, 10.0)
    told = measures.seen("s", 100_000.0, 40, 1.0, 2)
    assert told.prefill_rate == pytest.approx(10_000) and told.decode_rate == pytest.approx(20 * 100)
    assert told.waiting_entries == 2


def test_where_memory_is_not_told_streams_of_ours_stand_for_all() -> None:
    measures = Measures()
    measures.has_written(0, "s", 900.0, 200.0, 10.0)
    measures.streams("s", 3)
    assert measures.seen("s", None, 4, 1.0, 0).decode_rate == pytest.approx(3 * 4 * 20)


def test_short_work_tells_no_pace_and_an_unknown_server_none() -> None:
    measures = Measures()
    measures.has_read(0, "s", 3.0, 0.05)
    measures.has_written(0, "s", 900.0, 2.0, 0.01)
    assert measures.seen("s", 1000.0, 1, 1.0, 0).prefill_rate == 0.0
    assert measures.seen("other", 1000.0, 1, 0.3, 0).decode_rate == 0.0


def test_servers_that_left_are_forgotten() -> None:
    measures = Measures()
    measures.has_read(0, "s", 500.0, 0.05)
    measures.keep({"t"})
    assert measures.seen("s", None, 1, 1.0, 0).prefill_rate == 0.0


figures = st.sampled_from([0.0, -1.0, nan, inf, 1e300, MOST_TOKENS]) | st.floats(0, 1e4)


@example([(1, 1000.0, 0.0, 5e-324), (2, 100.0, 100.0, 5e-324)])
@given(st.lists(st.tuples(st.integers(0, 3), figures, figures, figures), max_size=20))
def test_nonsense_never_becomes_a_row_that_is_not_sane(events: list[tuple[int, float, float, float]]) -> None:
    measures = Measures()
    for what, first, second, took_s in events:
        if what == 0:
            measures.taken(1.0, 0, first, second)
        elif what == 1:
            measures.has_read(0, "s", first, took_s)
        else:
            measures.has_written(0, "s", first, second, took_s)
    assert all(sane(each) for each in measures.demand(2.0).values())
    assert sane(measures.seen("s", 1e5, 200, 1.0, 0)) and sane(measures.seen("s", None, 200, 0.0, 0))
