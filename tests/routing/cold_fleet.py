"""A fleet in virtual time: routers that share nothing offer its one cold server more than it bears."""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from itertools import count
from math import sqrt
from typing import Any

from ringledge.routing.interface import (
    AttemptOutcome,
    AttemptStatus,
    CancelAttempt,
    ClientDisconnected,
    EndpointUpdate,
    EndpointUpdateKind,
    FirstToken,
    Idempotency,
    Request,
    RequestClass,
    RoutingEvent,
    SendAttempt,
    ServerEntry,
    SetTimer,
    TimerFired,
)
from ringledge.routing.policy import Policy
from tests.router_harness import DECODE_KIND, PREFILL_KIND, SETTINGS, server_entry

START_MS = 1_000_000.0
LEARN_MS = 50.0  # within which all routers are told of the cold server
PEERS = 6  # servers of each role
UNEVEN = (0.3, 0.5, 0.7, 1.0, 4.0)  # traffic of routers, in turn, against each other
READ_TOKENS_PER_MS = 20.0
SMALL, LARGE = 0, 1


@dataclass(slots=True, frozen=True)
class Case:
    """One deployment and the load on it."""

    routers: int
    cold_share: float = 0.28
    fall_multiple: float = 3.0
    overload_for_ms: float = 3_000.0
    warm_after_ms: float = 13_000.0
    mean_tokens: float = 1_500.0  # of the prompts of the smaller class
    ratio: float = 10.0  # of the larger class's work to the smaller's
    load: float = 0.7  # part of the warm fleet's capacity that is asked for before the burst
    burst: float = 1.5
    large: float = 0.2  # part of all requests that belong to the larger class
    large_in_burst: float | None = None  # the same in the burst, if it differs
    quiet_ms: float = 0.0  # after the cold server's start until its burst
    writers: bool = False  # the cold server is a writer
    calm_ms: float = 14_000.0  # before the cold server's start
    tireless: bool = (
        False  # the cold server answers at once, however much it is sent: it draws all it may get
    )

    @property
    def work(self) -> tuple[float, float]:
        """Tokens read by requests of each class, their fixed cost included."""
        return self.mean_tokens + 300.0, self.ratio * (self.mean_tokens + 300.0)

    @property
    def mean_work(self) -> float:
        small, large = self.work
        return (1 - self.large) * small + self.large * large

    @property
    def capacity_per_ms(self) -> float:
        """Requests of mean work that one warm server does."""
        return READ_TOKENS_PER_MS / self.mean_work

    def warmth(self, age_ms: float) -> float:
        """By the settings: from its share at the start to all at the time told, in a line."""
        part = min(1.0, max(0.0, age_ms) / self.warm_after_ms)
        return self.cold_share + (1 - self.cold_share) * part


@dataclass(slots=True, frozen=True)
class Sent:
    """One request that was sent to the cold server."""

    age_ms: float  # since the server's start
    weight: float  # its class's mean work against the mean of all
    router: int


