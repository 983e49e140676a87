"""Sessions of resumable streams: the events of each response so far, for clients that reconnect."""

from __future__ import annotations

import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any, Protocol

import anyio
import orjson

from ringledge.core.records import RequestRecord

if TYPE_CHECKING:
    from ringledge.wire.clients.chat.keyed_runs import KeyedRun


class SessionEnd(Enum):
    """How a session's response ended; the values are logged."""

    SERVED = "served"
    BROKEN = "broken"  # after its first token; it may be continued after its last one
    REJECTED = "refused"
    FAILED = "failed"
    CLIENT_DISCONNECTED = "gone"  # before the first token


class SessionFollower(Protocol):
    """A connection that follows a session."""

    def peer_disconnected(self) -> bool:
        """Whether the client has closed the connection."""


@dataclass(slots=True, frozen=True)
class RetainedRequest:
    """A client's request as a session retains it: encoded, as a parsed one can take many times its size."""

    body: bytes
    model: str
    stream: bool
    include_usage: bool

    def parse(self) -> dict[str, Any]:
        """The request as parsed."""
        request: dict[str, Any] = orjson.loads(self.body)
        return request


@dataclass(slots=True, eq=False)
class StreamSession:
    """One response, whose events are retained by number so that each can be sent again."""

    name: str
    tenant: str
    request: RetainedRequest
    class_index: int
    max_tokens: float  # of the whole response
    size_bytes: int = 0  # of the request and the response so far
    resume_count: int = 0  # how often the response was continued after it broke off
    record: RequestRecord | None = None  # the core's current request for the session
    keyed_run: KeyedRun | None = None  # if it was started with an idempotency key and is not idempotent
    events: list[str] = field(default_factory=list)  # the text of each event; event numbers start at 1
    finish_reason: str | None = None
    usage: dict[str, Any] | None = None
    end: SessionEnd | None = None
    retry_after_ms: float | None = None
    created_s: int = field(default_factory=lambda: int(time.time()))  # Unix time
    last_used_s: float = field(default_factory=time.monotonic)
    followers: set[SessionFollower] = field(default_factory=set)  # connections that follow it at present
    updated: anyio.Event = field(default_factory=anyio.Event)  # set, and replaced, with each change

    @property
    def abandoned(self) -> bool:
        """Whether all followers have disconnected before the stream began."""
        is_streaming = self.record is not None and self.record.streaming
        if self.end is not None or is_streaming:
            return False
        return all(follower.peer_disconnected() for follower in self.followers)

    @property
    def never_ran(self) -> bool:
        """Whether the response has ended and the request provably never ran."""
        if self.end in (None, SessionEnd.SERVED):
            return False
        return self.record is None or not self.record.may_have_run

    @property
    def retained_bytes(self) -> int:
        """The size of the request, of its copy in the core's record, and of the response so far."""
        return len(self.request.body) + self.size_bytes

    @property
    def text(self) -> str:
        """The response so far."""
        return "".join(self.events)

    def notify_followers(self) -> None:
        """Wake all followers after a change."""
        self.last_used_s = time.monotonic()
        self.updated.set()
        self.updated = anyio.Event()


class StreamSessionStore:
    """The sessions by name, limited in number, bytes and age; one that is running is never evicted."""

    def __init__(self, max_sessions: int, max_bytes: float, retention_s: float) -> None:
        self.max_sessions = max_sessions
        self.max_bytes = max_bytes
        self.retention_s = retention_s
        self._sessions: dict[str, StreamSession] = {}
        # The session that each tenant has started with an idempotency key.
        self._names_by_key: dict[tuple[str, str], str] = {}

    def __len__(self) -> int:
        """The number of sessions that are retained."""
        return len(self._sessions)

    def make_room(self) -> bool:
        """Make room for one more session by evicting ended ones, least recently used first.

        Returns whether there is room.
        """
        self.evict_expired()
        while len(self._sessions) >= self.max_sessions or self.size_bytes() > self.max_bytes:
            evictable = list(self._evictable())
            if not evictable:
                return False
            self._delete(min(evictable, key=lambda session: session.last_used_s))
        return True

    def size_bytes(self) -> int:
        """The size of all sessions, running and ended."""
        return sum(session.retained_bytes for session in self._sessions.values())

    def evict(self, size_bytes: int) -> int:
        """Evict ended sessions, least recently used first, to free `size_bytes`; return the bytes freed."""
        evicted_bytes = 0
        for session in sorted(self._evictable(), key=lambda session: session.last_used_s):
            if evicted_bytes >= size_bytes:
                break
            evicted_bytes += session.retained_bytes
            self._delete(session)
        return evicted_bytes

    def add(self, session: StreamSession, key: str | None) -> None:
        """Add a new session, and the idempotency key that started it."""
        self._sessions[session.name] = session
        if key:
            self._names_by_key[session.tenant, key] = session.name

    def get(self, tenant: str, name: str) -> StreamSession | None:
        """The tenant's session of that name; None if another tenant has it."""
        session = self._sessions.get(name)
        return session if session is not None and session.tenant == tenant else None

    def get_by_idempotency_key(self, tenant: str, key: str) -> StreamSession | None:
        """The session that the tenant has started with that idempotency key."""
        return self._sessions.get(self._names_by_key.get((tenant, key), ""))

    def evict_expired(self) -> None:
        """Evict ended sessions that were not used within the retention time."""
        oldest_s = time.monotonic() - self.retention_s
        for session in list(self._evictable()):
            if session.last_used_s < oldest_s:
                self._delete(session)

    def _evictable(self) -> Iterator[StreamSession]:
        return (session for session in self._sessions.values() if session.end and not session.followers)

    def _delete(self, session: StreamSession) -> None:
        del self._sessions[session.name]
        self._names_by_key = {key: name for key, name in self._names_by_key.items() if name != session.name}
