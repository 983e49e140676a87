"""The steps of an entry's life, against a model and by name."""

from __future__ import annotations

import sqlite3
import tempfile
from collections.abc import Callable
from functools import partial
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ringledge.store import queries, schema, transitions
from ringledge.store.admission import QueueLimits
from ringledge.store.entry import (
    Entry,
    EntryOutcome,
    EntryState,
    InvalidTransitionError,
    QueueError,
    QueueRejectionReason,
    StaleTokenError,
)
from tests.store.helpers import LIMITS, NOW_S, asked, db, within

__all__ = ["db"]


def put(db: sqlite3.Connection, name: str, safe: bool = True, tenant: str = "farm") -> Entry:
    return within(db, lambda db: transitions.enqueue(db, asked(name, tenant, safe), NOW_S, LIMITS))


def test_a_booking_that_has_begun_ends_as_unknown_and_the_rest_waits_again(db: sqlite3.Connection) -> None:
    for name, safe in (("a", True), ("b", False)):
        put(db, name, safe)
    within(db, lambda db: transitions.adopt(db, 5, NOW_S))
    for name in ("a", "b"):
        assert (
            within(db, partial(transitions.begin_attempt, name=name, token=5, now_s=NOW_S)).state
            is EntryState.BEGUN
        )
    found = within(db, lambda db: transitions.adopt(db, 6, NOW_S))
    assert found.requeued == 1 and found.unknown == ("b",)
    told = queries.get_entry(db, "b")
    assert told is not None and told.outcome is EntryOutcome.UNKNOWN
    with pytest.raises(InvalidTransitionError):
        within(db, lambda db: transitions.begin_attempt(db, "b", 6, NOW_S))


def test_an_effect_with_an_older_token_is_refused_and_changes_nothing(db: sqlite3.Connection) -> None:
    put(db, "a")
    within(db, lambda db: transitions.adopt(db, 5, NOW_S))
    within(db, lambda db: transitions.begin_attempt(db, "a", 5, NOW_S))
    within(db, lambda db: transitions.adopt(db, 9, NOW_S))
    for step in (
        lambda db: transitions.begin_attempt(db, "a", 5, NOW_S),
        lambda db: transitions.complete(db, "a", 5, EntryOutcome.SERVED, b"{}", NOW_S),
        lambda db: transitions.record_failed_attempt(db, "a", 5, True, 8, NOW_S),
        lambda db: transitions.adopt(db, 8, NOW_S),
    ):
        with pytest.raises(StaleTokenError):
            within(db, step)
    told = queries.get_entry(db, "a")
    assert told is not None and told.state is EntryState.WAITING and queries.highest_token(db) == 9


def test_what_expired_is_told_and_never_sent(db: sqlite3.Connection) -> None:
    put(db, "a")
    put(db, "b")
    late_s = NOW_S + 100
    within(db, lambda db: transitions.adopt(db, 1, NOW_S))
    assert (
        within(db, lambda db: transitions.begin_attempt(db, "a", 1, late_s)).outcome is EntryOutcome.EXPIRED
    )
    assert within(db, lambda db: transitions.expire(db, late_s)) == ("b",)
    assert within(db, lambda db: transitions.expire(db, late_s)) == ()


def test_a_refusal_that_ran_nothing_uses_no_attempt_up(db: sqlite3.Connection) -> None:
    put(db, "a")
    within(db, lambda db: transitions.adopt(db, 1, NOW_S))
    for _ in range(5):
        within(db, lambda db: transitions.begin_attempt(db, "a", 1, NOW_S))
        assert (
            within(db, lambda db: transitions.record_failed_attempt(db, "a", 1, False, 2, NOW_S)).state
            is EntryState.WAITING
        )
    for end in (None, EntryOutcome.FAILED):
        within(db, lambda db: transitions.begin_attempt(db, "a", 1, NOW_S))
        assert (
            within(db, lambda db: transitions.record_failed_attempt(db, "a", 1, True, 2, NOW_S)).outcome
            is end
        )


def test_an_end_is_kept_for_its_time_and_then_removed(db: sqlite3.Connection) -> None:
    put(db, "a")
    within(db, lambda db: transitions.withdraw(db, "a", NOW_S))
    assert within(db, lambda db: transitions.purge(db, NOW_S + 49, 50.0)) == 0
    assert queries.get_entry(db, "a") is not None
    assert within(db, lambda db: transitions.purge(db, NOW_S + 50, 50.0)) == 1
    assert queries.get_entry(db, "a") is None
    assert db.execute("SELECT entries, bytes FROM totals").fetchone() == (0, 0)


