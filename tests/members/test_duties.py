"""Duties run a step at a time, with a clock that the test turns."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from typing import Any

import anyio
import pytest

from ringledge.decide.interface import LeaseAcquired, LeaseEnded
from ringledge.members.duties import FAILED_WAIT_S, MOST_FAILED, Duties
from ringledge.members.duty import Still

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class Held:
    """Stands for the leases: one token until a time."""

    def __init__(self) -> None:
        self.now_s, self.until_s, self.held = 0.0, 3.0, 7

    def token(self, now_s: float, duty: str) -> int | None:
        return self.held if now_s < self.until_s else None


class Recorded:
    """A duty that writes down what happens to it; `in_step` is called in the middle of each step."""

    def __init__(self, in_step: Callable[[], Any] = lambda: None) -> None:
        self.seen: list[str] = []
        self.moved = anyio.Event()
        self._in_step = in_step

    def note(self, what: str) -> None:
        self.seen.append(what)
        self.moved.set()
        self.moved = anyio.Event()

    async def until(self, *wanted: str) -> None:
        while [each for each in self.seen if each in wanted] != [*wanted]:
            with anyio.fail_after(5):
                await self.moved.wait()

    def begin(self, token: int) -> None:
        self.note(f"begin {token}")

    async def step(self, token: int, still: Still) -> float:
        self.note(f"step {token}")
        await anyio.lowlevel.checkpoint()
        self._in_step()
        if still():
            self.note(f"effect {token}")
        return 60.0

    def stop(self) -> None:
        self.note("stop")


class Clock:
    """Time passes only where somebody sleeps on it."""

    def __init__(self, held: Held) -> None:
        self.held, self.slept = held, list[float]()

    async def sleep(self, length_s: float) -> None:
        self.slept.append(length_s)
        if len(self.slept) > MOST_FAILED + 1:
            await anyio.sleep_forever()
        self.held.now_s += length_s
        await anyio.lowlevel.checkpoint()


async def test_it_is_begun_stepped_and_stopped() -> None:
    held, duty = Held(), Recorded()
    async with anyio.create_task_group() as group:
        duties = Duties({"planner": duty}, held, group, clock=lambda: held.now_s)
        duties.apply(LeaseAcquired("planner", 7, 3.0))
        await duty.until("begin 7", "step 7", "effect 7")
        assert duties.held() == {"planner": 7}
        duties.apply(LeaseEnded("planner", 6, "expired"))  # of an earlier holding: late, and not for this one
        assert duties.held() == {"planner": 7}
        duties.apply(LeaseEnded("planner", 7, "given_up"))
        await duties.stopped()
    assert duty.seen == ["begin 7", "step 7", "effect 7", "stop"]
    assert duties.counts == {"begun": 1, "given_up": 1}


async def test_a_lease_that_ran_out_within_the_step_allows_no_effect() -> None:
    held = Held()
    duty = Recorded(lambda: setattr(held, "now_s", 3.0))
    async with anyio.create_task_group() as group:
        duties = Duties({"planner": duty}, held, group, clock=lambda: held.now_s)
        duties.apply(LeaseAcquired("planner", 7, 3.0))
        await duty.until("begin 7", "step 7")
        await anyio.wait_all_tasks_blocked()
        duties.apply(LeaseEnded("planner", 7, "expired"))
        await duties.stopped()
    assert duty.seen == ["begin 7", "step 7", "stop"]


async def test_no_step_once_the_lease_has_run_out_though_its_end_is_not_told() -> None:
    held, duty = Held(), Recorded()
    clock = Clock(held)
    async with anyio.create_task_group() as group:
        duties = Duties({"planner": duty}, held, group, clock=lambda: held.now_s, sleep=clock.sleep)
        duties.apply(LeaseAcquired("planner", 7, 3.0))
        await anyio.wait_all_tasks_blocked()
        assert duty.seen.count("step 7") == 1  # 60 s later the lease is over
        await duties.stopped()
    assert duty.seen[-1] == "stop"


async def test_a_holding_that_follows_begins_after_the_one_before_has_stopped() -> None:
    class Slow(Recorded):
        async def step(self, token: int, still: Still) -> float:
            try:
                await super().step(token, still)
                await anyio.sleep_forever()
            finally:
                with anyio.CancelScope(shield=True):
                    for _ in range(10):
                        await anyio.lowlevel.checkpoint()
            return 0.0

    held, duty = Held(), Slow()
    async with anyio.create_task_group() as group:
        duties = Duties({"planner": duty}, held, group, clock=lambda: held.now_s)
        duties.apply(LeaseAcquired("planner", 7, 3.0))
        await duty.until("effect 7")
        held.held = 8
        duties.apply(LeaseEnded("planner", 7, "expired"))
        duties.apply(LeaseAcquired("planner", 8, 3.0))
        await duty.until("effect 8")
        await duties.stopped()
    assert duty.seen == [
        *("begin 7", "step 7", "effect 7", "stop"),
        *("begin 8", "step 8", "effect 8", "stop"),
    ]


async def test_a_duty_whose_steps_fail_again_and_again_is_given_up() -> None:
    def fail() -> None:
        raise RuntimeError("no")

    held, duty, given_up = Held(), Recorded(fail), list[str]()
    held.until_s, clock = 1e9, Clock(held)
    async with anyio.create_task_group() as group:
        duties = Duties({"planner": duty}, held, group, given_up.append, lambda: held.now_s, clock.sleep)
        duties.apply(LeaseAcquired("planner", 7, 3.0))
        await anyio.wait_all_tasks_blocked()
        await duties.stopped()
    assert given_up == ["planner"]
    assert clock.slept == [FAILED_WAIT_S] * MOST_FAILED
    assert duties.counts["step_failed"] == MOST_FAILED


def test_the_clock_runs_on_while_the_process_is_stopped() -> None:
    code = "import time\nfor line in open(0): print(time.monotonic(), flush=True)"
    with subprocess.Popen(
        [sys.executable, "-c", code], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    ) as child:
        assert child.stdin is not None and child.stdout is not None

        def reading() -> float:
            assert child.stdin is not None and child.stdout is not None
            child.stdin.write("\n")
            child.stdin.flush()
            return float(child.stdout.readline())

        before = reading()
        child.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, child.pid, os.WSTOPPED)
        stopped_s = time.monotonic()
        while time.monotonic() < stopped_s + 0.2:  # what is measured is that time passes
            time.sleep(0.01)
        child.send_signal(signal.SIGCONT)
        assert reading() - before >= 0.2
        child.stdin.close()
