"""The clock of a watch: what counts as silence, and how long a slow line may take; in virtual time."""

from collections.abc import Callable

import pytest

from ringledge.decide.watch_clock import MOST_DOUBLED, WatchClock
from ringledge.wire import discovery

SILENCE_S = 3.0
COUNTS_AS_TOLD_S = 6.0  # whatever became of the watches


def trickle(clock: WatchClock, begin_s: float, pause_s: float = 1.0) -> float:
    """Bytes of one line without an end; when the watch is given up."""
    clock.begin(begin_s)
    at_s = begin_s + pause_s
    while at_s < clock.deadline_s:
        clock.piece(at_s, told=False, whole=False, line_begun=True)
        at_s += pause_s
    given_up_s = clock.deadline_s
    clock.expired(given_up_s)
    return given_up_s


def silent(clock: WatchClock, begin_s: float) -> float:
    clock.begin(begin_s)
    given_up_s = clock.deadline_s
    clock.expired(given_up_s)
    return given_up_s


def test_a_watch_that_trickles_is_as_silent_as_one_that_says_nothing() -> None:
    assert trickle(WatchClock(SILENCE_S), 10.0) == 13.0
    clock = WatchClock(SILENCE_S)
    clock.begin(0.0)
    for tenth in range(1, 30):  # white space that ends no line
        clock.piece(tenth / 10, told=False, whole=False, line_begun=False)
    assert clock.deadline_s == 3.0


def test_empty_lines_keep_a_watch() -> None:
    clock = WatchClock(SILENCE_S)
    clock.begin(0.0)
    for at_s in range(2, 60, 2):
        assert at_s < clock.deadline_s
        clock.piece(at_s, told=False, whole=True, line_begun=False)


def test_a_long_line_that_comes_slowly_is_had_in_the_end() -> None:
    """Its allowance doubles with each watch from the third on, and is back at the first once it came."""
    clock, lasted = WatchClock(SILENCE_S), list[float]()
    for _ in range(9):
        lasted.append(trickle(clock, 0.0))
    doubled = [2**n for n in range(1, 6)]
    assert lasted == [SILENCE_S * n for n in (1, 1, *doubled, MOST_DOUBLED, MOST_DOUBLED)]
    clock.begin(0.0)
    clock.piece(20.0, told=True, whole=True, line_begun=False)
    assert trickle(clock, 30.0) == 33.0


def test_a_line_that_stops_coming_gets_no_allowance() -> None:
    clock = WatchClock(SILENCE_S)
    for _ in range(4):
        trickle(clock, 0.0)
    clock.begin(0.0)
    clock.piece(1.0, told=False, whole=False, line_begun=True)
    assert clock.deadline_s == 4.0 and not clock.expired(4.0)


def test_an_empty_line_before_a_slow_one_takes_nothing_of_its_allowance() -> None:
    clock = WatchClock(SILENCE_S)
    for _ in range(4):
        trickle(clock, 0.0)
    allowance_s = clock.allowance_s
    clock.begin(0.0)
    clock.piece(0.0, told=False, whole=True, line_begun=False)
    assert clock.allowance_s == allowance_s
    clock.piece(SILENCE_S + 0.1, told=False, whole=True, line_begun=False)
    assert clock.allowance_s == SILENCE_S  # whatever is due comes first on a watch: nothing was


@pytest.mark.parametrize("first", [silent, trickle])
@pytest.mark.parametrize("second", [silent, trickle])
def test_two_watches_in_a_row_are_over_before_what_they_missed_counts_as_told(
    first: Callable[[WatchClock, float], float], second: Callable[[WatchClock, float], float]
) -> None:
    """The table of docs/design/recovery.md: the third watch is asked for in less than 6 s."""
    clock = WatchClock(discovery.PUSHED_SILENCE_S)
    at_s = first(clock, 0.0) + discovery.PUSHED_FIRST_S
    at_s = second(clock, at_s) + 2 * discovery.PUSHED_FIRST_S
    assert at_s < COUNTS_AS_TOLD_S


def test_three_that_are_accepted_in_vain_behind_a_silent_one_are_over_in_time_too() -> None:
    waits_s = sum(min(discovery.PUSHED_MOST_S, discovery.PUSHED_FIRST_S * 2**tries) for tries in range(4))
    assert discovery.PUSHED_SILENCE_S + 3 * discovery.ANSWER_S + waits_s < COUNTS_AS_TOLD_S
