"""The clock of a watch: what counts as silence, and how long a slow line may take; in virtual time."""

from collections.abc import Callable
from itertools import product
from math import inf

import pytest

from ringledge.decide.discovery.watch_timeout import MAX_ALLOWANCE_FACTOR, WatchTimeout
from ringledge.lifecycle.serve import LIST_S
from ringledge.wire.discovery import watcher as discovery

SILENCE_S = 3.0
COUNTS_AS_TOLD_S = 6.0  # whatever became of the watches


def trickle(clock: WatchTimeout, begin_s: float, pause_s: float = 1.0) -> float:
    """Bytes of one line without an end; when the watch is given up."""
    clock.watch_started(begin_s)
    at_s = begin_s + pause_s
    while at_s < clock.deadline_s:
        clock.data_received(at_s, told=False, whole=False, line_begun=True)
        at_s += pause_s
    given_up_s = clock.deadline_s
    clock.watch_timed_out(given_up_s)
    return given_up_s


def silent(clock: WatchTimeout, begin_s: float) -> float:
    clock.watch_started(begin_s)
    given_up_s = clock.deadline_s
    clock.watch_timed_out(given_up_s)
    return given_up_s


def test_a_watch_that_trickles_is_as_silent_as_one_that_says_nothing() -> None:
    assert trickle(WatchTimeout(SILENCE_S), 10.0) == 13.0
    clock = WatchTimeout(SILENCE_S)
    clock.watch_started(0.0)
    for tenth in range(1, 30):  # white space that ends no line
        clock.data_received(tenth / 10, told=False, whole=False, line_begun=False)
    assert clock.deadline_s == 3.0


def test_empty_lines_keep_a_watch() -> None:
    clock = WatchTimeout(SILENCE_S)
    clock.watch_started(0.0)
    for at_s in range(2, 60, 2):
        assert at_s < clock.deadline_s
        clock.data_received(at_s, told=False, whole=True, line_begun=False)


def test_a_long_line_that_comes_slowly_is_had_in_the_end() -> None:
    """Its allowance doubles with each watch from the third on, and is back at the first once it came."""
    clock, lasted = WatchTimeout(SILENCE_S), list[float]()
    for _ in range(9):
        lasted.append(trickle(clock, 0.0))
    doubled = [2**n for n in range(1, 6)]
    assert lasted == [SILENCE_S * n for n in (1, 1, *doubled, MAX_ALLOWANCE_FACTOR, MAX_ALLOWANCE_FACTOR)]
    clock.watch_started(0.0)
    clock.data_received(20.0, told=True, whole=True, line_begun=False)
    assert trickle(clock, 30.0) == 33.0


def test_a_line_that_stops_coming_gets_no_allowance() -> None:
    clock = WatchTimeout(SILENCE_S)
    for _ in range(4):
        trickle(clock, 0.0)
    clock.watch_started(0.0)
    clock.data_received(1.0, told=False, whole=False, line_begun=True)
    assert clock.deadline_s == 4.0 and not clock.watch_timed_out(4.0)


def test_an_empty_line_before_a_slow_one_takes_nothing_of_its_allowance() -> None:
    clock = WatchTimeout(SILENCE_S)
    for _ in range(4):
        trickle(clock, 0.0)
    allowance_s = clock.allowance_s
    clock.watch_started(0.0)
    clock.data_received(0.0, told=False, whole=True, line_begun=False)
    assert clock.allowance_s == allowance_s
    clock.data_received(SILENCE_S + 0.1, told=False, whole=True, line_begun=False)
    assert clock.allowance_s == SILENCE_S  # whatever is due comes first on a watch: nothing was


@pytest.mark.parametrize("first", [silent, trickle])
@pytest.mark.parametrize("second", [silent, trickle])
def test_two_watches_in_a_row_are_over_before_what_they_missed_counts_as_told(
    first: Callable[[WatchTimeout, float], float], second: Callable[[WatchTimeout, float], float]
) -> None:
    """The table of docs/design/recovery.md: the third watch is asked for in less than 6 s."""
    clock = WatchTimeout(discovery.PUSHED_SILENCE_S)
    at_s = first(clock, 0.0) + discovery.PUSHED_FIRST_S
    at_s = second(clock, at_s) + 2 * discovery.PUSHED_FIRST_S
    assert at_s < COUNTS_AS_TOLD_S


