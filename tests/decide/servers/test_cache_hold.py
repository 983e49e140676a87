"""Tests the tracked hold time of entries for different orders of attempts, releases and answers."""

from __future__ import annotations

from math import inf

import pytest

from ringledge.decide.servers.cache_hold import CacheEntryTracker

PREFILLED_MS, RELEASED_MS, ENDED_MS, ANSWERED_MS = 100.0, 600.0, 650.0, 700.0


def prefilled_entry() -> CacheEntryTracker:
    """A tracker after a successful prefill at p0."""
    cache = CacheEntryTracker()
    cache.record_prefill("p0")
    cache.record_attempt_end(PREFILLED_MS, was_delivered=True)
    return cache


def test_no_entry_is_held_before_an_attempt_may_have_left_one() -> None:
    cache = CacheEntryTracker()
    cache.record_attempt_end(PREFILLED_MS, was_delivered=True)
    assert not cache.is_idle and cache.held_ms(ANSWERED_MS) == 0.0


@pytest.mark.parametrize(("was_delivered", "since_ms"), [(True, ENDED_MS), (False, PREFILLED_MS)])
def test_only_a_delivered_attempt_restarts_the_hold_time(was_delivered: bool, since_ms: float) -> None:
    cache = prefilled_entry()
    cache.record_attempt_end(ENDED_MS, was_delivered)
    assert cache.idle_since_ms == since_ms


def test_hold_time_runs_until_a_release_is_answered() -> None:
    cache = prefilled_entry()
    assert cache.begin_release(RELEASED_MS, attempt_in_flight=False) == {"p0"}
    assert cache.held_ms(ENDED_MS) == ENDED_MS - PREFILLED_MS
    cache.end_release(ANSWERED_MS, {"p0"}, attempt_in_flight=False)
    assert not cache.may_exist and not cache.is_idle


def test_failed_release_changes_nothing() -> None:
    cache = prefilled_entry()
    cache.begin_release(RELEASED_MS, attempt_in_flight=False)
    cache.end_release(ANSWERED_MS, (), attempt_in_flight=False)
    assert cache.may_exist and cache.idle_since_ms == PREFILLED_MS


def test_hold_time_restarts_after_an_attempt_that_was_in_flight_during_the_release() -> None:
    cache = prefilled_entry()
    cache.begin_release(RELEASED_MS, attempt_in_flight=True)
    cache.end_release(ANSWERED_MS, {"p1"}, attempt_in_flight=True)
    assert not cache.is_idle
    cache.record_attempt_end(ANSWERED_MS + 1.0, was_delivered=False)
    assert cache.may_exist and cache.idle_since_ms == ANSWERED_MS + 1.0


@pytest.mark.parametrize("was_delivered", [False, True])
def test_attempt_that_ends_during_a_release_may_have_prevented_it(was_delivered: bool) -> None:
    cache = prefilled_entry()
    cache.begin_release(RELEASED_MS, attempt_in_flight=True)
    cache.record_attempt_end(ENDED_MS, was_delivered)
    cache.end_release(ANSWERED_MS, {"p1"}, attempt_in_flight=False)
    assert cache.may_exist and cache.idle_since_ms in (ENDED_MS, ANSWERED_MS)


def test_entry_of_a_prefill_that_ends_during_a_release_is_held_from_its_end() -> None:
    cache = prefilled_entry()
    cache.begin_release(RELEASED_MS, attempt_in_flight=False)
    cache.record_prefill("p1")
    cache.record_attempt_end(ENDED_MS, was_delivered=True)
    cache.end_release(ANSWERED_MS, {"p0"}, attempt_in_flight=False)
    assert cache.holders == {"p1"} and cache.idle_since_ms == ENDED_MS


@pytest.mark.parametrize(("answered_by", "remaining"), [("p0", {}), ("p1", {"p0": inf})])
def test_server_that_may_yet_run_an_attempt_is_cleared_only_by_its_own_answer(
    answered_by: str, remaining: dict[str, float]
) -> None:
    cache = CacheEntryTracker()
    cache.record_unobserved_end("p0", PREFILLED_MS, has_answered=False)
    cache.record_attempt_end(PREFILLED_MS, was_delivered=False)
    cache.begin_release(RELEASED_MS, attempt_in_flight=False)
    cache.end_release(ANSWERED_MS, {answered_by}, attempt_in_flight=False)
    assert cache.unobserved == remaining and not cache.is_idle


def test_first_token_ends_the_hold() -> None:
    cache = prefilled_entry()
    cache.record_first_token()
    assert not cache.is_idle and not cache.holders
