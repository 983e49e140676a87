"""Random histories of a request: what CacheHold counts is never less than what servers truly hold."""

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
class Truth:
    """One request, its attempt and the entries on servers, as nobody sees them."""

    rng: random.Random
    cache: CacheEntryTracker = field(default_factory=CacheEntryTracker)
    now_ms: float = 0.0
    entries: set[str] = field(default_factory=set)
    held_since_ms: float = inf  # since when an entry is held and no attempt is out
    server: str = ""  # of the attempt in flight
    written: bool = False
    arrived: bool = False
    releasing: bool = False

    @property
    def prefills(self) -> bool:
        return self.server.startswith("p")

    def step(self) -> None:
        """One event that is possible now."""
        self.now_ms += self.rng.uniform(0.0, 100.0)
        events = [self.begin_release, self.answer_release] if self.releasing else [self.begin_release]
        events += [self.send, self.arrive, self.end, self.end] if self.server else [self.begin_attempt]
        self.rng.choice(events)()
        is_out = self.server != "" and self.arrived
        if not self.entries or is_out:
            self.held_since_ms = inf
        elif self.held_since_ms == inf:
            self.held_since_ms = self.now_ms

    def begin_attempt(self) -> None:
        decodes = bool(self.cache.holders)
        if not decodes and (self.cache.is_idle or self.releasing):
            return  # what may be left is released first
        self.server = self.rng.choice(SERVERS[2:] if decodes else SERVERS[:2])
        self.written = self.arrived = False

    def send(self) -> None:
        self.written = True

    def arrive(self) -> None:
        self.arrived = self.written

    def end(self) -> None:
        """The attempt ends; whether its server did the work may stay unseen."""
        server, arrived, prefills = self.server, self.arrived, self.prefills
        worked = arrived and self.rng.random() < 0.6
        seen = arrived and self.rng.random() < 0.5
        if prefills and worked:
            self.entries.add(server)
        elif worked and seen:  # the first token
            self.entries.clear()
        elif worked and self.entries:  # fetched, and then broken off
            self.entries = {server}
        if prefills and worked and seen:
            self.cache.record_prefill(server)
        elif not prefills and worked and seen:
            self.cache.record_first_token()
        elif not seen and self.written:
            self.cache.record_unobserved_end(server, self.now_ms, has_answered=True)
        self.server = ""
        self.cache.record_attempt_end(self.now_ms, was_delivered=seen)

    def begin_release(self) -> None:
        if not self.releasing and self.cache.is_idle:
            self.cache.begin_release(self.now_ms, attempt_in_flight=self.written and bool(self.server))
            self.releasing = True

    def answer_release(self) -> None:
        """A server has released everything but what a decode that has arrived waits for."""
        self.releasing = False
        waits = self.server != "" and self.arrived and not self.prefills
        if not waits:
            self.entries.clear()
            self.held_since_ms = inf
        in_flight = self.written and bool(self.server)
        self.cache.end_release(self.now_ms, {self.rng.choice(SERVERS)}, in_flight)


def counts_enough(truth: Truth) -> bool:
    """Whether each step of a history keeps what is counted over what is held."""
    for _ in range(STEPS):
        truth.step()
        held_ms = max(0.0, truth.now_ms - truth.held_since_ms)
        if truth.cache.held_ms(truth.now_ms) < held_ms:
            return False
        if truth.entries and not (truth.cache.may_exist or truth.arrived):
            return False
    return True


class AnyEndIsAnArrival(CacheEntryTracker):
    """Takes every attempt that has ended for one that had arrived."""

    def record_attempt_end(self, now_ms: float, was_delivered: bool) -> None:
        super().record_attempt_end(now_ms, was_delivered=True)


class AnyReleaseTakesEffect(CacheEntryTracker):
    """Takes a release beside an attempt for one that took effect."""

    def end_release(self, now_ms: float, answered_by: Collection[str], attempt_in_flight: bool) -> None:
        self.unobserved.clear()
        super().end_release(now_ms, answered_by, attempt_in_flight=False)
        self.idle_since_ms = inf


class UnseenLeavesNothing(CacheEntryTracker):
    """Notes nothing of an attempt that ended unseen."""

    def record_unobserved_end(self, server: str, now_ms: float, has_answered: bool) -> None:
        pass


@pytest.mark.parametrize("seed", range(300))
def test_time_counted_is_never_less_than_the_time_held(seed: int) -> None:
    assert counts_enough(Truth(random.Random(seed)))


@pytest.mark.parametrize("mutant", [AnyEndIsAnArrival, AnyReleaseTakesEffect, UnseenLeavesNothing])
def test_mutant_counts_too_little(mutant: type[CacheEntryTracker]) -> None:
    assert not all(counts_enough(Truth(random.Random(seed), mutant())) for seed in range(300))
