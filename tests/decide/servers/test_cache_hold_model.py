"""Checks `CacheEntryTracker` against a model of the servers, over random histories of a request.

The tracked hold time must never be shorter than the time for which the servers hold an entry.
"""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass, field
from math import inf

import pytest

from ringledge.decide.servers.cache_hold import CacheEntryTracker

STEPS = 60
SERVERS = ("p0", "p1", "d0", "d1")


@dataclass
class RequestModel:
    """The true state of a request, its attempt and the entries on servers, with the tracker under test."""

    rng: random.Random
    cache: CacheEntryTracker = field(default_factory=CacheEntryTracker)
    now_ms: float = 0.0
    entries: set[str] = field(default_factory=set)
    held_since_ms: float = inf  # since when an entry is held with no delivered attempt in flight
    server: str = ""  # of the attempt in flight; empty if there is none
    written: bool = False
    delivered: bool = False
    releasing: bool = False

    @property
    def prefills(self) -> bool:
        return self.server.startswith("p")

    def step(self) -> None:
        """Apply a random event that is possible in the current state."""
        self.now_ms += self.rng.uniform(0.0, 100.0)
        events = [self.begin_release, self.answer_release] if self.releasing else [self.begin_release]
        events += [self.send, self.deliver, self.end, self.end] if self.server else [self.begin_attempt]
        self.rng.choice(events)()
        is_delivered_in_flight = self.server != "" and self.delivered
        if not self.entries or is_delivered_in_flight:
            self.held_since_ms = inf
        elif self.held_since_ms == inf:
            self.held_since_ms = self.now_ms

    def begin_attempt(self) -> None:
        decodes = bool(self.cache.holders)
        if not decodes and (self.cache.is_idle or self.releasing):
            return  # entries that may have been left are released first
        self.server = self.rng.choice(SERVERS[2:] if decodes else SERVERS[:2])
        self.written = self.delivered = False

    def send(self) -> None:
        self.written = True

    def deliver(self) -> None:
        self.delivered = self.written

    def end(self) -> None:
        """End the attempt; the router may not observe whether the server completed it."""
        server, delivered, prefills = self.server, self.delivered, self.prefills
        completed = delivered and self.rng.random() < 0.6
        observed = delivered and self.rng.random() < 0.5
        if prefills and completed:
            self.entries.add(server)
        elif completed and observed:  # the first token was observed
            self.entries.clear()
        elif completed and self.entries:  # the server fetched the entry, and the connection broke afterwards
            self.entries = {server}
        if prefills and completed and observed:
            self.cache.record_prefill(server)
        elif not prefills and completed and observed:
            self.cache.record_first_token()
        elif not observed and self.written:
            self.cache.record_unobserved_end(server, self.now_ms, has_answered=True)
        self.server = ""
        self.cache.record_attempt_end(self.now_ms, was_delivered=observed)

    def begin_release(self) -> None:
        if not self.releasing and self.cache.is_idle:
            self.cache.begin_release(self.now_ms, attempt_in_flight=self.written and bool(self.server))
            self.releasing = True

    def answer_release(self) -> None:
        """A server has released all entries, unless a delivered decode is waiting for one."""
        self.releasing = False
        is_fetching = self.server != "" and self.delivered and not self.prefills
        if not is_fetching:
            self.entries.clear()
            self.held_since_ms = inf
        in_flight = self.written and bool(self.server)
        self.cache.end_release(self.now_ms, {self.rng.choice(SERVERS)}, in_flight)


def never_underestimates_hold_time(model: RequestModel) -> bool:
    """Whether the tracked hold time is at least the actual one after each step of a history."""
    for _ in range(STEPS):
        model.step()
        held_ms = max(0.0, model.now_ms - model.held_since_ms)
        if model.cache.held_ms(model.now_ms) < held_ms:
            return False
        if model.entries and not (model.cache.may_exist or model.delivered):
            return False
    return True


class TreatsEveryAttemptAsDelivered(CacheEntryTracker):
    """A mutant that treats every attempt that has ended as delivered."""

    def record_attempt_end(self, now_ms: float, was_delivered: bool) -> None:
        super().record_attempt_end(now_ms, was_delivered=True)


class TreatsEveryReleaseAsEffective(CacheEntryTracker):
    """A mutant that treats a release as effective even if an attempt is in flight."""

    def end_release(self, now_ms: float, answered_by: Collection[str], attempt_in_flight: bool) -> None:
        self.unobserved.clear()
        super().end_release(now_ms, answered_by, attempt_in_flight=False)
        self.idle_since_ms = inf


class IgnoresUnobservedAttempts(CacheEntryTracker):
    """A mutant that records nothing of an attempt that ended unobserved."""

    def record_unobserved_end(self, server: str, now_ms: float, has_answered: bool) -> None:
        pass


@pytest.mark.parametrize("seed", range(300))
def test_tracked_hold_time_is_never_less_than_the_actual_one(seed: int) -> None:
    assert never_underestimates_hold_time(RequestModel(random.Random(seed)))


@pytest.mark.parametrize(
    "mutant", [TreatsEveryAttemptAsDelivered, TreatsEveryReleaseAsEffective, IgnoresUnobservedAttempts]
)
def test_mutant_underestimates_the_hold_time(mutant: type[CacheEntryTracker]) -> None:
    assert not all(
        never_underestimates_hold_time(RequestModel(random.Random(seed), mutant())) for seed in range(300)
    )
