"""Members that hold duties in a simulated world, effects under their tokens, and what must never be."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from typing import Any

from ringledge.decide.interface import LeaseAcquired, LeaseEnded
from ringledge.decide.leases.fencing import FencingTokenCheck
from ringledge.decide.leases.manager import MESSAGES, LeaseManager, LeaseTerms
from tests.simulated.world import Process, World

STEP_S = 0.25  # between two effects of a holder
CHECK_TO_EFFECT_S = 0.02  # most that passes between the look at the clock and the effect


class BrokenError(AssertionError):
    """An invariant did not hold; the message says which, where and when."""


class Receiver:
    """Applies effects, behind a fence, and remembers what it applied."""

    def __init__(self, fence: FencingTokenCheck) -> None:
        self.fence = fence
        self.highest: Counter[str] = Counter()
        self.applied = 0

    def effect(self, duty: str, token: int) -> None:
        """An effect has come."""
        if not self.fence.admit(duty, token):
            return
        if token < self.highest[duty]:
            raise BrokenError(f"stale effect: {duty} under {token} after {self.highest[duty]}")
        self.highest[duty] = token
        self.applied += 1


class Held:
    """A fleet that holds duties; every event is checked."""

    def __init__(
        self,
        seed: int,
        names: Iterable[str],
        terms: LeaseTerms,
        duties: Iterable[str] = ("planner",),
        rates: tuple[float, float] = (0.9, 1.1),
        fence: Callable[[], FencingTokenCheck] = FencingTokenCheck,
    ) -> None:
        self.world, self.terms, self.duties = World(seed, rates), terms, [*duties]
        self.names = [*names]
        self.receiver = Receiver(fence())
        self.leases: dict[str, LeaseManager] = {}
        self.begun: defaultdict[str, dict[Process, int]] = defaultdict(dict)  # by duty: holders' tokens
        self.tops: Counter[str] = Counter()
        self.begins: Counter[str] = Counter()
        self.covered_s: dict[str, float] = {}  # true time until which a duty has been covered
        self.world.make = self._make
        self.world.on_told.append(self._told)
        self.world.checks.append(self._check)

    def start_all(self, but: Iterable[str] = ()) -> None:
        """Start every member."""
        for each in self.names:
            if each not in but:
                self.world.start(each)

    def _make(self, process: Process) -> None:
        now_s = process.clock_s()
        leases = LeaseManager(now_s, process.name, process.start, self.terms, self.world.random)
        leases.set_live_members(self.names)
        for duty in self.duties:
            leases.start_seeking(now_s, duty)
        self.leases[process.name] = leases
        process.deciders = [leases]
        process.routes = dict.fromkeys(MESSAGES, leases)

    def _told(self, process: Process, action: Any) -> None:
        if isinstance(action, LeaseAcquired):
            duty, token = action.duty, action.token
            if token <= self.tops[duty]:
                raise self._broken(f"token {token} of {duty} at {process.name}, not above {self.tops[duty]}")
            self.tops[duty] = token
            self.begins[duty] += 1
            self.begun[duty][process] = token
            self._step(process, duty, token)
        elif isinstance(action, LeaseEnded):
            self.begun[action.duty].pop(process, None)

    def _step(self, process: Process, duty: str, token: int) -> None:
        """Look at the clock, and have the effect a moment later; the process may be stopped in between."""
        if self.leases[process.name].token(process.clock_s(), duty) == token and process.alive:
            wait_s = self.world.random.uniform(0, CHECK_TO_EFFECT_S)
            process.after(wait_s, lambda: self._effect(duty, token))
            process.after(STEP_S, lambda: self._step(process, duty, token))

    def _effect(self, duty: str, token: int) -> None:
        for delay_s in self.world.network.delays("", "receiver"):
            self.world.at(self.world.true_s + delay_s, lambda: self.receiver.effect(duty, token))

    def holders(self, duty: str) -> list[str]:
        """Who may act at this moment of true time, each by its own clock; stopped ones too."""
        return [
            each.name
            for each in self.begun[duty]
            if each.alive and self.leases[each.name].token(each.clock_s(), duty) is not None
        ]

    def _check(self, process: Process) -> None:
        for duty, begun in self.begun.items():
            if process in begun and len(now := self.holders(duty)) > 1:
                raise self._broken(f"{duty} is held by {' and '.join(sorted(now))}")

    def _broken(self, text: str) -> BrokenError:
        return BrokenError(f"at {self.world.true_s:.3f} s: {text}")

    def holder(self, duty: str = "planner") -> str:
        """The one who holds it; "" for nobody."""
        return next(iter(self.holders(duty)), "")

    def covered_within(self, limit_s: float, among: Iterable[str] | None = None) -> float:
        """Run until each duty is held (by one of some): s that it took; BrokenError after the limit."""
        began_s, fit = self.world.true_s, {*(self.names if among is None else among)}
        while any(self.holder(duty) not in fit for duty in self.duties):
            if self.world.true_s - began_s > limit_s:
                bare = [duty for duty in self.duties if self.holder(duty) not in fit]
                raise self._broken(f"{', '.join(bare)} not covered within {limit_s} s")
            self.world.run_for(0.01)
        return self.world.true_s - began_s
