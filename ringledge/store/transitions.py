"""State machine of an entry; each function runs in a transaction that the caller begins and commits.

    (none) -- enqueue --> waiting -- begin_attempt --> begun -- complete --> ended(served, failed, unknown)
                          waiting <- record_failed_attempt - begun
                          waiting -- expire, withdraw --> ended(expired, withdrawn)
                          begun under an older token -- adopt --> waiting, or ended(unknown)

Each transition reads the source state in the same transaction, so an entry ends only once. Calls of the lease
holder carry its fencing token, and a token other than the highest one in the file is rejected. Expiry and
withdrawal need no token, because they only end entries that are not in flight.
"""

from __future__ import annotations

import sqlite3
from dataclasses import dataclass, replace
from math import inf

from ringledge.store.admission import QueueLimits, check_limits
from ringledge.store.entry import (
    Entry,
    EntryOutcome,
    EntryState,
    InvalidTransitionError,
    QueuedRequest,
    StaleTokenError,
)
from ringledge.store.queries import CORRUPT_ENTRY_MESSAGE, get_entry, highest_token, name_by_idempotency_key
from ringledge.store.seal import COLUMNS, to_row

BATCH_SIZE = 256  # entries expired or purged in one transaction, to keep it short

PREDECESSOR_LOST_MESSAGE = b"its holder died or lost the duty after it was begun; it may have run"
MAY_HAVE_RUN_MESSAGE = b"it may have run, and is not run again"


@dataclass(slots=True, frozen=True)
class AdoptionResult:
    """Results for the entries that earlier lease holders had begun."""

    requeued: int  # number of idempotent entries, which wait again
    unknown: tuple[str, ...]  # names of the other entries, which have ended as unknown


def enqueue(
    db: sqlite3.Connection,
    request: QueuedRequest,
    now_s: float,
    limits: QueueLimits,
    free_disk_bytes: float = inf,
) -> Entry:
    """Insert a request, or return the entry with its idempotency key; StoreError if over a limit."""
    if request.idempotency_key is not None:
        name = name_by_idempotency_key(db, request.tenant, request.idempotency_key)
        if name is not None:
            return _get_existing(db, name)
    check_limits(db, request, now_s, limits, free_disk_bytes)
    entry = Entry(request, EntryState.WAITING, token=0, attempts=0)
    row = to_row(entry)
    placeholders = ", ".join("?" * len(row))
    db.execute(f"INSERT INTO entries ({COLUMNS}, seal) VALUES ({placeholders})", row)
    return entry


def withdraw(db: sqlite3.Connection, name: str, now_s: float) -> Entry:
    """Cancel a waiting entry for its client; raises InvalidTransitionError if it has begun or ended."""
    entry = _get_in_state(db, name, EntryState.WAITING)
    return _update(db, _ended(entry, EntryOutcome.WITHDRAWN, b"", now_s))


def adopt(db: sqlite3.Connection, token: int, now_s: float) -> AdoptionResult:
    """Fence off holders of older tokens, then requeue or end the entries that they had begun."""
    highest = highest_token(db)
    if token < highest:
        raise _stale_token(token, highest)
    db.execute("UPDATE meta SET value = ? WHERE name = 'token'", (token,))
    requeued = 0
    unknown = list[str]()
    for entry in _in_flight(db):
        if entry.state is EntryState.BEGUN and entry.token >= token:
            continue  # begun under the same token
        if entry.state is EntryState.BEGUN and entry.request.idempotent:
            _update(db, replace(entry, state=EntryState.WAITING, token=token))
            requeued += 1
            continue
        # The entry is not idempotent, or its row is corrupt, so that this is not known.
        message = entry.response or PREDECESSOR_LOST_MESSAGE
        _update(db, _ended(replace(entry, token=token), EntryOutcome.UNKNOWN, message, now_s))
        unknown.append(entry.name)
    return AdoptionResult(requeued, tuple(unknown))


def begin_attempt(db: sqlite3.Connection, name: str, token: int, now_s: float) -> Entry:
    """Record the start of an attempt; send the entry only if returned as BEGUN, as it may have expired."""
    _check_token(db, token)
    entry = _get_existing(db, name)
    if entry.response is CORRUPT_ENTRY_MESSAGE:
        # The index may still contain the corrupt row as waiting; this update removes it.
        return _update(db, replace(entry, ended_s=now_s))
    _check_state(entry, EntryState.WAITING)
    if entry.request.expires_s <= now_s:
        return _update(db, _expired(entry, now_s))
    begun = replace(entry, state=EntryState.BEGUN, token=token, attempts=entry.attempts + 1)
    return _update(db, begun)


