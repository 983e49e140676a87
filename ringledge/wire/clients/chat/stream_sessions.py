"""Sessions of resumable streams: what an answer has said so far, for a client that comes back."""

from __future__ import annotations

import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

import anyio

from ringledge.core.records import Record


class End(Enum):
    """How a session's answer ended."""

    SERVED = "served"
    BROKEN = "broken"  # mid-answer: it may go on from its last token
    REFUSED = "refused"
    FAILED = "failed"
    GONE = "gone"  # its client left before the first token


class Follower(Protocol):
    """A connection that follows a session."""

    def peer_gone(self) -> bool:
        """Whether its client has closed it."""


@dataclass(slots=True, eq=False)
class Session:
    """One answer. Its events are kept by number, so that any of them can be sent again, none twice."""

    name: str
    question: dict[str, Any]  # the client's request as it was understood
    class_index: int
    limit: float  # tokens that the answer may have in all
    size: int = 0  # bytes of the question and the answer so far
    resumed: int = 0  # how often the answer has gone on after a break
    record: Record | None = None  # the request that the core runs for it now
    events: list[str] = field(default_factory=list)  # the text of each event; its number is its place + 1
    finish_reason: str | None = None
    usage: dict[str, Any] | None = None
    end: End | None = None
    come_back_ms: float | None = None
    created: int = field(default_factory=lambda: int(time.time()))
    touched: float = field(default_factory=time.monotonic)
    followers: set[Follower] = field(default_factory=set)  # connections that follow it now
    news: anyio.Event = field(default_factory=anyio.Event)

    @property
    def abandoned(self) -> bool:
        """Whether it has not begun and all that followed it have left: it is given up."""
        begun = self.record is not None and self.record.streaming
        return self.end is None and not begun and all(each.peer_gone() for each in self.followers)

    @property
    def text(self) -> str:
        """The answer so far."""
        return "".join(self.events)

    def changed(self) -> None:
        """Wake those that follow it."""
        self.touched = time.monotonic()
        self.news.set()
        self.news = anyio.Event()


class Sessions:
    """The sessions by name, bounded in number and age; a running one is never dropped."""

    def __init__(self, most: int, most_bytes: float, keep_s: float) -> None:
        self.most, self.most_bytes, self.keep_s = most, most_bytes, keep_s
        self._sessions: dict[str, Session] = {}
        self._keys: dict[str, str] = {}  # idempotency keys: the session that each has begun

    def __len__(self) -> int:
        """How many are kept."""
        return len(self._sessions)

    def room(self) -> bool:
        """Make room for one more at the cost of the oldest that has ended; False if all still run."""
        self.reap()
        while len(self._sessions) >= self.most or self.size() > self.most_bytes:
            ended = list(self._ended())
            if not ended:
                return False
            self._drop(min(ended, key=lambda each: each.touched))
        return True

    def size(self) -> int:
        """How many bytes are kept, of answers that run and of those that ended."""
        return sum(each.size for each in self._sessions.values())

    def give_up(self, size: int) -> int:
        """Drop answers that have ended, those longest untouched first, until so many bytes are free."""
        dropped = 0
        for each in sorted(self._ended(), key=lambda each: each.touched):
            if dropped >= size:
                break
            dropped += each.size
            self._drop(each)
        return dropped

    def add(self, session: Session, key: str | None) -> None:
        """Keep a new session, and the idempotency key that it answers to."""
        self._sessions[session.name] = session
        if key:
            self._keys[key] = session.name

    def get(self, name: str) -> Session | None:
        """The session of that name."""
        return self._sessions.get(name)

    def by_key(self, key: str) -> Session | None:
        """The session that was begun with that idempotency key."""
        return self._sessions.get(self._keys.get(key, ""))

    def reap(self) -> None:
        """Drop those that ended and that nobody has asked for in a while."""
        old = time.monotonic() - self.keep_s
        for each in list(self._ended()):
            if each.touched < old:
                self._drop(each)

    def _ended(self) -> Iterator[Session]:
        return (each for each in self._sessions.values() if each.end and not each.followers)

    def _drop(self, session: Session) -> None:
        del self._sessions[session.name]
        self._keys = {key: name for key, name in self._keys.items() if name != session.name}
