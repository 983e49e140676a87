"""Runs the duties whose leases this member holds: begun with a token, a step at a time, stopped at the end.

Whether a lease is still held is read from this process's own clock before each step, and by the duty itself
right before each effect. That clock is the one that ticks the leases (`clock_adapter.boottime_s` in the
program): it runs on while the process is stopped or the machine sleeps. A process suspended between that
check and its effect acts late all the same: each effect carries its token, and its receiver checks it by a
`ringledge.decide.leases.fencing.FencingTokenCheck`.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

import anyio
from anyio.abc import TaskGroup

from ringledge.decide.interface import Action, LeaseAcquired, LeaseEnded, LeaseTokens
from ringledge.members.duty import Duty
from ringledge.observe.logging import log

Clock = Callable[[], float]
Sleep = Callable[[float], Awaitable[None]]

STEP_RETRY_INTERVAL_S = 1.0  # after a step that raised: neither a busy loop nor a duty undone
LEASE_POLL_INTERVAL_S = 0.02  # where the lease has expired by the clock and its end is not reported yet
MAX_FAILED_STEPS = 5  # in a row; then the duty is released, for another member may do better


class DutyEvent(StrEnum):
    """What happened to a duty of this member; the values appear in logs and counters."""

    BEGUN = "begun"
    GIVEN_UP = "given_up"  # the reasons of `LeaseEnded`
    EXPIRED = "expired"
    STOPPED = "stopped"
    STEP_FAILED = "step_failed"


@dataclass(slots=True)
class _Holding:
    """One holding of a duty, from its begin until its task has stopped."""

    token: int
    predecessor_stopped: anyio.Event | None  # None: the duty's first holding here
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    stopped: anyio.Event = field(default_factory=anyio.Event)


class DutyRunner:
    """Carries out `LeaseAcquired` and `LeaseEnded`, with a task for each holding."""

    def __init__(
        self,
        duties: Mapping[str, Duty],
        tokens: LeaseTokens,
        group: TaskGroup,
        release: Callable[[str], None] = lambda duty: None,
        clock: Clock = time.monotonic,
        sleep: Sleep = anyio.sleep,
    ) -> None:
        """`clock`: the one that ticks the leases. `release(duty)`: called where the steps keep failing."""
        self._duties = duties
        self._tokens = tokens
        self._group = group
        self._release = release
        self._clock = clock
        self._sleep = sleep
        self._holdings: dict[str, _Holding] = {}  # by duty: the current ones
        # Invariant: a duty's next holding begins only after this event of the one before is set.
        self._last_stopped: dict[str, anyio.Event] = {}  # by duty: of its latest holding
        self.counts: Counter[DutyEvent] = Counter()

    def apply(self, action: Action) -> None:
        """Begin or stop a duty; other actions, and ends of earlier holdings, are ignored."""
        match action:
            case LeaseAcquired() if action.duty in self._duties:
                self._begin(action.duty, action.token)
            case LeaseEnded():
                holding = self._holdings.get(action.duty)
                if holding is not None and holding.token == action.token:
                    self._record(DutyEvent(action.reason), action.duty, action.token)
                    self._stop(action.duty)

    def running(self) -> dict[str, int]:
        """The tokens of the duties that run here."""
        return {duty: holding.token for duty, holding in self._holdings.items()}

    async def stop_all(self) -> None:
        """Stop all duties, and wait until their tasks have ended."""
        for duty in [*self._holdings]:
            self._stop(duty)
        for stopped in [*self._last_stopped.values()]:
            await stopped.wait()

    def _begin(self, duty: str, token: int) -> None:
        self._stop(duty)
        holding = _Holding(token, self._last_stopped.get(duty))
        self._holdings[duty] = holding
        self._last_stopped[duty] = holding.stopped
        self._record(DutyEvent.BEGUN, duty, token)
        self._group.start_soon(self._run, duty, holding)

    def _stop(self, duty: str) -> None:
        if (holding := self._holdings.pop(duty, None)) is not None:
            holding.scope.cancel()

    def _is_held(self, duty: str, token: int) -> bool:
        """Whether the lease is held under the token, by the clock now."""
        holding = self._holdings.get(duty)
        if holding is None or holding.token != token:
            return False
        return self._tokens.token(self._clock(), duty) == token

    async def _run(self, name: str, holding: _Holding) -> None:
        """Run one holding, once the one before of the same duty has stopped."""
        duty = self._duties[name]
        begun = False
        try:
            with holding.scope:
                if holding.predecessor_stopped is not None:
                    await holding.predecessor_stopped.wait()
                duty.begin(holding.token)
                begun = True
                await self._run_steps(name, duty, holding.token)
        finally:
            if begun:
                duty.stop()
            holding.stopped.set()

    async def _run_steps(self, name: str, duty: Duty, token: int) -> None:
        """Step until cancelled, or until too many steps in a row have failed."""
        failed_steps = 0
        while failed_steps < MAX_FAILED_STEPS:
            wait_s = LEASE_POLL_INTERVAL_S
            if self._is_held(name, token):
                try:
                    wait_s = await duty.step(token, lambda: self._is_held(name, token))
                    failed_steps = 0
                except Exception as error:
                    log.exception("duty_step_failed", error, duty=name, token=token)
                    wait_s = STEP_RETRY_INTERVAL_S
                    failed_steps += 1
                    self.counts[DutyEvent.STEP_FAILED] += 1
            await self._sleep(wait_s)
        self._release(name)

    def _record(self, event: DutyEvent, duty: str, token: int) -> None:
        self.counts[event] += 1
        log.info("duty_lease_changed", duty=duty, token=token, what=event)
