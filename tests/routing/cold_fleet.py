"""Simulated fleet in which independent routers offer one cold server more load than its capacity."""

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
from tests.routing.cold_scenario import (
    LARGE,
    MAX_UPDATE_DELAY_MS,
    PREFILL_TOKENS_PER_MS,
    SERVERS_PER_ROLE,
    SMALL,
    START_MS,
    TRAFFIC_WEIGHTS,
    ColdAttempt,
    Scenario,
)


class ColdFleet:
    """Routers and servers in virtual time. One of the servers is restarted and cold."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.rng, self.now_ms = scenario, random.Random(seed), START_MS
        self.sequence, self.scheduled = count(), list[tuple[float, int, Callable[[], None]]]()
        self.busy_until_ms = defaultdict[str, float](float)  # end of each server's queue
        self.cold_attempts = list[ColdAttempt]()
        self.cold_start_ms = START_MS + scenario.lead_ms
        self.cold_server = "w0" if scenario.cold_decode_server else "r0"
        small = RequestClass(1_200, 5_000, Idempotency.IDEMPOTENT, 2.0, target_token_ms=50)
        classes = (small, replace(small, target_ms=2_500, deadline_ms=8_000, priority_weight=6.0))
        settings = replace(
            SETTINGS, classes=classes, routers=scenario.routers, cold_capacity=scenario.cold_capacity,
            overload_multiple=scenario.overload_multiple, overload_window_ms=scenario.overload_window_ms,
            warm_after_ms=scenario.warm_after_ms,
        )  # fmt: skip
        self.policies = [Policy(settings, 1_000 * seed + n) for n in range(scenario.routers)]
        traffic = [TRAFFIC_WEIGHTS[n % len(TRAFFIC_WEIGHTS)] for n in range(scenario.routers)]
        self.traffic_shares = [weight / sum(traffic) for weight in traffic]
        fleet = [server_entry(f"r{n}", PREFILL_KIND) for n in range(SERVERS_PER_ROLE)] + [
            server_entry(f"w{n}", DECODE_KIND) for n in range(SERVERS_PER_ROLE)
        ]
        self.attempts, self.server_of = defaultdict[str, int](int), dict[str, str]()
        self.kinds = dict[str, int]()
        for router in range(scenario.routers):
            self.deliver(router, EndpointUpdate(EndpointUpdateKind.PERSISTED, 1, tuple(fleet)))
            cold_entry = server_entry(
                self.cold_server,
                DECODE_KIND if scenario.cold_decode_server else PREFILL_KIND,
                started_ms=self.cold_start_ms,
            )
            update = EndpointUpdate(EndpointUpdateKind.CHANGES, 2, (cold_entry,))
            self.schedule(
                self.cold_start_ms + self.rng.uniform(0, MAX_UPDATE_DELAY_MS),
                partial(self.deliver, router, update),
            )
            self._schedule_arrival(router)
        self.prefix = self._prefix_of_cold(fleet)

    def _prefix_of_cold(self, fleet: list[ServerEntry]) -> int:
        """Return a shared prefix for which all routers rank the cold server first."""
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
        raise AssertionError("no prefix ranks the cold server first")

    def schedule(self, at_ms: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self.scheduled, (max(at_ms, self.now_ms), next(self.sequence), callback))

    def run(self) -> list[ColdAttempt]:
        """Run the scenario; return the attempts sent to the cold server until it was warm."""
        end_ms = self.cold_start_ms + self.scenario.warm_after_ms
        while self.scheduled and self.scheduled[0][0] < end_ms:
            self.now_ms, _, callback = heapq.heappop(self.scheduled)
            callback()
        return self.cold_attempts

    def _rate(self, router: int) -> float:
        """Return the present arrivals per ms at a router."""
        age_ms, scenario = self.now_ms - self.cold_start_ms, self.scenario
        burst = scenario.burst_factor if age_ms >= scenario.quiet_ms else 1.0
        quiet = 0.02 if 0 <= age_ms < scenario.quiet_ms else 1.0
        return (
            self.traffic_shares[router]
            * SERVERS_PER_ROLE
            * scenario.capacity_per_ms
            * scenario.load
            * (burst if age_ms >= 0 else 1.0)
            * quiet
        )

    def _schedule_arrival(self, router: int) -> None:
        wait_ms = min(self.rng.expovariate(self._rate(router)), 1_000.0)
        arrives = wait_ms < 1_000.0
        self.schedule(self.now_ms + wait_ms, partial(self._arrive, router, arrives))

    def _arrive(self, router: int, arrives: bool) -> None:
        self._schedule_arrival(router)
        if not arrives:
            return
        rng, name = self.rng, f"q{next(self.sequence)}"
        share = self.scenario.large_share
        if (
            self.now_ms >= self.cold_start_ms + self.scenario.quiet_ms
            and self.scenario.large_share_in_burst is not None
        ):
            share = self.scenario.large_share_in_burst
        kind = LARGE if rng.random() < share else SMALL
        tokens = self.scenario.work[kind] * rng.uniform(0.7, 1.3) - 300.0
        prefix = self.prefix if rng.random() < 0.5 else None
        self.kinds[name] = kind
        request = Request(
            name,
            5_000.0,
            kind,
            0,
            next(self.sequence),
            prefix,
            200.0 if prefix else 0.0,
            max(1.0, tokens),
            400 if kind == SMALL else 4_000,
        )
        self.deliver(router, request)

    def deliver(self, router: int, event: RoutingEvent) -> None:
        for action in self.policies[router].handle(self.now_ms, event):
            if isinstance(action, SendAttempt):
                self._send(router, action)
            elif isinstance(action, SetTimer):
                self.schedule(action.at_ms, partial(self.deliver, router, TimerFired(action.token)))
            elif isinstance(action, CancelAttempt):
                self._finish_attempt(router, action.request, action.attempt, AttemptStatus.CANCELLED)

    def _finish_attempt(
        self, router: int, name: str, attempt: int, status: AttemptStatus, **more: Any
    ) -> None:
        if self.attempts.get(name) == attempt + 1:
            outcome = AttemptOutcome(name, attempt, self.server_of[name], status, **more)
            self.schedule(self.now_ms, partial(self.deliver, router, outcome))

    def _send(self, router: int, send: SendAttempt) -> None:
        name, kind, now_ms = send.request, self.kinds[send.request], self.now_ms
        attempt = self.attempts[name]
        self.attempts[name] += 1
        self.server_of[name] = send.server
        weight = self.scenario.work[kind] / self.scenario.mean_work
        if send.server == self.cold_server and now_ms >= self.cold_start_ms:
            self.cold_attempts.append(ColdAttempt(now_ms - self.cold_start_ms, weight, router))
        tokens_per_ms = PREFILL_TOKENS_PER_MS
        if send.server == self.cold_server and now_ms >= self.cold_start_ms:
            tokens_per_ms *= self.scenario.warmth(now_ms - self.cold_start_ms)
            if self.scenario.unlimited_service:
                self.busy_until_ms[self.cold_server] = 0.0
        duration_ms = self.scenario.work[kind] / tokens_per_ms
        self.busy_until_ms[send.server] = end_ms = max(self.busy_until_ms[send.server], now_ms) + duration_ms
        prefills = send.server[0] == "r"
        if prefills:
            self.schedule(
                end_ms,
                partial(
                    self._finish_attempt,
                    router,
                    name,
                    attempt,
                    AttemptStatus.PREFILLED,
                    latency_ms=end_ms - now_ms,
                ),
            )
        else:
            self.schedule(end_ms, partial(self._start_stream, router, name, attempt, end_ms - now_ms))

    def _start_stream(self, router: int, name: str, attempt: int, latency_ms: float) -> None:
        if self.attempts.get(name) == attempt + 1:
            self.deliver(router, FirstToken(name, attempt, self.server_of[name], latency_ms))
            self.schedule(
                self.now_ms + 1_000,
                partial(self._finish_attempt, router, name, attempt, AttemptStatus.OK, request_ended=True),
            )
