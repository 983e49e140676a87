"""Simulated fleet with prompts of widely different lengths; measures the share of answered requests."""

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
LONGEST_DIVISOR = 10  # one in ten requests counts as one of the longest


class SizedFleet:
    """Independent routers in front of prefill servers with first-in-first-out queues."""

    def __init__(self, routers: int, load: float, seed: int) -> None:
        """Create a fleet with `load` as the offered load relative to the prefill servers' capacity."""
        self.rng, self.now_ms, self.sequence = random.Random(seed), 1_000_000.0, count()
        self.scheduled = list[tuple[float, int, Callable[[], None]]]()
        self.busy_until_ms = defaultdict[str, float](float)  # end of each server's queue
        self.tokens = dict[str, float]()  # prompt length by request
        self.answered, self.ended = set[str](), set[tuple[str, int]]()
        self.attempts, self.server_of = defaultdict[str, int](int), dict[str, str]()
        request_class = RequestClass(1_200, 5_000, Idempotency.IDEMPOTENT, 2.0, target_token_ms=50)
        classes = (replace(request_class, target_per_1000_tokens_ms=60),)
        settings = replace(SETTINGS, classes=classes, routers=routers)
        self.policies = [Policy(settings, 100 * seed + number) for number in range(routers)]
        fleet = [server_entry(f"r{n}", PREFILL_KIND) for n in range(PREFILL_SERVERS)]
        fleet += [server_entry(f"w{n}", DECODE_KIND) for n in range(DECODE_SERVERS)]
        for router in range(routers):
            self.deliver(router, EndpointUpdate(EndpointUpdateKind.PERSISTED, 1, tuple(fleet)))
        mean_tokens = sum(self._draw_tokens() for _ in range(5_000)) / 5_000 + OVERHEAD_TOKENS
        self.arrivals_per_ms = load * PREFILL_SERVERS * TOKENS_PER_MS / mean_tokens
        self._schedule(0.0, self._arrive)

    def run(self, length_ms: float) -> tuple[float, float]:
        """Return the answered share of all requests, and that of the tenth with the longest prompts."""
        end_ms = self.now_ms + length_ms
        while self.scheduled[0][0] < end_ms:
            self.now_ms, _, callback = heapq.heappop(self.scheduled)
            callback()
        names = sorted(self.tokens, key=self.tokens.__getitem__)
        return self._share(names), self._share(names[-len(names) // LONGEST_DIVISOR :])

    def _share(self, names: list[str]) -> float:
        return sum(name in self.answered for name in names) / len(names)

    def _draw_tokens(self) -> float:
        return min(LONGEST_TOKENS, self.rng.lognormvariate(7.3, 1.0))

    def _schedule(self, in_ms: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self.scheduled, (self.now_ms + max(0.0, in_ms), next(self.sequence), callback))

    def _arrive(self) -> None:
        self._schedule(self.rng.expovariate(self.arrivals_per_ms), self._arrive)
        number = next(self.sequence)
        name = f"q{number}"
        self.tokens[name] = tokens = self._draw_tokens()
        request = Request(name, 5_000.0, 0, 0, number, None, 0.0, tokens, 200)
        self.deliver(self.rng.randrange(len(self.policies)), request)

    def deliver(self, router: int, event: RoutingEvent) -> None:
        for action in self.policies[router].handle(self.now_ms, event):
            if isinstance(action, SendAttempt):
                self._send(router, action)
            elif isinstance(action, SetTimer):
                self._schedule(
                    action.at_ms - self.now_ms, partial(self.deliver, router, TimerFired(action.token))
                )
            elif isinstance(action, CancelAttempt):
                self._schedule_finish(0.0, router, action.request, action.attempt, AttemptStatus.CANCELLED)

    def _send(self, router: int, send: SendAttempt) -> None:
        name, server = send.request, send.server
        attempt = self.attempts[name]
        self.attempts[name] += 1
        self.server_of[name] = server
        if server[0] == "w":
            self._schedule(FIRST_TOKEN_MS, partial(self._start_stream, router, name, attempt))
            return
        start_ms = max(self.busy_until_ms[server], self.now_ms)
        self.busy_until_ms[server] = start_ms + (self.tokens[name] + OVERHEAD_TOKENS) / TOKENS_PER_MS
        duration_ms = self.busy_until_ms[server] - self.now_ms
        self._schedule_finish(
            duration_ms, router, name, attempt, AttemptStatus.PREFILLED, latency_ms=duration_ms
        )

    def _start_stream(self, router: int, name: str, attempt: int) -> None:
        if (name, attempt) not in self.ended:
            self.answered.add(name)
            self.deliver(router, FirstToken(name, attempt, self.server_of[name], FIRST_TOKEN_MS))
            self._schedule_finish(STREAM_MS, router, name, attempt, AttemptStatus.OK, request_ended=True)

    def _schedule_finish(
        self, in_ms: float, router: int, name: str, attempt: int, status: AttemptStatus, **more: Any
    ) -> None:
        self._schedule(in_ms, partial(self._finish_attempt, router, name, attempt, status, **more))

    def _finish_attempt(
        self, router: int, name: str, attempt: int, status: AttemptStatus, **more: Any
    ) -> None:
        if (name, attempt) not in self.ended:
            self.ended.add((name, attempt))
            self.deliver(router, AttemptOutcome(name, attempt, self.server_of[name], status, **more))
