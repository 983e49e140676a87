"""Drives the routing policy with scripted random events from fixed seeds.

Revision e65138a had no rule on overtaken prefills. Its trace is compared with the constant of this rule set
to 0, so that the rule never applies; a separate trace includes the rule.
"""

from __future__ import annotations

from collections.abc import Iterator
from heapq import heappop, heappush
from random import Random
from unittest.mock import patch

from ringledge.routing import observations
from ringledge.routing.interface import (
    AttemptOutcome,
    AttemptStatus,
    Availability,
    CancelAttempt,
    ClientDisconnected,
    EndpointUpdate,
    EndpointUpdateKind,
    FailRequest,
    FirstToken,
    OperatorOverride,
    ProbeResult,
    RejectRequest,
    Request,
    Role,
    RolePlan,
    RoutingEvent,
    SendAttempt,
    ServerEntry,
    SetTimer,
    Shutdown,
    TimerFired,
    UnreachableServers,
)
from ringledge.routing.policy import Policy
from ringledge.routing.server_views import server_views
from tests.compatibility.policy_settings import draw_settings
from tests.compatibility.rendering import render

SEEDS = range(12)
EVENTS = 900
FINAL = (RejectRequest, FailRequest)
ENDS = [AttemptStatus.OK, AttemptStatus.ERROR, AttemptStatus.FULL, AttemptStatus.TIMEOUT]
ENDS += [AttemptStatus.CONNECT_FAILED, AttemptStatus.RESET, AttemptStatus.NOT_SENT]


