"""What each member tells all others: small versioned records, one writer each, gone with their writer.

A change is pushed to a few others, and by each who hears it first to a few more. What that misses is found
by comparing: each interval a member sends another its sums over the rows of sixteen buckets of writers; for
those that differ it is answered with rows, and asks for or sends the records between. A writer's restart
takes the place of all it said before; what one who died or left said is forgotten after a stated time.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable

from ringledge.decide.datagram import validated_name
from ringledge.decide.interface import Action, Member, SendMessage
from ringledge.decide.paging import BUCKET_COUNT, bucket_of, encoded_size, paginate
from ringledge.decide.records.messages import (
    KEY_MOST,
    MESSAGES,
    ROOM_BYTES,
    VALUE_MOST,
    Message,
    Record,
    Records,
    Row,
    Rows,
    Sums,
    Wants,
)
from ringledge.decide.records.settings import RecordsConfig
from ringledge.decide.records.writer_log import Book, rows_pages

__all__ = ["MESSAGES", "ReplicatedRecords"]

KEYS_MOST = 1024  # of one writer, those taken back too: they are kept, so that their end is heard of by all
PUSH_S = 0.02  # that a change waits for others that go with it
HURRY = 4  # times as soon the next comparison follows one that brought something
ANSWER_S = 0.2  # in which one who was asked answers: several times the way there and back
ROWS_PAGES = 2  # datagrams of rows that answer sums; the rest comes with later sums, for they are shuffled
LARGEST = (1 << 53) - 1  # a version at its longest, to tell what always fits


class ReplicatedRecords:
    """One member's side of the facts; implements Facts and Decider. Told by `members` of who is there."""

    def __init__(self, me: Member, settings: RecordsConfig, rng: random.Random) -> None:
        validated_name(me.name)
        self.me, self._settings, self._rng = me, settings, rng
        self._own = Book(me.name, me.start)
        self._books = {me.name: self._own}
        self._sums = [0] * BUCKET_COUNT
        self._there: dict[str, int] = {me.name: me.start}
        self._gone: dict[str, float] = {}  # writers who aren't there: when what they said is forgotten
        self._pushes: dict[tuple[str, str], Record] = {}
        self._asked: dict[
            str, tuple[str, float]
        ] = {}  # by writer: who was asked, and until when it may answer
        self._push_s = math.inf
        self._compare_s = -math.inf

    def write(self, now_s: float, key: str, value: bytes) -> None:
        """Say something under a key of our own; ValueError: it is too long, or there are too many keys."""
        if not 0 < len(key.encode()) <= KEY_MOST or len(value) > VALUE_MOST:
            raise ValueError(f"a fact has a key of 1 to {KEY_MOST} bytes and a value of {VALUE_MOST} at most")
        if encoded_size(Record(self.me.name, self.me.start, LARGEST, LARGEST, key, value)) > ROOM_BYTES:
            raise ValueError(f"fact {key!r}: longer than a datagram with its writer's name")
        if self._own.value(key) is None and self._own.keys() >= KEYS_MOST and not self._own.used(key):
            raise ValueError(f"fact {key!r}: more than {KEYS_MOST} keys of one writer")
        if self._own.value(key) != value:
            self._write(now_s, key, value)

    def delete(self, now_s: float, key: str) -> None:
        """Take a key of our own back."""
        if self._own.value(key) is not None:
            self._write(now_s, key, None)

    def values(self, now_s: float, prefix: str) -> dict[tuple[str, str], bytes]:
        """What is known under keys with a prefix, by writer's name and key."""
        return {
            (writer, key): value
            for writer, book in self._books.items()
            if self._gone.get(writer, math.inf) > now_s
            for key, value in book.values(prefix)
        }

    def members(self, now_s: float, me: Member, alive: Iterable[Member]) -> None:
        """Who is there now; `me` with a new start says all it said again, under that."""
        there = {each.name: each.start for each in alive}
        there[me.name] = me.start
        if me.start != self.me.start:
            self._restart(now_s, me)
        for name in self._there.keys() - there.keys():
            if name in self._books:
                self._gone[name] = now_s + self._settings.lifetime_s
        for name, start in there.items():
            self._gone.pop(name, None)
            book = self._books.get(name)
            if book is not None and book.start < start:
                self._forget(name)
        self._there = there

    def next_s(self) -> float:
        """When the next tick is wanted."""
        return min(self._push_s, self._compare_s, min(self._gone.values(), default=math.inf))

    def tick(self, now_s: float) -> list[Action]:
        """Push changes, compare with another member, and forget who is long gone."""
        for name in [each for each, until_s in self._gone.items() if until_s <= now_s]:
            del self._gone[name]
            self._forget(name)
        actions: list[Action] = []
        if now_s >= self._push_s:
            self._push_s = math.inf
            changed, self._pushes = list(self._pushes.values()), {}
            told = self._others(self._settings.fan_out)
            for page in paginate(changed, ROOM_BYTES):
                actions += [SendMessage(name, Records(page, pushed=True)) for name in told]
        if now_s >= self._compare_s:
            self._compare_s = now_s + self._settings.interval_s * self._rng.uniform(
                0.9, 1.1
            )  # not all at once
            actions += [SendMessage(name, Sums(tuple(self._sums))) for name in self._others(1)]
        return actions

    def receive(self, now_s: float, sender: str, message: Message) -> list[Action]:
        """Take a message."""
        match message:
            case Sums(sums):
                return self._rows(sender, sums)
            case Rows(rows, whole):
                return self._compare(now_s, sender, rows, whole)
            case Wants(rows):
                return self._answer(sender, rows)
            case Records(records, pushed):
                for record in records:
                    self._take(now_s, record, pushed)
                return []

    def _write(self, now_s: float, key: str, value: bytes | None) -> None:
        self._count(self._own)
        self._push(now_s, self._own.put(key, value))
        self._count(self._own)

    def _push(self, now_s: float, record: Record) -> None:
        self._pushes[record.writer, record.key] = record
        self._push_s = min(self._push_s, now_s + PUSH_S)

    def _restart(self, now_s: float, me: Member) -> None:
        said = list(self._own.values(""))
        self._forget(self.me.name)
        self.me = me
        self._own = self._books[me.name] = Book(me.name, me.start)
        for key, value in said:
            self._write(now_s, key, value)

    def _forget(self, name: str) -> None:
        self._asked.pop(name, None)
        if (book := self._books.pop(name, None)) is not None:
            self._count(book)

    def _count(self, book: Book) -> None:
        """Take a book into the sum of its bucket, or out of it again."""
        if book.version:
            self._sums[bucket_of(book.writer)] ^= book.mark()

    def _others(self, most: int) -> list[str]:
        others = [name for name in self._there if name != self.me.name]
        return self._rng.sample(others, min(most, len(others)))

    def _rows(self, sender: str, sums: tuple[int, ...]) -> list[Action]:
        """Rows of the buckets that differ; shuffled, since not all may have room."""
        both = enumerate(zip(self._sums, sums, strict=True))
        differ = [at for at, (mine, theirs) in both if mine != theirs]
        self._rng.shuffle(differ)
        groups = [(at, self._bucket(at)) for at in differ]
        return [SendMessage(sender, each) for each in rows_pages(groups, ROOM_BYTES)[:ROWS_PAGES]]

    def _bucket(self, at: int) -> list[Row]:
        return [each.row() for each in self._books.values() if each.version and bucket_of(each.writer) == at]

    def _compare(self, now_s: float, sender: str, rows: tuple[Row, ...], whole: int) -> list[Action]:
        """Send what the other lacks, and ask for what it has more."""
        wants: list[Row] = []
        told = {row.writer for row in rows}
        behind = [
            Row(each.writer, each.start, 0)
            for each in self._books.values()
            if each.version and whole >> bucket_of(each.writer) & 1 and each.writer not in told
        ]
        for row in rows:
            book = self._books.get(row.writer)
            start, version = (0, 0) if book is None else (book.start, book.version)
            if (row.start, row.version) < (start, version):
                behind.append(row)
            elif (row.start, row.version) > (start, version) and self._may_ask(now_s, sender, row):
                self._asked[row.writer] = (sender, now_s + ANSWER_S)
                wants.append(Row(row.writer, row.start, version if row.start == start else 0))
        if wants:  # there may be more, here or elsewhere
            self._compare_s = min(self._compare_s, now_s + self._settings.interval_s / HURRY)
        asked: list[Action] = [SendMessage(sender, Wants(page)) for page in paginate(wants, ROOM_BYTES)]
        return self._answer(sender, tuple(behind)) + asked

    def _answer(self, sender: str, rows: tuple[Row, ...]) -> list[Action]:
        """Records that the other lacks, so many at once, then rows, by which it asks again for the rest."""
        lacking: list[Record] = []
        for row in rows:
            if (book := self._books.get(row.writer)) is not None and book.start >= row.start:
                lacking += book.after(row.version if book.start == row.start else 0)
        groups = paginate(lacking, ROOM_BYTES)[: self._settings.answer]
        if not groups:
            return []
        told = paginate(
            [self._books[row.writer].row() for row in rows if row.writer in self._books], ROOM_BYTES
        )
        return [SendMessage(sender, each) for each in (*map(Records, groups), *map(Rows, told[:1]))]

    def _may_ask(self, now_s: float, sender: str, row: Row) -> bool:
        """One at a time is asked for a writer's records, so that they don't come twice."""
        asked, until_s = self._asked.get(row.writer, (sender, 0.0))
        return (asked == sender or until_s <= now_s) and self._welcome(row.writer, row.start)

    def _welcome(self, writer: str, start: int) -> bool:
        """Whether something of this writer may be held: it is there, or was and isn't forgotten yet."""
        if writer == self.me.name:
            return False
        if writer in self._there:
            return start >= self._there[writer]
        return writer in self._gone and start == self._books[writer].start

    def _take(self, now_s: float, record: Record, pushed: bool) -> None:
        if not self._welcome(record.writer, record.start):
            return
        book = self._books.get(record.writer)
        if book is not None and record.start > book.start:
            self._forget(record.writer)
            book = None
        if book is None:
            book = self._books[record.writer] = Book(record.writer, record.start)
        if record.start < book.start:
            return
        self._count(book)
        fresh = book.take(record)
        self._count(book)
        if fresh and pushed:
            self._push(now_s, record)
