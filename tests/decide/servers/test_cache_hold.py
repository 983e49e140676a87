"""How long entries may have been held, in every order of attempts, releases and their answers."""

from __future__ import annotations

from math import inf

import pytest

from ringledge.decide.servers.cache_hold import CacheEntryTracker

PREFILLED_MS, RELEASED_MS, ENDED_MS, ANSWERED_MS = 100.0, 600.0, 650.0, 700.0


def prefilled_entry() -> CacheEntryTracker:
    """A prefill at p0 has ended well."""
    cache = CacheEntryTracker()
    cache.record_prefill("p0")
    cache.record_attempt_end(PREFILLED_MS, was_delivered=True)
    return cache


def test_nothing_is_held_before_a_first_attempt_has_left_something() -> None:
    cache = CacheEntryTracker()
    cache.record_attempt_end(PREFILLED_MS, was_delivered=True)
    assert not cache.is_idle and cache.held_ms(ANSWERED_MS) == 0.0


@pytest.mark.parametrize(("was_delivered", "since_ms"), [(True, ENDED_MS), (False, PREFILLED_MS)])
def test_only_an_attempt_that_has_arrived_starts_the_time_anew(was_delivered: bool, since_ms: float) -> None:
    cache = prefilled_entry()
    cache.record_attempt_end(ENDED_MS, was_delivered)
    assert cache.idle_since_ms == since_ms


def test_time_counts_until_a_release_is_answered() -> None:
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


def test_release_beside_an_attempt_may_be_void_so_the_time_starts_with_the_end_of_that_attempt() -> None:
    cache = prefilled_entry()
    cache.begin_release(RELEASED_MS, attempt_in_flight=True)
    cache.end_release(ANSWERED_MS, {"p1"}, attempt_in_flight=True)
    assert not cache.is_idle
    cache.record_attempt_end(ANSWERED_MS + 1.0, was_delivered=False)
    assert cache.may_exist and cache.idle_since_ms == ANSWERED_MS + 1.0


@pytest.mark.parametrize("was_delivered", [False, True])
def test_attempt_that_ends_during_a_release_may_have_made_it_void(was_delivered: bool) -> None:
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


@pytest.mark.parametrize(("answered_by", "left"), [("p0", {}), ("p1", {"p0": inf})])
def test_server_that_may_yet_run_an_attempt_is_settled_by_its_own_answer_alone(
    answered_by: str, left: dict[str, float]
) -> None:
    cache = CacheEntryTracker()
    cache.record_unobserved_end("p0", PREFILLED_MS, has_answered=False)
    cache.record_attempt_end(PREFILLED_MS, was_delivered=False)
    cache.begin_release(RELEASED_MS, attempt_in_flight=False)
    cache.end_release(ANSWERED_MS, {answered_by}, attempt_in_flight=False)
    assert cache.unobserved == left and not cache.is_idle


def test_stream_releases_what_is_held() -> None:
    cache = prefilled_entry()
    cache.record_first_token()
    assert not cache.is_idle and not cache.holders