@pytest.mark.parametrize(
    ("limits", "why"),
    [
        (QueueLimits(1, 10_000, 1.0, 100), QueueRejectionReason.MAX_ENTRIES),
        (QueueLimits(9, 25, 1.0, 100), QueueRejectionReason.MAX_BYTES),
        (QueueLimits(2, 10_000, 0.5, 100), QueueRejectionReason.TENANT_QUOTA),
        (QueueLimits(9, 30, 0.5, 100), QueueRejectionReason.TENANT_QUOTA),
        (QueueLimits(9, 10_000, 1.0, 9), QueueRejectionReason.TOO_LARGE),
    ],
)
def test_each_limit_is_told_apart(
    db: sqlite3.Connection, limits: QueueLimits, why: QueueRejectionReason
) -> None:
    put(db, "a")
    second = asked("b", size=20 if why is QueueRejectionReason.MAX_BYTES else 10)
    with pytest.raises(QueueError) as told:
        within(db, lambda db: transitions.enqueue(db, second, NOW_S, limits))
    assert told.value.reason is why
    if why is QueueRejectionReason.TENANT_QUOTA:  # another one still gets in
        assert within(db, lambda db: transitions.enqueue(db, asked("b", "yard"), NOW_S, limits))
    with pytest.raises(QueueError) as late:
        within(db, lambda db: transitions.enqueue(db, asked("c"), NOW_S + 100, LIMITS))
    assert late.value.reason is QueueRejectionReason.ALREADY_EXPIRED


def test_a_key_that_is_known_gives_its_entry_and_makes_none(db: sqlite3.Connection) -> None:
    first = within(db, lambda db: transitions.enqueue(db, asked("a", key="k"), NOW_S, LIMITS))
    again = within(db, lambda db: transitions.enqueue(db, asked("b", key="k"), NOW_S, LIMITS))
    other = within(db, lambda db: transitions.enqueue(db, asked("c", "yard", key="k"), NOW_S, LIMITS))
    assert first.name == again.name == "a" and other.name == "c"


ACTS = st.sampled_from("put begin refused failed served withdraw adopt expire purge".split())


@settings(max_examples=60, deadline=None)
@given(acts=st.lists(st.tuples(ACTS, st.integers(0, 5), st.booleans(), st.integers(1, 4)), max_size=60))
def test_whatever_happens_each_entry_gets_one_end_and_tokens_only_grow(
    acts: list[tuple[str, int, bool, int]],
) -> None:
    """Any order of steps, by holders with any token; what is allowed, the steps decide."""
    with tempfile.TemporaryDirectory() as folder:
        db = schema.connect(Path(folder) / "queue.db", 1.0)
        seen, ends, sent = 0, dict[str, EntryOutcome](), dict[str, int]()
        for number, (act, place, safe, token) in enumerate(acts):
            name, now_s = f"{place}", NOW_S + number
            if act == "put" and queries.get_entry(db, name) is None and name not in ends:
                new = asked(name, f"t{place % 2}", safe)
                within(db, partial(transitions.enqueue, request=new, now_s=now_s, limits=LIMITS))
            calls: dict[str, Callable[[sqlite3.Connection], object]] = {
                "begin": partial(transitions.begin_attempt, name=name, token=token, now_s=now_s),
                "refused": partial(
                    transitions.record_failed_attempt,
                    name=name,
                    token=token,
                    may_have_run=False,
                    max_attempts=3,
                    now_s=now_s,
                ),
                "failed": partial(
                    transitions.record_failed_attempt,
                    name=name,
                    token=token,
                    may_have_run=True,
                    max_attempts=3,
                    now_s=now_s,
                ),
                "served": partial(
                    transitions.complete,
                    name=name,
                    token=token,
                    outcome=EntryOutcome.SERVED,
                    response=b"{}",
                    now_s=now_s,
                ),
                "withdraw": partial(transitions.withdraw, name=name, now_s=now_s),
                "adopt": partial(transitions.adopt, token=token, now_s=now_s),
                "expire": partial(transitions.expire, now_s=now_s + 60),
                "purge": partial(transitions.purge, now_s=now_s, retention_s=5.0),
            }
            try:
                told = within(db, calls[act]) if act in calls else None
            except (StaleTokenError, InvalidTransitionError):
                told = None
            if act == "begin" and isinstance(told, Entry) and told.state is EntryState.BEGUN:
                assert told.request.idempotent or not sent.get(name), "a booking was begun twice"
                assert told.token == queries.highest_token(db)
                sent[name] = sent.get(name, 0) + 1
            elif act == "refused" and isinstance(told, Entry):
                sent[name] = 0  # it did not run
            assert queries.highest_token(db) >= seen
            seen = queries.highest_token(db)
            for each in map(str, range(6)):
                entry = queries.get_entry(db, each)
                if entry is not None and entry.outcome is not None:
                    assert ends.setdefault(each, entry.outcome) is entry.outcome, "two ends"
                elif entry is not None:
                    assert each not in ends, "an end was taken back"
            counted = "SELECT tenant, sum(state < 2) FROM entries GROUP BY tenant HAVING sum(state < 2)"
            totals = "SELECT tenant, entries FROM totals WHERE entries ORDER BY tenant"
            assert db.execute(counted).fetchall() == db.execute(totals).fetchall()
        db.close()
