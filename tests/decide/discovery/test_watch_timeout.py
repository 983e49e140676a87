"""The timeout of a watch and the allowance of a slow line, in virtual time."""

from collections.abc import Callable
from itertools import product
from math import inf

import pytest

from ringledge.decide.discovery import watch_backoff
from ringledge.decide.discovery.watch_timeout import MAX_ALLOWANCE_FACTOR, WatchTimeout
from ringledge.lifecycle.serve import ENDPOINT_LIST_TIMEOUT_S
from ringledge.wire.discovery import watcher as discovery

IDLE_TIMEOUT_S = 3.0
STALENESS_LIMIT_S = 6.0  # the router is expected to know a change after this time


def trickle(timeout: WatchTimeout, start_s: float, interval_s: float = 1.0) -> float:
    """Deliver single bytes of one endless line; returns the time at which the watch times out."""
    timeout.watch_started(start_s)
    at_s = start_s + interval_s
    while at_s < timeout.deadline_s:
        timeout.data_received(at_s, has_update=False, line_ended=False, line_incomplete=True)
        at_s += interval_s
    timed_out_s = timeout.deadline_s
    timeout.watch_timed_out(timed_out_s)
    return timed_out_s


def no_data(timeout: WatchTimeout, start_s: float) -> float:
    timeout.watch_started(start_s)
    timed_out_s = timeout.deadline_s
    timeout.watch_timed_out(timed_out_s)
    return timed_out_s


def test_watch_with_single_bytes_times_out_like_one_without_data() -> None:
    assert trickle(WatchTimeout(IDLE_TIMEOUT_S), 10.0) == 13.0
    timeout = WatchTimeout(IDLE_TIMEOUT_S)
    timeout.watch_started(0.0)
    for tenths in range(1, 30):  # white space that does not end a line
        timeout.data_received(tenths / 10, has_update=False, line_ended=False, line_incomplete=False)
    assert timeout.deadline_s == 3.0


def test_empty_lines_keep_a_watch_open() -> None:
    timeout = WatchTimeout(IDLE_TIMEOUT_S)
    timeout.watch_started(0.0)
    for at_s in range(2, 60, 2):
        assert at_s < timeout.deadline_s
        timeout.data_received(at_s, has_update=False, line_ended=True, line_incomplete=False)


def test_slow_long_line_is_received_eventually() -> None:
    """The allowance doubles with each watch from the third on, and is reset once the line has arrived."""
    timeout, durations_s = WatchTimeout(IDLE_TIMEOUT_S), list[float]()
    for _ in range(9):
        durations_s.append(trickle(timeout, 0.0))
    factors = [2**n for n in range(1, 6)]
    assert durations_s == [
        IDLE_TIMEOUT_S * n for n in (1, 1, *factors, MAX_ALLOWANCE_FACTOR, MAX_ALLOWANCE_FACTOR)
    ]
    timeout.watch_started(0.0)
    timeout.data_received(20.0, has_update=True, line_ended=True, line_incomplete=False)
    assert trickle(timeout, 30.0) == 33.0


def test_line_without_further_bytes_gets_no_allowance() -> None:
    timeout = WatchTimeout(IDLE_TIMEOUT_S)
    for _ in range(4):
        trickle(timeout, 0.0)
    timeout.watch_started(0.0)
    timeout.data_received(1.0, has_update=False, line_ended=False, line_incomplete=True)
    assert timeout.deadline_s == 4.0 and not timeout.watch_timed_out(4.0)


def test_empty_line_before_a_slow_one_does_not_reset_the_allowance() -> None:
    timeout = WatchTimeout(IDLE_TIMEOUT_S)
    for _ in range(4):
        trickle(timeout, 0.0)
    allowance_s = timeout.allowance_s
    timeout.watch_started(0.0)
    timeout.data_received(0.0, has_update=False, line_ended=True, line_incomplete=False)
    assert timeout.allowance_s == allowance_s
    timeout.data_received(IDLE_TIMEOUT_S + 0.1, has_update=False, line_ended=True, line_incomplete=False)
    assert timeout.allowance_s == IDLE_TIMEOUT_S  # an outstanding update would have arrived first


@pytest.mark.parametrize("first_failure", [no_data, trickle])
@pytest.mark.parametrize("second_failure", [no_data, trickle])
def test_two_failed_watches_end_before_the_staleness_limit(
    first_failure: Callable[[WatchTimeout, float], float],
    second_failure: Callable[[WatchTimeout, float], float],
) -> None:
    """The table of docs/design/recovery.md: the third watch is requested in less than 6 s."""
    timeout = WatchTimeout(discovery.PUSH_IDLE_TIMEOUT_S)
    at_s = first_failure(timeout, 0.0) + watch_backoff.PUSH_INITIAL_BACKOFF_S
    at_s = second_failure(timeout, at_s) + 2 * watch_backoff.PUSH_INITIAL_BACKOFF_S
    assert at_s < STALENESS_LIMIT_S


