"""A simulated fleet whose members hold duties; the lease invariants are checked at each event."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from typing import Any

from ringledge.decide.interface import LeaseAcquired, LeaseEnded
from ringledge.decide.leases.fencing import FencingTokenCheck
from ringledge.decide.leases.manager import MESSAGES, LeaseManager, LeaseTerms
from tests.simulated.world import Process, World

EFFECT_INTERVAL_S = 0.25  # between two effects of a holder
CHECK_TO_EFFECT_S = 0.02  # max between the check of the lease and the effect


class InvariantError(AssertionError):
    """A violated invariant; the message tells which one, where and when."""


class EffectReceiver:
    """Applies effects that its fence admits. Invariant: the tokens of a duty's effects never decrease."""

    def __init__(self, fence: FencingTokenCheck) -> None:
        self.fence = fence
        self.highest_tokens: Counter[str] = Counter()  # applied, by duty
        self.applied = 0

    def receive(self, duty: str, token: int) -> None:
        """Applies an effect if the fence admits it."""
        if not self.fence.admit(duty, token):
            return
        if token < self.highest_tokens[duty]:
            raise InvariantError(f"stale effect: {duty} under {token} after {self.highest_tokens[duty]}")
        self.highest_tokens[duty] = token
        self.applied += 1


class SimulatedFleet:
    """Members in one world that seek the same duties.

    Invariants, checked at each event: at any true time at most one member holds a duty, suspended members
    included; the token of each holding is above those of all earlier holdings.
    """

    def __init__(
        self,
        seed: int,
        names: Iterable[str],
        terms: LeaseTerms,
        duties: Iterable[str] = ("planner",),
        clock_rates: tuple[float, float] = (0.9, 1.1),
        fence: Callable[[], FencingTokenCheck] = FencingTokenCheck,
    ) -> None:
        self.world = World(seed, clock_rates)
        self.terms = terms
        self.duties = [*duties]
        self.names = [*names]
        self.receiver = EffectReceiver(fence())
        self.leases: dict[str, LeaseManager] = {}  # by member; of its latest process
        self.holdings: defaultdict[str, dict[Process, int]] = defaultdict(dict)  # by duty: tokens, not ended
        self.highest_tokens: Counter[str] = Counter()  # by duty
        self.acquisitions: Counter[str] = Counter()  # by duty
        self.world.set_up_process = self._set_up_process
        self.world.action_listeners.append(self._on_action)
        self.world.checks.append(self._check_single_holder)

    def start_all(self, excluding: Iterable[str] = ()) -> None:
        """Start every member; restart those that run."""
        for name in self.names:
            if name not in excluding:
                self.world.start(name)

    def holders(self, duty: str) -> list[str]:
        """The members that hold the duty now by their own clocks, suspended members included."""
        return [
            process.name
            for process in self.holdings[duty]
            if process.alive and self.leases[process.name].token(process.clock_s(), duty) is not None
        ]

    def holder(self, duty: str = "planner") -> str:
        """The member that holds the duty, or an empty string."""
        return next(iter(self.holders(duty)), "")

    def run_until_covered(self, limit_s: float, among: Iterable[str] | None = None) -> float:
        """Runs until each duty is held by one of `among`; returns the true time that it took, in s.

        Raises InvariantError after `limit_s`.
        """
        began_s = self.world.true_s
        eligible = {*(self.names if among is None else among)}
        while uncovered := [duty for duty in self.duties if self.holder(duty) not in eligible]:
            if self.world.true_s - began_s > limit_s:
                raise self._violation(f"{', '.join(uncovered)} not covered within {limit_s} s")
            self.world.run_for(0.01)
        return self.world.true_s - began_s

    def check_and_act(self, process: Process, duty: str, token: int) -> None:
        """Checks the lease and sends an effect shortly after; the process may be suspended in between."""
        if self.leases[process.name].token(process.clock_s(), duty) == token and process.alive:
            delay_s = self.world.random.uniform(0, CHECK_TO_EFFECT_S)
            process.call_later(delay_s, lambda: self._send_effect(duty, token))
            process.call_later(EFFECT_INTERVAL_S, lambda: self.check_and_act(process, duty, token))

    def _set_up_process(self, process: Process) -> None:
        now_s = process.clock_s()
        leases = LeaseManager(now_s, process.name, process.start_number, self.terms, self.world.random)
        leases.set_live_members(self.names)
        for duty in self.duties:
            leases.start_seeking(now_s, duty)
        self.leases[process.name] = leases
        process.deciders = [leases]
        process.routes = dict.fromkeys(MESSAGES, leases)

    def _on_action(self, process: Process, action: Any) -> None:
        match action:
            case LeaseAcquired(duty=duty, token=token):
                self._check_token_grows(process, duty, token)
                self.highest_tokens[duty] = token
                self.acquisitions[duty] += 1
                self.holdings[duty][process] = token
                self.check_and_act(process, duty, token)
            case LeaseEnded(duty=duty):
                self.holdings[duty].pop(process, None)

    def _send_effect(self, duty: str, token: int) -> None:
        for delay_s in self.world.network.delays("", "receiver"):
            arrival_s = self.world.true_s + delay_s
            self.world.call_at(arrival_s, lambda: self.receiver.receive(duty, token))

    def _check_token_grows(self, process: Process, duty: str, token: int) -> None:
        highest_token = self.highest_tokens[duty]
        if token <= highest_token:
            raise self._violation(f"token {token} of {duty} at {process.name}, not above {highest_token}")

    def _check_single_holder(self, process: Process) -> None:
        for duty, holdings in self.holdings.items():
            if process in holdings and len(holders := self.holders(duty)) > 1:
                raise self._violation(f"{duty} is held by {' and '.join(sorted(holders))}")

    def _violation(self, text: str) -> InvariantError:
        return InvariantError(f"at {self.world.true_s:.3f} s: {text}")