class ColdFleet:
    """Routers, servers that do all they can, and one that comes back cold."""

    def __init__(self, case: Case, seed: int) -> None:
        self.case, self.rng, self.now_ms = case, random.Random(seed), START_MS
        self.order, self.due = count(), list[tuple[float, int, Callable[[], None]]]()
        self.free_ms = defaultdict[str, float](float)  # when each server is through with what it has
        self.sent = list[Sent]()
        self.cold_ms = START_MS + case.calm_ms
        self.cold = "w0" if case.writers else "r0"
        small = RequestClass(1_200, 5_000, Idempotency.IDEMPOTENT, 2.0, target_token_ms=50)
        classes = (small, replace(small, target_ms=2_500, deadline_ms=8_000, priority_weight=6.0))
        settings = replace(
            SETTINGS, classes=classes, routers=case.routers, cold_capacity=case.cold_share,
            overload_multiple=case.fall_multiple, overload_window_ms=case.overload_for_ms,
            warm_after_ms=case.warm_after_ms,
        )  # fmt: skip
        self.policies = [Policy(settings, 1_000 * seed + n) for n in range(case.routers)]
        traffic = [UNEVEN[n % len(UNEVEN)] for n in range(case.routers)]
        self.parts = [part / sum(traffic) for part in traffic]
        fleet = [server_entry(f"r{n}", PREFILL_KIND) for n in range(PEERS)] + [
            server_entry(f"w{n}", DECODE_KIND) for n in range(PEERS)
        ]
        self.attempts, self.at = defaultdict[str, int](int), dict[str, str]()
        self.kinds = dict[str, int]()
        for router in range(case.routers):
            self.give(router, EndpointUpdate(EndpointUpdateKind.PERSISTED, 1, tuple(fleet)))
            fresh = server_entry(
                self.cold, DECODE_KIND if case.writers else PREFILL_KIND, started_ms=self.cold_ms
            )
            told = EndpointUpdate(EndpointUpdateKind.CHANGES, 2, (fresh,))
            self.at_ms(self.cold_ms + self.rng.uniform(0, LEARN_MS), partial(self.give, router, told))
            self._next(router)
        self.prefix = self._prefix_of_cold(fleet)

    def _prefix_of_cold(self, fleet: list[ServerEntry]) -> int:
        """A shared beginning that all routers rank at the cold server first."""
        policy = Policy(self.policies[0].settings, 1)
        policy.handle(START_MS, EndpointUpdate(EndpointUpdateKind.PERSISTED, 1, tuple(fleet)))
        for prefix in range(1, 999):
            request = Request(f"p{prefix}", 5_000, 0, 0, prefix, prefix, 200, 1_000, 100)
            sends = [a for a in policy.handle(START_MS, request) if isinstance(a, SendAttempt)]
            policy.handle(START_MS, ClientDisconnected(f"p{prefix}"))
            policy.handle(
                START_MS, AttemptOutcome(f"p{prefix}", 0, sends[0].server, AttemptStatus.CANCELLED, 0, True)
            )
            if sends[0].server == "r0":
                return prefix
        raise AssertionError("no beginning is ranked there")

    def at_ms(self, at_ms: float, what: Callable[[], None]) -> None:
        heapq.heappush(self.due, (max(at_ms, self.now_ms), next(self.order), what))

    def play(self) -> list[Sent]:
        """What the cold server was sent until it was warm."""
        end_ms = self.cold_ms + self.case.warm_after_ms
        while self.due and self.due[0][0] < end_ms:
            self.now_ms, _, what = heapq.heappop(self.due)
            what()
        return self.sent

    def _rate(self, router: int) -> float:
        """Requests a ms that a router gets now."""
        age_ms, case = self.now_ms - self.cold_ms, self.case
        burst = case.burst if age_ms >= case.quiet_ms else 1.0
        quiet = 0.02 if 0 <= age_ms < case.quiet_ms else 1.0
        return (
            self.parts[router]
            * PEERS
            * case.capacity_per_ms
            * case.load
            * (burst if age_ms >= 0 else 1.0)
            * quiet
        )

    def _next(self, router: int) -> None:
        wait_ms = min(self.rng.expovariate(self._rate(router)), 1_000.0)
        asked = wait_ms < 1_000.0
        self.at_ms(self.now_ms + wait_ms, partial(self._arrive, router, asked))

    def _arrive(self, router: int, asked: bool) -> None:
        self._next(router)
        if not asked:
            return
        rng, name = self.rng, f"q{next(self.order)}"
        share = self.case.large
        if self.now_ms >= self.cold_ms + self.case.quiet_ms and self.case.large_in_burst is not None:
            share = self.case.large_in_burst
        kind = LARGE if rng.random() < share else SMALL
        tokens = self.case.work[kind] * rng.uniform(0.7, 1.3) - 300.0
        prefix = self.prefix if rng.random() < 0.5 else None
        self.kinds[name] = kind
        request = Request(
            name,
            5_000.0,
            kind,
            0,
            next(self.order),
            prefix,
            200.0 if prefix else 0.0,
            max(1.0, tokens),
            400 if kind == SMALL else 4_000,
        )
        self.give(router, request)

    def give(self, router: int, event: RoutingEvent) -> None:
        for action in self.policies[router].handle(self.now_ms, event):
            if isinstance(action, SendAttempt):
                self._send(router, action)
            elif isinstance(action, SetTimer):
                self.at_ms(action.at_ms, partial(self.give, router, TimerFired(action.token)))
            elif isinstance(action, CancelAttempt):
                self._tell(router, action.request, action.attempt, AttemptStatus.CANCELLED)

    def _tell(self, router: int, name: str, attempt: int, status: AttemptStatus, **more: Any) -> None:
        if self.attempts.get(name) == attempt + 1:
            outcome = AttemptOutcome(name, attempt, self.at[name], status, **more)
            self.at_ms(self.now_ms, partial(self.give, router, outcome))

    def _send(self, router: int, send: SendAttempt) -> None:
        name, kind, now_ms = send.request, self.kinds[send.request], self.now_ms
        attempt = self.attempts[name]
        self.attempts[name] += 1
        self.at[name] = send.server
        weight = self.case.work[kind] / self.case.mean_work
        if send.server == self.cold and now_ms >= self.cold_ms:
            self.sent.append(Sent(now_ms - self.cold_ms, weight, router))
        pace = READ_TOKENS_PER_MS
        if send.server == self.cold and now_ms >= self.cold_ms:
            pace *= self.case.warmth(now_ms - self.cold_ms)
            if self.case.tireless:
                self.free_ms[self.cold] = 0.0
        takes_ms = self.case.work[kind] / pace
        self.free_ms[send.server] = done_ms = max(self.free_ms[send.server], now_ms) + takes_ms
        reads = send.server[0] == "r"
        if reads:
            self.at_ms(
                done_ms,
                partial(
                    self._tell, router, name, attempt, AttemptStatus.PREFILLED, latency_ms=done_ms - now_ms
                ),
            )
        else:
            self.at_ms(done_ms, partial(self._begin, router, name, attempt, done_ms - now_ms))

    def _begin(self, router: int, name: str, attempt: int, latency_ms: float) -> None:
        if self.attempts.get(name) == attempt + 1:
            self.give(router, FirstToken(name, attempt, self.at[name], latency_ms))
            self.at_ms(
                self.now_ms + 1_000,
                partial(self._tell, router, name, attempt, AttemptStatus.OK, request_ended=True),
            )


def max_overload_ratio(case: Case, sent: list[Sent], weighted: bool) -> float:
    """How much of what pushes it over the fullest window got: over 1 it falls."""
    nearest, first, total, window_ms = 0.0, 0, 0.0, case.overload_for_ms
    for each in sent:
        total += each.weight if weighted else 1.0
        while each.age_ms - sent[first].age_ms > window_ms:
            total -= sent[first].weight if weighted else 1.0
            first += 1
        middle_ms = max(0.0, each.age_ms - window_ms / 2)
        budget = case.fall_multiple * case.warmth(middle_ms) * case.capacity_per_ms * window_ms
        nearest = max(nearest, total / (budget + 2 * sqrt(budget) + 2))
    return nearest


def share_used(case: Case, sent: list[Sent]) -> float:
    """What it was sent while it warmed against all the work that it could do meanwhile."""
    can = case.capacity_per_ms * case.warm_after_ms * (1 + case.cold_share) / 2
    return sum(each.weight for each in sent) / can
