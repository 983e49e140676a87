"""Runs the duties whose leases this member holds.

A duty begins with a fencing token, runs in steps, and is stopped when the lease ends. Before each step the
runner checks by the local clock that the lease is held, and the duty checks it again before each effect. That
clock is the one of the leases (`clock_adapter.boottime_s` in the program), which advances while the process
is stopped or the machine is suspended.

The check alone is not sufficient: a process that is suspended between the check and the effect acts after the
lease has expired. Therefore each effect carries its token, and the receiver rejects outdated tokens with a
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

STEP_RETRY_INTERVAL_S = 1.0  # wait after a failed step; avoids a busy loop, but resumes the duty soon
LEASE_POLL_INTERVAL_S = 0.02  # while the lease expired by the clock but `LeaseEnded` has not arrived
MAX_FAILED_STEPS = 5  # consecutive failures before the duty is released, so that another member can try


class DutyEvent(StrEnum):
    """Event in the life of a duty on this member; the values appear in logs and counters."""

    BEGUN = "begun"
    # The next three are the reasons of `LeaseEnded`.
    GIVEN_UP = "given_up"
    EXPIRED = "expired"
    STOPPED = "stopped"
    STEP_FAILED = "step_failed"


@dataclass(slots=True)
class _Holding:
    """A period in which this member holds the lease of a duty; it lasts until the task has stopped."""

    token: int
    predecessor_stopped: anyio.Event | None  # end of the holding before; None for the first one
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    stopped: anyio.Event = field(default_factory=anyio.Event)


class DutyRunner:
    """Starts a task for each `LeaseAcquired` and stops it at `LeaseEnded`."""

    def __init__(
        self,
        duties: Mapping[str, Duty],
        tokens: LeaseTokens,
        group: TaskGroup,
        release: Callable[[str], None] = lambda duty: None,
        clock: Clock = time.monotonic,
        sleep: Sleep = anyio.sleep,
    ) -> None:
        """`clock` has to be the clock of the leases; `release(duty)` is called if its steps keep failing."""
        self._duties = duties
        self._tokens = tokens
        self._group = group
        self._release = release
        self._clock = clock
        self._sleep = sleep
        self._holdings: dict[str, _Holding] = {}  # current holdings by duty
        # Invariant: a holding of a duty begins only after the previous one has set this event.
        self._last_stopped: dict[str, anyio.Event] = {}  # event of the latest holding, by duty
        self.counts: Counter[DutyEvent] = Counter()

    def apply(self, action: Action) -> None:
        """Begin or stop a duty; ignores other actions, and `LeaseEnded` of an earlier holding."""
        match action:
            case LeaseAcquired() if action.duty in self._duties:
                self._begin(action.duty, action.token)
            case LeaseEnded():
                holding = self._holdings.get(action.duty)
                if holding is not None and holding.token == action.token:
                    self._record(DutyEvent(action.reason), action.duty, action.token)
                    self._stop(action.duty)

    def running(self) -> dict[str, int]:
        """Return the fencing tokens of the duties that are held here, by duty."""
        return {duty: holding.token for duty, holding in self._holdings.items()}

    async def stop_all(self) -> None:
        """Stop all duties and wait until their tasks have ended."""
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
        """Whether the lease is held under this token at the current time of the clock."""
        holding = self._holdings.get(duty)
        if holding is None or holding.token != token:
            return False
        return self._tokens.token(self._clock(), duty) == token

    async def _run(self, name: str, holding: _Holding) -> None:
        """Run one holding after the previous one of the same duty has stopped."""
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
        """Run steps until cancelled; after too many consecutive failures, release the duty."""
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
