"""A router under test with a small fleet: two cells in two zones, each with readers and writers."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

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
    Idempotency,
    RejectRequest,
    ReleaseCache,
    Request,
    RequestClass,
    Role,
    RouterSettings,
    RoutingAction,
    RoutingEvent,
    SendAttempt,
    ServerEntry,
    ServerKind,
    SetTimer,
    TimerFired,
)
from ringledge.routing.policy import Policy

READER, WRITER, MIXED = 0, 1, 2
SAFE = RequestClass(1000, 5000, Idempotency.IDEMPOTENT, target_token_ms=50)
UNSAFE = replace(SAFE, idempotency=Idempotency.NON_IDEMPOTENT)
SETTINGS = RouterSettings(
    classes=(SAFE,),
    kinds=(ServerKind(Role.PREFILL), ServerKind(Role.DECODE), ServerKind(Role.MIXED)),
    routers=2,
    may_cancel=True,
    retry_after=True,
    max_retry_after_ms=1000,
    max_attempts=4,
    tick_ms=2,
    answer_slack_ms=8,
    poll_interval_ms=10_000,
    drain_grace_ms=1000,
    cold_capacity=0.3,
    warm_after_ms=10_000,
    overload_multiple=4,
    overload_window_ms=1000,
    release_within_ms=300,
    over_quota_weight=0.1,
)


def entry(server: str, kind: int, cell: int = 0, started_ms: float = 0, **more: Any) -> ServerEntry:
    availability = more.pop("availability", Availability.UP)
    return ServerEntry(server, cell, kind, cell, availability, 1.0, started_ms)


FLEET = (
    entry("r0", READER, 0),
    entry("r1", READER, 0),
    entry("r2", READER, 1),
    entry("r3", READER, 1),
    entry("w0", WRITER, 0),
    entry("w1", WRITER, 0),
    entry("w2", WRITER, 1),
    entry("w3", WRITER, 1),
)


class World:
    """Feeds a policy and remembers where each attempt went, so that a test can answer for the servers."""

    def __init__(self, fleet: tuple[ServerEntry, ...] = FLEET, seed: int = 1, **settings: Any) -> None:
        self.policy = Policy(replace(SETTINGS, **settings), seed)
        self.now_ms = 1_000_000.0
        self.attempts: dict[str, int] = {}
        self.at: dict[str, str] = {}
        self.timers: list[SetTimer] = []
        self.last: list[RoutingAction] = []
        self.give(EndpointUpdate(EndpointUpdateKind.PERSISTED, 1, fleet))

    def give(self, event: RoutingEvent) -> list[RoutingAction]:
        self.last = self.policy.handle(self.now_ms, event)
        for action in self.last:
            if isinstance(action, SendAttempt):
                self.attempts[action.request] = self.attempts.get(action.request, -1) + 1
                self.at[action.request] = action.server
            elif isinstance(action, SetTimer):
                self.timers.append(action)
        return self.last

    def request(self, name: str, **fields: Any) -> list[RoutingAction]:
        told: dict[str, Any] = {"expires_in_ms": 5000, "prompt_tokens": 1000, "max_output_tokens": 400}
        return self.give(Request(name, **(told | fields)))

    def outcome(self, name: str, status: AttemptStatus, **fields: Any) -> list[RoutingAction]:
        told: dict[str, Any] = {"latency_ms": 50} | fields
        return self.give(AttemptOutcome(name, self.attempts[name], self.at[name], status, **told))

    def first(self, name: str) -> list[RoutingAction]:
        return self.give(FirstToken(name, self.attempts[name], self.at[name], 30))

    def read(self, name: str, **fields: Any) -> str:
        """Let a request be read, so that it goes to a writer; give the reader's name."""
        self.request(name, **fields)
        reader = self.at[name]
        self.outcome(name, AttemptStatus.PREFILLED)
        return reader

    def serve(self, name: str, **fields: Any) -> str:
        """Let a request run through; give the reader's name."""
        reader = self.read(name, **fields)
        self.first(name)
        self.outcome(name, AttemptStatus.OK, request_ended=True)
        return reader

    def end(self, name: str) -> None:
        """Let the client give a request up, and answer for an attempt that is still out."""
        self.give(ClientDisconnected(name))
        if not released(self.last):
            self.outcome(name, AttemptStatus.CANCELLED, latency_ms=0, request_ended=True)

    def wait(self, ms: float) -> list[RoutingAction]:
        """Let time pass, ring the timers that fall due; give all that is done meanwhile."""
        end_ms, done = self.now_ms + ms, list[RoutingAction]()
        while due := [timer for timer in self.timers if timer.at_ms <= end_ms]:
            timer = min(due, key=lambda timer: timer.at_ms)
            self.timers.remove(timer)
            self.now_ms = max(self.now_ms, timer.at_ms)
            done += self.give(TimerFired(timer.token))
        self.now_ms = end_ms
        return done


def sends(actions: list[RoutingAction]) -> list[str]:
    return [action.server for action in actions if isinstance(action, SendAttempt)]


def finals(actions: list[RoutingAction]) -> list[RoutingAction]:
    return [action for action in actions if isinstance(action, RejectRequest | FailRequest)]


def released(actions: list[RoutingAction]) -> bool:
    return any(isinstance(action, ReleaseCache) for action in actions)


def cancelled(actions: list[RoutingAction]) -> bool:
    return any(isinstance(action, CancelAttempt) for action in actions)


def used(world: World, name: str, count: int, **fields: Any) -> list[str]:
    """Where new sessions of one beginning are read; each is given up at once."""
    servers = []
    for number in range(count):
        servers += sends(world.request(f"{name}{number}", session=1000 + number, **fields))
        world.end(f"{name}{number}")
    return servers
