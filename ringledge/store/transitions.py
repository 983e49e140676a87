"""What can be done to the queue, each step whole within a transaction that the worker opens and commits.

    (nothing) -- enqueue --> waiting -- begin --> begun -- finish --> ended(served, failed, unknown)
                             waiting <- give_back - begun
                             waiting -- expire, withdraw --> ended(expired, withdrawn)
                             begun under an older token -- adopt --> waiting, or ended(unknown)

Each step reads the state that it starts from, so each entry gets one end. What the replay duty does carries
its token: one below the highest that the file has seen is refused in the same transaction. Expiry and
withdrawal need no token: they only end what is not under way.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator
from dataclasses import dataclass, replace
from math import inf

from ringledge.store.entry import Asked, End, Entry, MovedError, StaleError, State, StoreError, Why
from ringledge.store.queries import highest
from ringledge.store.seal import COLUMNS, SpoiltError, from_row, to_row

AT_ONCE = 256  # entries that expire or are removed in one step: a transaction stays short
RESERVE = 4 * 1024 * 1024  # bytes left free by new entries, so that those there can still be begun and ended
SPOILT = b"the entry is spoilt on the disk; it may have run"


@dataclass(slots=True, frozen=True)
class Limits:
    """How much is queued at most."""

    entries: int
    most_bytes: int
    tenant_share: float
    entry_bytes: int


@dataclass(slots=True, frozen=True)
class Adopted:
    """What a new holder of the duty found begun by its predecessors."""

    again: int  # they may run twice, and wait again
    unknown: tuple[str, ...]  # they must not


def enqueue(db: sqlite3.Connection, asked: Asked, now_s: float, limits: Limits, free: float = inf) -> Entry:
    """Put a request in, or find the one with its key; StoreError tells which limit forbids it.

    `free`: bytes that the disk still has.
    """
    if asked.key is not None:
        known = db.execute("SELECT name FROM entries WHERE tenant = ? AND key = ?", (asked.tenant, asked.key))
        if (row := known.fetchone()) is not None:
            return _must(db, row[0])
    size = len(asked.question)
    if asked.expires_s <= now_s:
        raise StoreError(Why.AGE, "it would have expired before it was sent")
    if size > limits.entry_bytes:
        raise StoreError(Why.LARGE, f"{size} bytes; {limits.entry_bytes} are allowed")
    totals = "SELECT coalesce(sum(entries), 0), coalesce(sum(bytes), 0) FROM totals"
    entries, held = db.execute(totals).fetchone()
    if entries >= limits.entries:
        raise StoreError(Why.ENTRIES, f"{entries} entries are queued")
    if held + size > limits.most_bytes:
        raise StoreError(Why.BYTES, f"{held} bytes are kept")
    entries, held = db.execute(totals + " WHERE tenant = ?", (asked.tenant,)).fetchone()
    share = limits.tenant_share
    if entries >= limits.entries * share or held + size > limits.most_bytes * share:
        raise StoreError(Why.TENANT, f"this tenant has {entries} entries of {held} bytes")
    if min(free, _room(db)) < RESERVE + 2 * size:  # twice: in the log, then in the file
        raise StoreError(Why.DISK, "little room is left on the disk")
    entry = Entry(asked, State.WAITING, 0, 0)
    marks = ", ".join("?" * 16)
    db.execute(f"INSERT INTO entries ({COLUMNS}, seal) VALUES ({marks})", to_row(entry))
    return entry


def get(db: sqlite3.Connection, name: str) -> Entry | None:
    """The entry of that name; one that is spoilt reads as ended, unknown."""
    row = db.execute(f"SELECT {COLUMNS}, seal FROM entries WHERE name = ?", (name,)).fetchone()
    if row is None:
        return None
    try:
        return from_row(row)
    except SpoiltError:
        columns = [value if isinstance(value, str) else "" for value in row[:3]]
        asked = Asked(name, columns[1], columns[2], False, b"", 0.0, 0.0, 0.0)
        return Entry(asked, State.ENDED, 0, 0, 0.0, End.UNKNOWN, SPOILT)


def by_key(db: sqlite3.Connection, tenant: str, key: str) -> Entry | None:
    """The entry that a tenant's idempotency key has put in."""
    told = db.execute("SELECT name FROM entries WHERE tenant = ? AND key = ?", (tenant, key)).fetchone()
    return None if told is None else get(db, told[0])


def withdraw(db: sqlite3.Connection, name: str, now_s: float) -> Entry:
    """Its client takes a waiting entry back; MovedError once it has begun or ended."""
    entry = _in_state(db, name, State.WAITING)
    return _put(db, _ended(entry, End.WITHDRAWN, b"", now_s))


def adopt(db: sqlite3.Connection, token: int, now_s: float) -> Adopted:
    """A new holding of the duty: from here on older tokens are refused, what they had begun is settled."""
    seen = highest(db)
    if token < seen:
        raise StaleError(f"token {token}, {seen} was seen")
    db.execute("UPDATE meta SET value = ? WHERE name = 'token'", (token,))
    again, unknown = 0, []
    for entry in list(_under_way(db)):
        if entry.state is State.BEGUN and entry.token >= token:
            continue  # begun under this very holding
        if entry.state is State.BEGUN and entry.asked.safe:
            _put(db, replace(entry, state=State.WAITING, token=token))
            again += 1
        else:  # it must not run twice, or its row can't be believed
            why = entry.answer or b"its holder died or lost the duty after it was begun; it may have run"
            _put(db, _ended(replace(entry, token=token), End.UNKNOWN, why, now_s))
            unknown.append(entry.name)
    return Adopted(again, tuple(unknown))


