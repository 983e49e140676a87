"""Runs the duties that this member holds: begun with their token, a step at a time, stopped when they end.

Whether the lease still runs is asked of this process's own clock before each step, and by the duty itself
right before each effect (`still`). That clock is the one that ticks the leases (`on_clock.now_s` in the
program): it runs on while the process is stopped or the machine sleeps. What stands still between
`still()` and its effect acts late all the same: each effect carries its token, and who receives it asks a
`ringledge.decide.leases.fencing.Fence`.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from ringledge.decide.interface import Action, LeaseAcquired, LeaseEnded, LeaseTokens
from ringledge.members.duty import Duty
from ringledge.observe.logging import log

Clock = Callable[[], float]
Sleep = Callable[[float], Awaitable[None]]

FAILED_WAIT_S = 1.0  # before the next step, where one raised: neither a loop at full speed nor a duty undone
LOOK_AGAIN_S = 0.02  # where the lease ran out by the clock and its End is not told yet
MOST_FAILED = 5  # steps in a row that raised: another member may do better


@dataclass(slots=True)
class _Running:
    """One holding."""

    token: int
    before: anyio.Event | None  # set once the one before of this duty has stopped
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    done: anyio.Event = field(default_factory=anyio.Event)


class Duties:
    """Carries out Begin and End; within `async with anyio.create_task_group()` of whoever runs the leases."""

    def __init__(
        self,
        duties: Mapping[str, Duty],
        tokens: LeaseTokens,
        group: TaskGroup,
        give_up: Callable[[str], None] = lambda duty: None,
        clock: Clock = time.monotonic,
        sleep: Sleep = anyio.sleep,
    ) -> None:
        """`clock`: that of who ticks the leases. `give_up(duty)` is told of one whose steps keep failing."""
        self._duties, self._tokens, self._group = duties, tokens, group
        self._give_up, self._clock, self._sleep = give_up, clock, sleep
        self._running: dict[str, _Running] = {}
        self._last: dict[str, anyio.Event] = {}  # by duty, set once its latest holding has stopped
        self.counts: Counter[str] = Counter()

    def apply(self, action: Action) -> None:
        """Take a Begin or End of the leases; what else they say isn't for here."""
        if isinstance(action, LeaseAcquired) and action.duty in self._duties:
            self._stop(action.duty)
            running = _Running(action.token, self._last.get(action.duty))
            self._running[action.duty] = running
            self._last[action.duty] = running.done
            self._count("begun", action.duty, action.token)
            self._group.start_soon(self._run, action.duty, running)
        elif isinstance(action, LeaseEnded):
            running_now = self._running.get(action.duty)
            if running_now is not None and running_now.token == action.token:
                self._count(action.reason, action.duty, action.token)
                self._stop(action.duty)

    def held(self) -> dict[str, int]:
        """Duties that run here, with their tokens."""
        return {duty: running.token for duty, running in self._running.items()}

    async def stopped(self) -> None:
        """Stop all, and wait until each has."""
        for duty in [*self._running]:
            self._stop(duty)
        for done in [*self._last.values()]:
            await done.wait()

    def _stop(self, duty: str) -> None:
        if (running := self._running.pop(duty, None)) is not None:
            running.scope.cancel()

    def _still(self, duty: str, token: int) -> bool:
        """Whether the lease runs, by a look at the clock now."""
        running = self._running.get(duty)
        held = running is not None and running.token == token
        return held and self._tokens.token(self._clock(), duty) == token

    async def _run(self, name: str, running: _Running) -> None:
        """Step while the lease runs, once the holding before has stopped."""
        duty, begun = self._duties[name], False
        try:
            with running.scope:
                if running.before is not None:
                    await running.before.wait()
                duty.begin(running.token)
                begun = True
                await self._steps(name, duty, running.token)
        finally:
            if begun:
                duty.stop()
            running.done.set()

    async def _steps(self, name: str, duty: Duty, token: int) -> None:
        """Until it is cancelled, or its steps have failed too often."""
        failed = 0
        while failed < MOST_FAILED:
            wait_s = LOOK_AGAIN_S
            if self._still(name, token):
                try:
                    wait_s, failed = await duty.step(token, lambda: self._still(name, token)), 0
                except Exception as error:
                    log.exception("duty_step", error, duty=name, token=token)
                    wait_s, failed = FAILED_WAIT_S, failed + 1
                    self.counts["step_failed"] += 1
            await self._sleep(wait_s)
        self._give_up(name)

    def _count(self, what: str, duty: str, token: int) -> None:
        self.counts[what] += 1
        log.info("duty", duty=duty, token=token, what=what)
