"""The deployment of the lab of the collapse: its classes, and readers with a queue, a climb and a memory.

Virtual time in ms. Readers are short there, writers are not.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

from ringledge.routing.interface import (
    Idempotency,
    RequestClass,
    Role,
    RouterSettings,
    ServerKind,
)

ROUTERS, READERS, WRITERS = 40, 10, 8
READ_PER_MS = 15.0  # tokens that a warm reader reads
STEP_TOKENS = 300.0  # tokens' worth of a read's fixed cost
COLD_SHARE, WARM_MS = 0.35, 9_000.0  # of a warm one's pace at its start, and the time that it warms
QUEUE = 35  # reads that may wait at a reader; more are turned away
START_MS = (20.0, 60.0)  # until a writer has written its first token

CLASSES = (
    RequestClass(
        1200, 5000, Idempotency.IDEMPOTENT, 2, 0.1, target_token_ms=50, target_per_1000_tokens_ms=60
    ),
    RequestClass(
        2500, 12000, Idempotency.NON_IDEMPOTENT, 6, 0.3, target_token_ms=80, target_per_1000_tokens_ms=120
    ),
)
SETTINGS = RouterSettings(
    classes=CLASSES,
    kinds=(ServerKind(Role.PREFILL), ServerKind(Role.DECODE)),
    routers=ROUTERS,
    may_cancel=True,
    max_retry_after_ms=1000,
    max_attempts=6,
    tick_ms=2,
    poll_interval_ms=10_000,
    drain_grace_ms=250,
    cold_capacity=0.35,
    warm_after_ms=9_000,
    overload_multiple=3,
    overload_window_ms=3_000,
    release_within_ms=500,
    decode_may_prefill=False,
    over_quota_weight=0.05,
)


@dataclass(slots=True, eq=False)
class Read:
    """One read at a reader, waiting or under way."""

    router: int
    request: str
    attempt: int
    session: int
    prefix: int
    prefix_tokens: float
    tokens: float
    value: float  # worth that its answer could still earn when it was sent
    sent_ms: float
    repeat: bool  # its client, or its router, has sent the same before
    unread: float = 0.0  # counted when its turn comes
    gone: bool = False


@dataclass(slots=True, eq=False)
class Reader:
    """First come, first read; what is cancelled leaves, the one under way too."""

    name: str
    started_ms: float = 0.0
    waiting: deque[Read] = field(default_factory=deque)
    at_work: Read | None = None
    prefixes: set[int] = field(default_factory=set)
    sessions: dict[int, float] = field(default_factory=dict)
    spent: float = 0.0  # tokens read so far, those of reads given up included

    def pace(self, now_ms: float) -> float:
        """Tokens that it reads in a ms."""
        warm = min(1.0, (now_ms - self.started_ms) / WARM_MS) if self.started_ms else 1.0
        return READ_PER_MS * (COLD_SHARE + (1 - COLD_SHARE) * warm)

    def missing(self, read: Read) -> float:
        """Tokens of a read that are not kept here."""
        kept = max(self.sessions.get(read.session, 0.0), read.prefix_tokens * (read.prefix in self.prefixes))
        return max(1.0, read.tokens - kept)

    def queued(self) -> float:
        """Unread tokens that wait or are being read here."""
        reads = [*self.waiting, *[self.at_work] * (self.at_work is not None)]
        return sum(self.missing(read) + STEP_TOKENS for read in reads if read is not None and not read.gone)

    def begin(self, now_ms: float) -> float | None:
        """Take the next one up; when it will be read, or None where nothing waits."""
        while self.waiting and self.waiting[0].gone:
            self.waiting.popleft()
        if self.at_work is not None or not self.waiting:
            return None
        self.at_work = self.waiting.popleft()
        self.at_work.unread = self.missing(self.at_work)
        return now_ms + (self.at_work.unread + STEP_TOKENS) / self.pace(now_ms)

    def end(self) -> Read | None:
        """The one under way is read, and kept."""
        read, self.at_work = self.at_work, None
        if read is not None:
            self.prefixes.add(read.prefix)
            self.sessions[read.session] = read.tokens
            self.spent += read.unread + STEP_TOKENS
        return read


def first_token_ms(rng: random.Random) -> float:
    """Until a writer has written a first token."""
    return rng.uniform(*START_MS)
