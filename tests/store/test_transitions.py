"""Scenarios of the state machine of an entry."""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from functools import partial

import pytest

from ringledge.store import queries, transitions
from ringledge.store.admission import QueueLimits
from ringledge.store.entry import Entry, EntryOutcome, EntryState, InvalidTransitionError, StaleTokenError
from ringledge.store.errors import StoreError, StoreRejectionReason
from tests.store.helpers import LIFETIME_S, LIMITS, NOW_S, db, in_transaction, queued_request

__all__ = ["db"]

Step = Callable[[sqlite3.Connection], object]


def enqueue(db: sqlite3.Connection, name: str, idempotent: bool = True, tenant: str = "farm") -> Entry:
    request = queued_request(name, tenant, idempotent)
    return in_transaction(db, lambda db: transitions.enqueue(db, request, NOW_S, LIMITS))


def adopt(db: sqlite3.Connection, token: int) -> transitions.AdoptionResult:
    return in_transaction(db, lambda db: transitions.adopt(db, token, NOW_S))


def begin_attempt(db: sqlite3.Connection, name: str, token: int, now_s: float = NOW_S) -> Entry:
    return in_transaction(db, lambda db: transitions.begin_attempt(db, name, token, now_s))


def test_adoption_ends_a_begun_non_idempotent_entry_as_unknown_and_requeues_others(
    db: sqlite3.Connection,
) -> None:
    enqueue(db, "idempotent")
    enqueue(db, "booking", idempotent=False)
    adopt(db, 5)
    for name in ("idempotent", "booking"):
        assert begin_attempt(db, name, 5).state is EntryState.BEGUN

    result = adopt(db, 6)

    assert result.requeued == 1 and result.unknown == ("booking",)
    booking = queries.get_entry(db, "booking")
    assert booking is not None and booking.outcome is EntryOutcome.UNKNOWN
    with pytest.raises(InvalidTransitionError):
        begin_attempt(db, "booking", 6)


def test_a_stale_token_is_rejected_and_changes_nothing(db: sqlite3.Connection) -> None:
    enqueue(db, "a")
    adopt(db, 5)
    begin_attempt(db, "a", 5)
    adopt(db, 9)
    stale_steps: tuple[Step, ...] = (
        lambda db: transitions.begin_attempt(db, "a", 5, NOW_S),
        lambda db: transitions.complete(db, "a", 5, EntryOutcome.SERVED, b"{}", NOW_S),
        lambda db: transitions.record_failed_attempt(db, "a", 5, True, 8, NOW_S),
        lambda db: transitions.adopt(db, 8, NOW_S),
    )

    for step in stale_steps:
        with pytest.raises(StaleTokenError):
            in_transaction(db, step)

    entry = queries.get_entry(db, "a")
    assert entry is not None and entry.state is EntryState.WAITING and queries.highest_token(db) == 9


def test_expired_entries_end_once_and_are_not_begun(db: sqlite3.Connection) -> None:
    enqueue(db, "a")
    enqueue(db, "b")
    adopt(db, 1)
    expiry_s = NOW_S + LIFETIME_S

    assert begin_attempt(db, "a", 1, expiry_s).outcome is EntryOutcome.EXPIRED
    assert in_transaction(db, lambda db: transitions.expire(db, expiry_s)) == ("b",)
    assert in_transaction(db, lambda db: transitions.expire(db, expiry_s)) == ()


def test_an_attempt_rejected_before_it_ran_does_not_count_towards_max_attempts(
    db: sqlite3.Connection,
) -> None:
    enqueue(db, "a")
    adopt(db, 1)
    rejected = partial(
        transitions.record_failed_attempt,
        name="a",
        token=1,
        may_have_run=False,
        max_attempts=2,
        now_s=NOW_S,
    )
    failed = partial(rejected, may_have_run=True)

    for _ in range(5):
        begin_attempt(db, "a", 1)
        assert in_transaction(db, rejected).state is EntryState.WAITING
    for outcome in (None, EntryOutcome.FAILED):
        begin_attempt(db, "a", 1)
        assert in_transaction(db, failed).outcome is outcome


def test_an_ended_entry_is_purged_after_its_retention(db: sqlite3.Connection) -> None:
    enqueue(db, "a")
    in_transaction(db, lambda db: transitions.withdraw(db, "a", NOW_S))

    assert in_transaction(db, lambda db: transitions.purge(db, NOW_S + 49, 50.0)) == 0
    assert queries.get_entry(db, "a") is not None
    assert in_transaction(db, lambda db: transitions.purge(db, NOW_S + 50, 50.0)) == 1
    assert queries.get_entry(db, "a") is None
    assert db.execute("SELECT entries, bytes FROM totals").fetchone() == (0, 0)


@pytest.mark.parametrize(
    ("limits", "reason"),
    [
        (QueueLimits(1, 10_000, 1.0, 100), StoreRejectionReason.MAX_ENTRIES),
        (QueueLimits(9, 25, 1.0, 100), StoreRejectionReason.MAX_BYTES),
        (QueueLimits(2, 10_000, 0.5, 100), StoreRejectionReason.TENANT_QUOTA),
        (QueueLimits(9, 30, 0.5, 100), StoreRejectionReason.TENANT_QUOTA),
        (QueueLimits(9, 10_000, 1.0, 9), StoreRejectionReason.TOO_LARGE),
    ],
)
def test_enqueue_beyond_a_limit_is_rejected_with_the_limits_reason(
    db: sqlite3.Connection, limits: QueueLimits, reason: StoreRejectionReason
) -> None:
    enqueue(db, "a")
    second = queued_request("b", size=20 if reason is StoreRejectionReason.MAX_BYTES else 10)

    with pytest.raises(StoreError) as rejection:
        in_transaction(db, lambda db: transitions.enqueue(db, second, NOW_S, limits))
    assert rejection.value.reason is reason
    if reason is StoreRejectionReason.TENANT_QUOTA:  # another tenant is still admitted
        other_tenant = queued_request("b", "yard")
        assert in_transaction(db, lambda db: transitions.enqueue(db, other_tenant, NOW_S, limits))
    expired = queued_request("c")
    with pytest.raises(StoreError) as late:
        in_transaction(db, lambda db: transitions.enqueue(db, expired, NOW_S + LIFETIME_S, LIMITS))
    assert late.value.reason is StoreRejectionReason.ALREADY_EXPIRED


def test_a_repeated_idempotency_key_returns_the_tenants_existing_entry(db: sqlite3.Connection) -> None:
    def enqueue_with_key(name: str, tenant: str = "farm") -> Entry:
        request = queued_request(name, tenant, idempotency_key="k")
        return in_transaction(db, lambda db: transitions.enqueue(db, request, NOW_S, LIMITS))

    first = enqueue_with_key("a")
    repeated = enqueue_with_key("b")
    other_tenant = enqueue_with_key("c", "yard")

    assert first.name == repeated.name == "a" and other_tenant.name == "c"
