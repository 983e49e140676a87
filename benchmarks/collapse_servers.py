"""Settings and prefill servers of the simulation in `benchmarks/collapse_fleet.py`.

A simulated prefill server has a FIFO queue, a warm-up and a prefix cache. Times are virtual, in ms. Prefill
capacity is scarce in this deployment, decode capacity is not.
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

ROUTERS, PREFILL_SERVERS, DECODE_SERVERS = 40, 10, 8
PREFILL_TOKENS_PER_MS = 15.0  # by a warm prefill server
FIXED_COST_TOKENS = 300.0  # the fixed cost of a prefill, expressed in tokens
COLD_RATE_SHARE, WARM_UP_MS = 0.35, 9_000.0  # a cold server's share of the warm rate; warm-up time
MAX_QUEUED_PREFILLS = 35  # per server; further ones are rejected
FIRST_TOKEN_DELAY_MS = (20.0, 60.0)  # range of the time that a decode server needs for its first token

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
class Prefill:
    """One prefill at a server, queued or in progress."""

    router: int
    request: str
    attempt: int
    session: int
    prefix: int
    prefix_tokens: float
    tokens: float
    value: float  # the priority weight of its request class
    sent_ms: float
    is_repeat: bool  # whether the client or the router has sent the same request before
    uncached: float = 0.0  # set when the prefill starts
    is_cancelled: bool = False


@dataclass(slots=True, eq=False)
class PrefillServer:
    """A prefill server with a FIFO queue; a cancelled prefill is skipped unless it has already started."""

    name: str
    started_ms: float = 0.0
    queue: deque[Prefill] = field(default_factory=deque)
    current: Prefill | None = None
    prefixes: set[int] = field(default_factory=set)
    sessions: dict[int, float] = field(default_factory=dict)
    processed_tokens: float = 0.0  # including those of cancelled prefills

    def tokens_per_ms(self, now_ms: float) -> float:
        """The prefill rate, which rises linearly during the warm-up."""
        warm_share = min(1.0, (now_ms - self.started_ms) / WARM_UP_MS) if self.started_ms else 1.0
        return PREFILL_TOKENS_PER_MS * (COLD_RATE_SHARE + (1 - COLD_RATE_SHARE) * warm_share)

    def count_uncached(self, prefill: Prefill) -> float:
        """The tokens of a prefill that are not in this server's cache; at least 1."""
        cached = max(
            self.sessions.get(prefill.session, 0.0), prefill.prefix_tokens * (prefill.prefix in self.prefixes)
        )
        return max(1.0, prefill.tokens - cached)

    def queued_tokens(self) -> float:
        """The uncached tokens and fixed costs of all prefills queued or in progress."""
        prefills = [*self.queue, *[self.current] * (self.current is not None)]
        return sum(
            self.count_uncached(prefill) + FIXED_COST_TOKENS
            for prefill in prefills
            if prefill is not None and not prefill.is_cancelled
        )

    def start_next(self, now_ms: float) -> float | None:
        """Start the next queued prefill; returns the time of its end, None if busy or nothing is queued."""
        while self.queue and self.queue[0].is_cancelled:
            self.queue.popleft()
        if self.current is not None or not self.queue:
            return None
        self.current = self.queue.popleft()
        self.current.uncached = self.count_uncached(self.current)
        return now_ms + (self.current.uncached + FIXED_COST_TOKENS) / self.tokens_per_ms(now_ms)

    def finish_current(self) -> Prefill | None:
        """End the prefill in progress and keep its prefix and session in the cache."""
        prefill, self.current = self.current, None
        if prefill is not None:
            self.prefixes.add(prefill.prefix)
            self.sessions[prefill.session] = prefill.tokens
            self.processed_tokens += prefill.uncached + FIXED_COST_TOKENS
        return prefill


def draw_first_token_ms(rng: random.Random) -> float:
    """Draws the time until a decode server has produced its first token."""
    return rng.uniform(*FIRST_TOKEN_DELAY_MS)