def make_push_timeout(last_complete_s: float = 0.0) -> WatchTimeout:
    return WatchTimeout(discovery.PUSH_IDLE_TIMEOUT_S, discovery.PUSH_STALENESS_LIMIT_S, last_complete_s)


def next_request_s(
    failure: Callable[[WatchTimeout, float], float], timeout: WatchTimeout, at_s: float
) -> float:
    """Request a watch that fails; returns the latest time at which the next watch is requested."""
    timeout.watch_requested(at_s)
    return failure(timeout, at_s) + watch_backoff.PUSH_MAX_BACKOFF_S


def trickle_every_50_ms(timeout: WatchTimeout, start_s: float) -> float:
    return trickle(timeout, start_s, 0.05)


def empty_lines(timeout: WatchTimeout, start_s: float) -> float:
    """Deliver only empty lines, while an update that would come first is outstanding."""
    timeout.watch_started(start_s)
    at_s = start_s + 0.1
    while at_s < timeout.deadline_s:
        timeout.data_received(at_s, has_update=False, line_ended=True, line_incomplete=False)
        at_s += 0.1
    return timeout.deadline_s


def no_response(timeout: WatchTimeout, at_s: float) -> float:
    """Accept the connection but never respond; returns the time at which the request times out."""
    return min(at_s + discovery.RESPONSE_TIMEOUT_S, timeout.first_line_deadline_s)


@pytest.mark.parametrize(
    "failures", product([no_data, trickle_every_50_ms, empty_lines, no_response], repeat=3)
)
def test_three_failed_push_watches_end_before_the_staleness_limit(
    failures: tuple[Callable[[WatchTimeout, float], float], ...],
) -> None:
    """The limit counts from the time at which the list was last known to be complete, not from each watch."""
    timeout = make_push_timeout()
    timeout.watch_requested(0.0)
    timeout.watch_started(0.0)
    timeout.data_received(0.0, has_update=True, line_ended=True, line_incomplete=False)
    at_s = timeout.deadline_s + watch_backoff.PUSH_MAX_BACKOFF_S
    for failure in failures:
        at_s = next_request_s(failure, timeout, at_s)
    assert at_s < STALENESS_LIMIT_S


def test_watch_after_the_staleness_limit_has_its_full_time() -> None:
    timeout = make_push_timeout()
    timeout.watch_requested(discovery.PUSH_STALENESS_LIMIT_S)
    assert timeout.first_line_deadline_s == inf
    assert (
        no_data(timeout, discovery.PUSH_STALENESS_LIMIT_S)
        == discovery.PUSH_STALENESS_LIMIT_S + discovery.PUSH_IDLE_TIMEOUT_S
    )


def test_three_watches_are_requested_at_a_start_before_a_stale_list_is_used() -> None:
    timeout, at_s = (
        make_push_timeout(discovery.START_STALENESS_LIMIT_S - discovery.PUSH_STALENESS_LIMIT_S),
        0.0,
    )
    for _ in range(2):
        at_s = next_request_s(no_data, timeout, at_s)
    assert at_s + 0.2 < ENDPOINT_LIST_TIMEOUT_S


def test_two_watches_may_fail_after_a_change_of_address() -> None:
    timeout = make_push_timeout()
    timeout.address_changed(
        10.0 + discovery.RECONFIGURED_STALENESS_LIMIT_S - discovery.PUSH_STALENESS_LIMIT_S
    )
    at_s = next_request_s(no_data, timeout, 10.0)
    assert next_request_s(trickle_every_50_ms, timeout, at_s) < 10.0 + 4.0


def test_complete_line_restarts_the_staleness_limit() -> None:
    timeout = make_push_timeout()
    timeout.watch_requested(0.0)
    timeout.watch_started(0.0)
    timeout.data_received(0.0, has_update=True, line_ended=True, line_incomplete=False)
    timeout.data_received(50.0, has_update=False, line_ended=True, line_incomplete=False)
    timeout.watch_requested(52.5)
    assert timeout.first_line_deadline_s < 50.0 + STALENESS_LIMIT_S
    assert timeout.first_line_deadline_s > 53.5


def test_three_unanswered_requests_after_an_idle_watch_end_before_the_staleness_limit() -> None:
    waits_s = sum(
        min(watch_backoff.PUSH_MAX_BACKOFF_S, watch_backoff.PUSH_INITIAL_BACKOFF_S * 2**attempt)
        for attempt in range(4)
    )
    assert discovery.PUSH_IDLE_TIMEOUT_S + 3 * discovery.RESPONSE_TIMEOUT_S + waits_s < STALENESS_LIMIT_S
