"""Sessions of resumable streams: what an answer has said so far, for a client that comes back."""

from __future__ import annotations

import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

import anyio

from ringledge.core.records import Record


class SessionEnd(Enum):
    """How a session's answer ended."""

    SERVED = "served"
    BROKEN = "broken"  # mid-answer: it may go on from its last token
    REJECTED = "refused"
    FAILED = "failed"
    CLIENT_DISCONNECTED = "gone"  # its client left before the first token


class SessionFollower(Protocol):
    """A connection that follows a session."""

    def peer_gone(self) -> bool:
        """Whether its client has closed it."""


@dataclass(slots=True, eq=False)
class StreamSession:
    """One answer. Its events are kept by number, so that any of them can be sent again, none twice."""

    name: str
    question: dict[str, Any]  # the client's request as it was understood
    class_index: int
    max_tokens: float  # tokens that the answer may have in all
    size_bytes: int = 0  # bytes of the question and the answer so far
    resume_count: int = 0  # how often the answer has gone on after a break
    record: Record | None = None  # the request that the core runs for it now
    events: list[str] = field(default_factory=list)  # the text of each event; its number is its place + 1
    finish_reason: str | None = None
    usage: dict[str, Any] | None = None
    end: SessionEnd | None = None
    retry_after_ms: float | None = None
    created_s: int = field(default_factory=lambda: int(time.time()))
    last_used_s: float = field(default_factory=time.monotonic)
    followers: set[SessionFollower] = field(default_factory=set)  # connections that follow it now
    updated: anyio.Event = field(default_factory=anyio.Event)

    @property
    def abandoned(self) -> bool:
        """Whether it has not begun and all that followed it have left: it is given up."""
        begun = self.record is not None and self.record.streaming
        return self.end is None and not begun and all(each.peer_gone() for each in self.followers)

    @property
    def text(self) -> str:
        """The answer so far."""
        return "".join(self.events)

    def notify_followers(self) -> None:
        """Wake those that follow it."""
        self.last_used_s = time.monotonic()
        self.updated.set()
        self.updated = anyio.Event()


class StreamSessionStore:
    """The sessions by name, bounded in number and age; a running one is never dropped."""

    def __init__(self, most: int, most_bytes: float, keep_s: float) -> None:
        self.max_sessions, self.max_bytes, self.retention_s = most, most_bytes, keep_s
        self._sessions: dict[str, StreamSession] = {}
        self._names_by_key: dict[str, str] = {}  # idempotency keys: the session that each has begun

    def __len__(self) -> int:
        """How many are kept."""
        return len(self._sessions)

    def make_room(self) -> bool:
        """Make room for one more at the cost of the oldest that has ended; False if all still run."""
        self.evict_expired()
        while len(self._sessions) >= self.max_sessions or self.size_bytes() > self.max_bytes:
            ended = list(self._ended())
            if not ended:
                return False
            self._delete(min(ended, key=lambda each: each.last_used_s))
        return True

    def size_bytes(self) -> int:
        """How many bytes are kept, of answers that run and of those that ended."""
        return sum(each.size_bytes for each in self._sessions.values())

    def evict(self, size: int) -> int:
        """Drop answers that have ended, those longest untouched first, until so many bytes are free."""
        dropped = 0
        for each in sorted(self._ended(), key=lambda each: each.last_used_s):
            if dropped >= size:
                break
            dropped += each.size_bytes
            self._delete(each)
        return dropped

    def add(self, session: StreamSession, key: str | None) -> None:
        """Keep a new session, and the idempotency key that it answers to."""
        self._sessions[session.name] = session
        if key:
            self._names_by_key[key] = session.name

    def get(self, name: str) -> StreamSession | None:
        """The session of that name."""
        return self._sessions.get(name)

    def get_by_idempotency_key(self, key: str) -> StreamSession | None:
        """The session that was begun with that idempotency key."""
        return self._sessions.get(self._names_by_key.get(key, ""))

    def evict_expired(self) -> None:
        """Drop those that ended and that nobody has asked for in a while."""
        old = time.monotonic() - self.retention_s
        for each in list(self._ended()):
            if each.last_used_s < old:
                self._delete(each)

    def _ended(self) -> Iterator[StreamSession]:
        return (each for each in self._sessions.values() if each.end and not each.followers)

    def _delete(self, session: StreamSession) -> None:
        del self._sessions[session.name]
        self._names_by_key = {key: name for key, name in self._names_by_key.items() if name != session.name}
