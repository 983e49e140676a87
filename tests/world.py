"""A router under test with a small fleet: two cells in two zones, each with readers and writers."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from crowstand import interface as i
from crowstand.policy import Policy

READER, WRITER, MIXED = 0, 1, 2
SAFE = i.RequestClass(1000, 5000, i.Effect.SAFE, target_token_ms=50)
UNSAFE = replace(SAFE, effect=i.Effect.UNSAFE)
SETTINGS = i.Settings(
    classes=(SAFE,),
    kinds=(i.ServerKind(i.Role.PREFILL), i.ServerKind(i.Role.DECODE), i.ServerKind(i.Role.MIXED)),
    routers=2,
    may_cancel=True,
    retry_after=True,
    max_retry_after_ms=1000,
    max_attempts=4,
    tick_ms=2,
    answer_slack_ms=8,
    ask_every_ms=10_000,
    drain_grace_ms=1000,
    cold_share=0.3,
    warm_after_ms=10_000,
    fall_multiple=4,
    overload_for_ms=1000,
    release_within_ms=300,
    over_share_worth=0.1,
)


def entry(server: str, kind: int, cell: int = 0, started_ms: float = 0, **more: Any) -> i.ServerEntry:
    availability = more.pop("availability", i.Availability.UP)
    return i.ServerEntry(server, cell, kind, cell, availability, 1.0, started_ms)


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

    def __init__(self, fleet: tuple[i.ServerEntry, ...] = FLEET, seed: int = 1, **settings: Any) -> None:
        self.policy = Policy(replace(SETTINGS, **settings), seed)
        self.now_ms = 1_000_000.0
        self.attempts: dict[str, int] = {}
        self.at: dict[str, str] = {}
        self.timers: list[i.SetTimer] = []
        self.last: list[i.Action] = []
        self.give(i.Members(i.ListForm.PERSISTED, 1, fleet))

    def give(self, event: i.Event) -> list[i.Action]:
        self.last = self.policy.handle(self.now_ms, event)
        for action in self.last:
            if isinstance(action, i.Send):
                self.attempts[action.request] = self.attempts.get(action.request, -1) + 1
                self.at[action.request] = action.server
            elif isinstance(action, i.SetTimer):
                self.timers.append(action)
        return self.last

    def request(self, name: str, **fields: Any) -> list[i.Action]:
        told: dict[str, Any] = {"expires_in_ms": 5000, "prompt_tokens": 1000, "max_output_tokens": 400}
        return self.give(i.Request(name, **(told | fields)))

    def outcome(self, name: str, status: i.Status, **fields: Any) -> list[i.Action]:
        told: dict[str, Any] = {"latency_ms": 50} | fields
        return self.give(i.Outcome(name, self.attempts[name], self.at[name], status, **told))

    def first(self, name: str) -> list[i.Action]:
        return self.give(i.FirstToken(name, self.attempts[name], self.at[name], 30))

    def read(self, name: str, **fields: Any) -> str:
        """Let a request be read, so that it goes to a writer; give the reader's name."""
        self.request(name, **fields)
        reader = self.at[name]
        self.outcome(name, i.Status.PREFILLED)
        return reader

    def serve(self, name: str, **fields: Any) -> str:
        """Let a request run through; give the reader's name."""
        reader = self.read(name, **fields)
        self.first(name)
        self.outcome(name, i.Status.OK, over=True)
        return reader

    def end(self, name: str) -> None:
        """Let the client give a request up, and answer for an attempt that is still out."""
        self.give(i.ClientGone(name))
        if not released(self.last):
            self.outcome(name, i.Status.CANCELLED, latency_ms=0, over=True)

    def wait(self, ms: float) -> list[i.Action]:
        """Let time pass, ring the timers that fall due; give all that is done meanwhile."""
        end_ms, done = self.now_ms + ms, list[i.Action]()
        while due := [timer for timer in self.timers if timer.at_ms <= end_ms]:
            timer = min(due, key=lambda timer: timer.at_ms)
            self.timers.remove(timer)
            self.now_ms = max(self.now_ms, timer.at_ms)
            done += self.give(i.Timer(timer.token))
        self.now_ms = end_ms
        return done


def sends(actions: list[i.Action]) -> list[str]:
    return [action.server for action in actions if isinstance(action, i.Send)]


def finals(actions: list[i.Action]) -> list[i.Action]:
    return [action for action in actions if isinstance(action, i.Refuse | i.Fail)]


def released(actions: list[i.Action]) -> bool:
    return any(isinstance(action, i.Release) for action in actions)


def cancelled(actions: list[i.Action]) -> bool:
    return any(isinstance(action, i.Cancel) for action in actions)


def used(world: World, name: str, count: int, **fields: Any) -> list[str]:
    """Where new sessions of one beginning are read; each is given up at once."""
    servers = []
    for number in range(count):
        servers += sends(world.request(f"{name}{number}", session=1000 + number, **fields))
        world.end(f"{name}{number}")
    return servers
