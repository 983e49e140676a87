"""Test harness: a router with a small fleet of two cells in two zones, each with both kinds of server."""

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

PREFILL_KIND, DECODE_KIND, MIXED_KIND = 0, 1, 2
IDEMPOTENT = RequestClass(1000, 5000, Idempotency.IDEMPOTENT, target_token_ms=50)
NON_IDEMPOTENT = replace(IDEMPOTENT, idempotency=Idempotency.NON_IDEMPOTENT)
SETTINGS = RouterSettings(
    classes=(IDEMPOTENT,),
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


def server_entry(server: str, kind: int, cell: int = 0, started_ms: float = 0, **fields: Any) -> ServerEntry:
    availability = fields.pop("availability", Availability.UP)
    return ServerEntry(server, cell, kind, cell, availability, 1.0, started_ms)


FLEET = (
    server_entry("r0", PREFILL_KIND, 0),
    server_entry("r1", PREFILL_KIND, 0),
    server_entry("r2", PREFILL_KIND, 1),
    server_entry("r3", PREFILL_KIND, 1),
    server_entry("w0", DECODE_KIND, 0),
    server_entry("w1", DECODE_KIND, 0),
    server_entry("w2", DECODE_KIND, 1),
    server_entry("w3", DECODE_KIND, 1),
)


class RouterHarness:
    """Delivers events to a policy and records where it sends attempts, so that a test can act as server."""

    def __init__(self, fleet: tuple[ServerEntry, ...] = FLEET, seed: int = 1, **settings: Any) -> None:
        self.policy = Policy(replace(SETTINGS, **settings), seed)
        self.now_ms = 1_000_000.0
        self.attempts: dict[str, int] = {}
        self.server_of: dict[str, str] = {}
        self.timers: list[SetTimer] = []
        self.last_actions: list[RoutingAction] = []
        self.deliver(EndpointUpdate(EndpointUpdateKind.PERSISTED, 1, fleet))

    def deliver(self, event: RoutingEvent) -> list[RoutingAction]:
        self.last_actions = self.policy.handle(self.now_ms, event)
        for action in self.last_actions:
            if isinstance(action, SendAttempt):
                self.attempts[action.request] = self.attempts.get(action.request, -1) + 1
                self.server_of[action.request] = action.server
            elif isinstance(action, SetTimer):
                self.timers.append(action)
        return self.last_actions

    def request(self, name: str, **fields: Any) -> list[RoutingAction]:
        defaults: dict[str, Any] = {"expires_in_ms": 5000, "prompt_tokens": 1000, "max_output_tokens": 400}
        return self.deliver(Request(name, **(defaults | fields)))

    def outcome(self, name: str, status: AttemptStatus, **fields: Any) -> list[RoutingAction]:
        defaults: dict[str, Any] = {"latency_ms": 50} | fields
        return self.deliver(
            AttemptOutcome(name, self.attempts[name], self.server_of[name], status, **defaults)
        )

    def first_token(self, name: str) -> list[RoutingAction]:
        return self.deliver(FirstToken(name, self.attempts[name], self.server_of[name], 30))

    def prefill(self, name: str, **fields: Any) -> str:
        """Have a request prefilled and sent to a decode server; return the prefill server."""
        self.request(name, **fields)
        prefill_server = self.server_of[name]
        self.outcome(name, AttemptStatus.PREFILLED)
        return prefill_server

    def serve(self, name: str, **fields: Any) -> str:
        """Serve a request to its end; return the prefill server."""
        prefill_server = self.prefill(name, **fields)
        self.first_token(name)
        self.outcome(name, AttemptStatus.OK, request_ended=True)
        return prefill_server

    def abandon(self, name: str) -> None:
        """Disconnect the client and end the attempt in flight."""
        self.deliver(ClientDisconnected(name))
        if not releases_cache(self.last_actions):
            self.outcome(name, AttemptStatus.CANCELLED, latency_ms=0, request_ended=True)

    def advance(self, ms: float) -> list[RoutingAction]:
        """Advance the clock and fire the timers that are due; return all resulting actions."""
        end_ms, actions = self.now_ms + ms, list[RoutingAction]()
        while due := [timer for timer in self.timers if timer.at_ms <= end_ms]:
            timer = min(due, key=lambda timer: timer.at_ms)
            self.timers.remove(timer)
            self.now_ms = max(self.now_ms, timer.at_ms)
            actions += self.deliver(TimerFired(timer.token))
        self.now_ms = end_ms
        return actions


def sent_to(actions: list[RoutingAction]) -> list[str]:
    return [action.server for action in actions if isinstance(action, SendAttempt)]


def final_answers(actions: list[RoutingAction]) -> list[RoutingAction]:
    return [action for action in actions if isinstance(action, RejectRequest | FailRequest)]


def releases_cache(actions: list[RoutingAction]) -> bool:
    return any(isinstance(action, ReleaseCache) for action in actions)


def cancels_attempt(actions: list[RoutingAction]) -> bool:
    return any(isinstance(action, CancelAttempt) for action in actions)


def prefill_servers_used(harness: RouterHarness, name: str, count: int, **fields: Any) -> list[str]:
    """Return the servers that new sessions with one prefix are sent to. Each request is abandoned at once."""
    servers = []
    for number in range(count):
        servers += sent_to(harness.request(f"{name}{number}", session=1000 + number, **fields))
        harness.abandon(f"{name}{number}")
    return servers


def set_pending_tokens(harness: RouterHarness, name: str, tokens: float) -> None:
    """Set the pending tokens of a server, as if requests of this router were in flight there."""
    fleet = harness.policy.fleet
    fleet.servers[name].pending_tokens = tokens
    fleet.busy[fleet.servers[name]] = None
