"""A fleet in virtual time whose prompts differ much in length: what share of the longest is answered."""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from itertools import count
from typing import Any

from ringledge.routing.interface import (
    AttemptOutcome,
    AttemptStatus,
    CancelAttempt,
    EndpointUpdate,
    EndpointUpdateKind,
    FirstToken,
    Idempotency,
    Request,
    RequestClass,
    RoutingEvent,
    SendAttempt,
    SetTimer,
    TimerFired,
)
from ringledge.routing.policy import Policy
from tests.router_harness import DECODE_KIND, PREFILL_KIND, SETTINGS, server_entry

PREFILL_SERVERS, DECODE_SERVERS = 3, 6
TOKENS_PER_MS = 15.0
OVERHEAD_TOKENS = 300.0
LONGEST_TOKENS = 30_000.0
FIRST_TOKEN_MS, STREAM_MS = 20.0, 1_000.0
LARGEST = 10  # one in so many counts as large


class SizedFleet:
    """Routers that share nothing before prefill servers that work first come, first served."""

    def __init__(self, routers: int, load: float, seed: int) -> None:
        """`load`: part of the prefill servers' capacity that is asked for."""
        self.rng, self.now_ms, self.order = random.Random(seed), 1_000_000.0, count()
        self.due = list[tuple[float, int, Callable[[], None]]]()
        self.free_ms = defaultdict[str, float](float)  # when each server is through with what it has
        self.tokens = dict[str, float]()  # of each request's prompt
        self.answered, self.ended = set[str](), set[tuple[str, int]]()
        self.attempts, self.at = defaultdict[str, int](int), dict[str, str]()
        asked = RequestClass(1_200, 5_000, Idempotency.IDEMPOTENT, 2.0, target_token_ms=50)
        classes = (replace(asked, target_per_1000_tokens_ms=60),)
        settings = replace(SETTINGS, classes=classes, routers=routers)
        self.policies = [Policy(settings, 100 * seed + number) for number in range(routers)]
        fleet = [server_entry(f"r{n}", PREFILL_KIND) for n in range(PREFILL_SERVERS)]
        fleet += [server_entry(f"w{n}", DECODE_KIND) for n in range(DECODE_SERVERS)]
        for router in range(routers):
            self.give(router, EndpointUpdate(EndpointUpdateKind.PERSISTED, 1, tuple(fleet)))
        mean_tokens = sum(self._draw_tokens() for _ in range(5_000)) / 5_000 + OVERHEAD_TOKENS
        self.per_ms = load * PREFILL_SERVERS * TOKENS_PER_MS / mean_tokens
        self._later(0.0, self._arrive)

    def play(self, length_ms: float) -> tuple[float, float]:
        """The share of all that was answered, and that of the tenth with the longest prompts."""
        end_ms = self.now_ms + length_ms
        while self.due[0][0] < end_ms:
            self.now_ms, _, what = heapq.heappop(self.due)
            what()
        names = sorted(self.tokens, key=self.tokens.__getitem__)
        return self._share(names), self._share(names[-len(names) // LARGEST :])

    def _share(self, names: list[str]) -> float:
        return sum(name in self.answered for name in names) / len(names)

    def _draw_tokens(self) -> float:
        return min(LONGEST_TOKENS, self.rng.lognormvariate(7.3, 1.0))

    def _later(self, in_ms: float, what: Callable[[], None]) -> None:
        heapq.heappush(self.due, (self.now_ms + max(0.0, in_ms), next(self.order), what))

    def _arrive(self) -> None:
        self._later(self.rng.expovariate(self.per_ms), self._arrive)
        number = next(self.order)
        name = f"q{number}"
        self.tokens[name] = tokens = self._draw_tokens()
        request = Request(name, 5_000.0, 0, 0, number, None, 0.0, tokens, 200)
        self.give(self.rng.randrange(len(self.policies)), request)

    def give(self, router: int, event: RoutingEvent) -> None:
        for action in self.policies[router].handle(self.now_ms, event):
            if isinstance(action, SendAttempt):
                self._send(router, action)
            elif isinstance(action, SetTimer):
                self._later(action.at_ms - self.now_ms, partial(self.give, router, TimerFired(action.token)))
            elif isinstance(action, CancelAttempt):
                self._end_later(0.0, router, action.request, action.attempt, AttemptStatus.CANCELLED)

    def _send(self, router: int, send: SendAttempt) -> None:
        name, server = send.request, send.server
        attempt = self.attempts[name]
        self.attempts[name] += 1
        self.at[name] = server
        if server[0] == "w":
            self._later(FIRST_TOKEN_MS, partial(self._begin, router, name, attempt))
            return
        begins_ms = max(self.free_ms[server], self.now_ms)
        self.free_ms[server] = begins_ms + (self.tokens[name] + OVERHEAD_TOKENS) / TOKENS_PER_MS
        takes_ms = self.free_ms[server] - self.now_ms
        self._end_later(takes_ms, router, name, attempt, AttemptStatus.PREFILLED, latency_ms=takes_ms)

    def _begin(self, router: int, name: str, attempt: int) -> None:
        if (name, attempt) not in self.ended:
            self.answered.add(name)
            self.give(router, FirstToken(name, attempt, self.at[name], FIRST_TOKEN_MS))
            self._end_later(STREAM_MS, router, name, attempt, AttemptStatus.OK, request_ended=True)

    def _end_later(
        self, in_ms: float, router: int, name: str, attempt: int, status: AttemptStatus, **more: Any
    ) -> None:
        self._later(in_ms, partial(self._end, router, name, attempt, status, **more))

    def _end(self, router: int, name: str, attempt: int, status: AttemptStatus, **more: Any) -> None:
        if (name, attempt) not in self.ended:
            self.ended.add((name, attempt))
            self.give(router, AttemptOutcome(name, attempt, self.at[name], status, **more))