def begin(db: sqlite3.Connection, name: str, token: int, now_s: float) -> Entry:
    """Write down that an attempt starts. Only what comes back as begun may be sent; it may have expired."""
    _fence(db, token)
    entry = _must(db, name)
    if entry.answer is SPOILT:  # its row may well stand among those that wait, and would stay there
        return _put(db, replace(entry, ended_s=now_s))
    _check(entry, State.WAITING)
    if entry.asked.expires_s <= now_s:
        return _put(db, _too_late(entry, now_s))
    begun = replace(entry, state=State.BEGUN, token=token, attempts=entry.attempts + 1)
    return _put(db, begun)


def give_back(db: sqlite3.Connection, name: str, token: int, ran: bool, most: int, now_s: float) -> Entry:
    """An attempt did not serve it. `ran`: it may have run, so it waits again only if safe, `most` times."""
    _fence(db, token)
    entry = _in_state(db, name, State.BEGUN)
    if ran and not entry.asked.safe:
        return _put(db, _ended(entry, End.UNKNOWN, b"it may have run, and is not run again", now_s))
    if ran and entry.attempts >= most:
        return _put(db, _ended(entry, End.FAILED, b"it failed %d times" % entry.attempts, now_s))
    # What was refused before it ran counts as no attempt, else a full fleet would use them up.
    attempts = entry.attempts if ran else entry.attempts - 1
    return _put(db, replace(entry, state=State.WAITING, attempts=attempts))


def finish(db: sqlite3.Connection, name: str, token: int, end: End, answer: bytes, now_s: float) -> Entry:
    """What was begun has its end."""
    _fence(db, token)
    return _put(db, _ended(_in_state(db, name, State.BEGUN), end, answer, now_s))


def expire(db: sqlite3.Connection, now_s: float) -> tuple[str, ...]:
    """End what has waited too long, the oldest first, some at a time; their names."""
    told = "SELECT name FROM entries WHERE state = 0 AND expires_s <= ? ORDER BY expires_s LIMIT ?"
    names = tuple(row[0] for row in db.execute(told, (now_s, AT_ONCE)).fetchall())
    for name in names:
        entry = _must(db, name)
        if entry.state is State.WAITING:
            entry = _too_late(entry, now_s)
        _put(db, entry)
    return names


def purge(db: sqlite3.Connection, now_s: float, keep_s: float) -> int:
    """Remove ends that were kept for long enough, some at a time; how many."""
    told = """DELETE FROM entries WHERE seq IN
        (SELECT seq FROM entries WHERE state = 2 AND ended_s <= ? ORDER BY ended_s LIMIT ?)"""
    return db.execute(told, (now_s - keep_s, AT_ONCE)).rowcount


def _fence(db: sqlite3.Connection, token: int) -> None:
    """Only the holding that adopted the queue last may go on."""
    if token != (seen := highest(db)):
        raise StaleError(f"token {token}, {seen} was seen")


def _room(db: sqlite3.Connection) -> int:
    """Bytes that the file may still grow by."""
    told = "SELECT * FROM pragma_max_page_count, pragma_page_count, pragma_freelist_count, pragma_page_size"
    most, pages, unused, size = db.execute(told).fetchone()
    return int((most - pages + unused) * size)


def _must(db: sqlite3.Connection, name: str) -> Entry:
    entry = get(db, name)
    if entry is None:
        raise MovedError(f"{name} is gone")
    return entry


def _in_state(db: sqlite3.Connection, name: str, state: State) -> Entry:
    entry = _must(db, name)
    _check(entry, state)
    return entry


def _check(entry: Entry, state: State) -> None:
    if entry.state is not state:
        raise MovedError(f"{entry.name} is {entry.state.name.lower()}, not {state.name.lower()}")


def _under_way(db: sqlite3.Connection) -> Iterator[Entry]:
    for (name,) in db.execute("SELECT name FROM entries WHERE state = 1 ORDER BY seq").fetchall():
        yield _must(db, name)


def _ended(entry: Entry, end: End, answer: bytes, now_s: float) -> Entry:
    return replace(entry, state=State.ENDED, end=end, answer=answer, ended_s=now_s)


def _too_late(entry: Entry, now_s: float) -> Entry:
    """Expired means never sent; what was sent in vain has failed."""
    if entry.attempts:
        return _ended(entry, End.FAILED, b"it failed until its time was up", now_s)
    return _ended(entry, End.EXPIRED, b"", now_s)


def _put(db: sqlite3.Connection, entry: Entry) -> Entry:
    """Write a row anew, sealed."""
    sets = ", ".join(f"{column} = ?" for column in (*COLUMNS.split(", "), "seal"))
    db.execute(f"UPDATE entries SET {sets} WHERE name = ?", (*to_row(entry), entry.name))
    return entry