def record_failed_attempt(
    db: sqlite3.Connection,
    name: str,
    token: int,
    may_have_run: bool,
    max_attempts: int,
    now_s: float,
) -> Entry:
    """Requeue or end an entry whose attempt has failed.

    An entry that may have run is requeued only if it is idempotent and has had fewer than `max_attempts`.
    An attempt that was rejected before it ran does not count, as overloaded servers would exhaust the limit.
    """
    _check_token(db, token)
    entry = _get_in_state(db, name, EntryState.BEGUN)
    if not may_have_run:
        return _update(db, replace(entry, state=EntryState.WAITING, attempts=entry.attempts - 1))
    if not entry.request.idempotent:
        return _update(db, _ended(entry, EntryOutcome.UNKNOWN, MAY_HAVE_RUN_MESSAGE, now_s))
    if entry.attempts >= max_attempts:
        message = b"it failed %d times" % entry.attempts
        return _update(db, _ended(entry, EntryOutcome.FAILED, message, now_s))
    return _update(db, replace(entry, state=EntryState.WAITING))


def complete(
    db: sqlite3.Connection,
    name: str,
    token: int,
    outcome: EntryOutcome,
    response: bytes,
    now_s: float,
) -> Entry:
    """End an entry that has begun."""
    _check_token(db, token)
    entry = _get_in_state(db, name, EntryState.BEGUN)
    return _update(db, _ended(entry, outcome, response, now_s))


def expire(db: sqlite3.Connection, now_s: float) -> tuple[str, ...]:
    """End a batch of expired waiting entries in order of expiry; returns their names."""
    expired = "SELECT name FROM entries WHERE state = 0 AND expires_s <= ? ORDER BY expires_s LIMIT ?"
    names = tuple(row[0] for row in db.execute(expired, (now_s, BATCH_SIZE)).fetchall())
    for name in names:
        entry = _get_existing(db, name)
        if entry.state is EntryState.WAITING:
            entry = _expired(entry, now_s)
        _update(db, entry)
    return names


def purge(db: sqlite3.Connection, now_s: float, retention_s: float) -> int:
    """Delete a batch of entries that ended at least `retention_s` ago; returns their number."""
    delete = """DELETE FROM entries WHERE seq IN
        (SELECT seq FROM entries WHERE state = 2 AND ended_s <= ? ORDER BY ended_s LIMIT ?)"""
    return db.execute(delete, (now_s - retention_s, BATCH_SIZE)).rowcount


def _check_token(db: sqlite3.Connection, token: int) -> None:
    """Raise StaleTokenError unless the token is the one that last adopted the queue."""
    highest = highest_token(db)
    if token != highest:
        raise _stale_token(token, highest)


def _stale_token(token: int, highest: int) -> StaleTokenError:
    return StaleTokenError(f"token {token} rejected, since {highest} is the highest one")


def _get_existing(db: sqlite3.Connection, name: str) -> Entry:
    entry = get_entry(db, name)
    if entry is None:
        raise InvalidTransitionError(f"{name} does not exist")
    return entry


def _get_in_state(db: sqlite3.Connection, name: str, state: EntryState) -> Entry:
    entry = _get_existing(db, name)
    _check_state(entry, state)
    return entry


def _check_state(entry: Entry, state: EntryState) -> None:
    if entry.state is not state:
        actual = entry.state.name.lower()
        raise InvalidTransitionError(f"{entry.name} is {actual}, not {state.name.lower()}")


def _in_flight(db: sqlite3.Connection) -> list[Entry]:
    rows = db.execute("SELECT name FROM entries WHERE state = 1 ORDER BY seq").fetchall()
    return [_get_existing(db, name) for (name,) in rows]


def _ended(entry: Entry, outcome: EntryOutcome, response: bytes, now_s: float) -> Entry:
    return replace(entry, state=EntryState.ENDED, outcome=outcome, response=response, ended_s=now_s)


def _expired(entry: Entry, now_s: float) -> Entry:
    """End an expired entry: as EXPIRED if it was never sent, and as FAILED after failed attempts."""
    if entry.attempts:
        return _ended(entry, EntryOutcome.FAILED, b"it failed until its time was up", now_s)
    return _ended(entry, EntryOutcome.EXPIRED, b"", now_s)


def _update(db: sqlite3.Connection, entry: Entry) -> Entry:
    """Write all columns of an entry's row, with a new checksum."""
    assignments = ", ".join(f"{column} = ?" for column in (*COLUMNS.split(", "), "seal"))
    db.execute(f"UPDATE entries SET {assignments} WHERE name = ?", (*to_row(entry), entry.name))
    return entry