class PolicyScript:
    """A scripted run of one router: events are drawn from a seed and from the actions of the policy."""

    def __init__(self, seed: int, overtaken_share: float = 0.0) -> None:
        self.overtaken_share = overtaken_share
        self.rng = Random(seed)
        self.settings = draw_settings(self.rng)
        self.policy = Policy(self.settings, seed)
        self.now_ms = 50_000.0
        self.started_ms: dict[str, float] = {}
        self.listed: dict[str, ServerEntry] = {}
        self.timers: list[tuple[float, int, str]] = []
        self.in_flight: dict[str, tuple[int, str]] = {}  # by request: attempt and server
        self.attempts: dict[str, int] = {}
        self.streaming: set[str] = set()
        self.entries_ready: set[str] = set()  # requests that are prefilled
        self.count = 0

    def run(self) -> Iterator[str]:
        """Yields each event with the resulting actions, as text."""
        yield render(self.settings)
        fleet = tuple(self._entry(number) for number in range(10))
        yield self._handle(EndpointUpdate(EndpointUpdateKind.PERSISTED, 1, fleet))
        for _ in range(EVENTS):
            self.now_ms += self.rng.expovariate(1 / 12)
            while self.timers and self.timers[0][0] <= self.now_ms:
                _, _, token = heappop(self.timers)
                yield self._handle(TimerFired(token))
            yield self._handle(self._draw())
        yield self._handle(Shutdown())
        yield render(server_views(self.policy, self.now_ms))

    def _entry(self, number: int) -> ServerEntry:
        kind = (0, 1, 2, 0, 1)[number % 5]
        started_ms = self.rng.choice([0.0, self.now_ms - 4000.0])
        entry = ServerEntry(f"s{number}", number % 2, kind, number % 3, Availability.UP, 1.0, started_ms)
        self.listed[entry.server] = entry
        return entry

    def _handle(self, event: RoutingEvent) -> str:
        with patch.object(observations, "OVERTAKEN_SHARE", self.overtaken_share):
            actions = self.policy.handle(self.now_ms, event)
        for action in actions:
            match action:
                case SendAttempt(request, server, _):
                    attempt = self.attempts.get(request, 0)
                    self.in_flight[request] = (attempt, server)
                    self.attempts[request] = attempt + 1
                case SetTimer(at_ms, token):
                    self.count += 1
                    heappush(self.timers, (at_ms, self.count, token))
                case CancelAttempt(request, attempt):
                    self.count += 1
                    heappush(self.timers, (self.now_ms + 3.0, self.count, f"cancelled:{request}:{attempt}"))
        return f"{self.now_ms!r} {render(event)} -> {render(actions)}"

    def _draw(self) -> RoutingEvent:
        """Draws an event that is possible in the current state."""
        chance = self.rng.random()
        if self.timers and self.timers[0][2].startswith("cancelled:"):
            _, _, token = heappop(self.timers)
            return self._cancelled(token)
        if self.in_flight and chance < 0.55:
            return self._draw_attempt_event()
        if chance < 0.92:
            return self._request()
        return self._draw_fleet_event()

    def _cancelled(self, token: str) -> RoutingEvent:
        _, request, attempt = token.split(":")
        held = self.in_flight.get(request)
        if held is None or held[0] != int(attempt):
            return ProbeResult("s0", AttemptStatus.OK)
        del self.in_flight[request]
        return AttemptOutcome(request, held[0], held[1], AttemptStatus.CANCELLED, self.rng.uniform(1, 900))

    def _request(self) -> RoutingEvent:
        rng = self.rng
        self.count += 1
        prompt = float(rng.choice([40, 400, 3000, 12_000]))
        prefix = rng.choice([None, 0, 11, 12, 13])
        return Request(
            f"q{self.count}",
            rng.choice([800.0, 3000.0, 5000.0]),
            rng.randrange(4),
            rng.randrange(3),
            rng.choice([None, *range(20)]),
            prefix,
            prompt / 2 if prefix else 0.0,
            prompt,
            rng.choice([80.0, 800.0]),
            rng.choice([None, 5000.0]),
            rng.random() < 0.1,
            rng.random() < 0.1,
        )

    def _draw_attempt_event(self) -> RoutingEvent:
        rng = self.rng
        request = rng.choice(sorted(self.in_flight))
        attempt, server = self.in_flight[request]
        latency_ms = rng.choice([5.0, 80.0, 700.0, 2500.0]) * rng.uniform(0.5, 1.5)
        prefills = self.settings.kinds[self.listed[server].kind].role == Role.PREFILL
        if rng.random() < 0.08:
            return ClientDisconnected(request)
        if not prefills and request not in self.streaming and rng.random() < 0.5:
            self.streaming.add(request)
            return FirstToken(request, attempt, server, latency_ms)
        del self.in_flight[request]
        good = AttemptStatus.PREFILLED if prefills else AttemptStatus.OK
        status = good if rng.random() < 0.8 else rng.choice(ENDS)
        if prefills and status == AttemptStatus.OK:
            status = AttemptStatus.PREFILLED
        over = request in self.streaming or status == AttemptStatus.OK
        return AttemptOutcome(request, attempt, server, status, latency_ms, over, rng.choice([0, 0, 1, 300]))

    def _draw_fleet_event(self) -> RoutingEvent:
        rng = self.rng
        names = sorted(self.listed)
        event: RoutingEvent
        match rng.randrange(7):
            case 0:
                states = [Availability.DRAINING, Availability.UP, Availability.REMOVED]
                event = self._change(rng.choice(names), rng.choice(states))
            case 1:
                entries = tuple(each for each in self.listed.values() if rng.random() < 0.95)
                event = EndpointUpdate(EndpointUpdateKind.FULL, 3, entries)
            case 2:
                event = EndpointUpdate(EndpointUpdateKind.FAILED)
            case 3:
                event = OperatorOverride(rng.choice(names), rng.random() < 0.5)
            case 4:
                event = UnreachableServers(frozenset(rng.sample(names, rng.randrange(3))))
            case 5:
                some, others = rng.sample(names, rng.randrange(3)), rng.sample(names, rng.randrange(3))
                event = RolePlan(frozenset(some), frozenset(others))
            case _:
                event = self._change(rng.choice(names), Availability.UP, restarted=True)
        return event

    def _change(self, name: str, state: Availability, restarted: bool = False) -> RoutingEvent:
        old = self.listed[name]
        started_ms = self.now_ms if restarted else old.started_ms
        listed_ms = started_ms + 20.0 if restarted and self.rng.random() < 0.5 else None
        entry = ServerEntry(name, old.zone, old.kind, old.cell, state, 1.0, started_ms, listed_ms)
        if state != Availability.REMOVED:
            self.listed[name] = entry
        return EndpointUpdate(EndpointUpdateKind.CHANGES, 2, (entry,))


def policy_steps() -> Iterator[str]:
    """The steps of the trace without the rule on overtaken prefills."""
    for seed in SEEDS:
        yield from PolicyScript(seed).run()


def overtaken_steps() -> Iterator[str]:
    """The steps of the trace with the rule on overtaken prefills."""
    for seed in SEEDS:
        yield from PolicyScript(seed, observations.OVERTAKEN_SHARE).run()