def pushed(known_s: float = 0.0) -> WatchTimeout:
    return WatchTimeout(discovery.PUSHED_SILENCE_S, discovery.PUSHED_TOLD_S, known_s)


def asked(how: Callable[[WatchTimeout, float], float], clock: WatchTimeout, at_s: float) -> float:
    """A watch that was asked for and fails; when the next one is asked for at the latest."""
    clock.watch_requested(at_s)
    return how(clock, at_s) + discovery.PUSHED_MOST_S


def trickle_fast(clock: WatchTimeout, begin_s: float) -> float:
    return trickle(clock, begin_s, 0.05)


def empty_lines(clock: WatchTimeout, begin_s: float) -> float:
    """Nothing but empty lines, where the list is owed first of all."""
    clock.watch_started(begin_s)
    at_s = begin_s + 0.1
    while at_s < clock.deadline_s:
        clock.data_received(at_s, told=False, whole=True, line_begun=False)
        at_s += 0.1
    return clock.deadline_s


def in_vain(clock: WatchTimeout, at_s: float) -> float:
    """Accepted, and never answered."""
    return min(at_s + discovery.ANSWER_S, clock.first_line_deadline_s)


@pytest.mark.parametrize("hows", product([silent, trickle_fast, empty_lines, in_vain], repeat=3))
def test_three_watches_in_a_row_are_over_in_time_too(
    hows: tuple[Callable[[WatchTimeout, float], float], ...],
) -> None:
    """The clock runs from the last time that the list was known whole, not from each watch."""
    clock = pushed()
    clock.watch_requested(0.0)
    clock.watch_started(0.0)
    clock.data_received(0.0, told=True, whole=True, line_begun=False)
    at_s = clock.deadline_s + discovery.PUSHED_MOST_S
    for how in hows:
        at_s = asked(how, clock, at_s)
    assert at_s < COUNTS_AS_TOLD_S


def test_behind_that_time_a_watch_has_its_whole_time_again() -> None:
    clock = pushed()
    clock.watch_requested(discovery.PUSHED_TOLD_S)
    assert clock.first_line_deadline_s == inf
    assert silent(clock, discovery.PUSHED_TOLD_S) == discovery.PUSHED_TOLD_S + discovery.PUSHED_SILENCE_S


def test_a_start_asks_three_times_before_it_serves_by_a_list_that_may_be_stale() -> None:
    clock, at_s = pushed(discovery.START_TOLD_S - discovery.PUSHED_TOLD_S), 0.0
    for _ in range(2):
        at_s = asked(silent, clock, at_s)
    assert at_s + 0.2 < LIST_S


def test_behind_a_new_configuration_two_watches_may_fail() -> None:
    clock = pushed()
    clock.address_changed(10.0 + discovery.MOVED_TOLD_S - discovery.PUSHED_TOLD_S)
    at_s = asked(silent, clock, 10.0)
    assert asked(trickle_fast, clock, at_s) < 10.0 + 4.0


def test_what_a_watch_told_last_starts_the_clock_anew() -> None:
    clock = pushed()
    clock.watch_requested(0.0)
    clock.watch_started(0.0)
    clock.data_received(0.0, told=True, whole=True, line_begun=False)
    clock.data_received(50.0, told=False, whole=True, line_begun=False)
    clock.watch_requested(52.5)
    assert clock.first_line_deadline_s < 50.0 + COUNTS_AS_TOLD_S
    assert clock.first_line_deadline_s > 53.5


def test_three_that_are_accepted_in_vain_behind_a_silent_one_are_over_in_time_too() -> None:
    waits_s = sum(min(discovery.PUSHED_MOST_S, discovery.PUSHED_FIRST_S * 2**tries) for tries in range(4))
    assert discovery.PUSHED_SILENCE_S + 3 * discovery.ANSWER_S + waits_s < COUNTS_AS_TOLD_S
