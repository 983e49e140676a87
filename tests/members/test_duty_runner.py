"""Start, steps and stop of duties with their leases, on a clock that the test advances."""

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
from ringledge.members.duty import LeaseCheck
from ringledge.members.duty_runner import MAX_FAILED_STEPS, STEP_RETRY_INTERVAL_S, DutyEvent, DutyRunner

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class FakeLeaseTokens:
    """Lease tokens of a single lease that expires at `until_s`."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.until_s = 3.0
        self.held_token = 7

    def token(self, now_s: float, duty: str) -> int | None:
        return self.held_token if now_s < self.until_s else None


class RecordingDuty:
    """A duty that records its calls; `in_step` is called in the middle of each step, before the effect."""

    def __init__(self, in_step: Callable[[], Any] = lambda: None) -> None:
        self.events: list[str] = []
        self.event_recorded = anyio.Event()
        self._in_step = in_step

    def record(self, event: str) -> None:
        self.events.append(event)
        self.event_recorded.set()
        self.event_recorded = anyio.Event()

    async def wait_for(self, *wanted: str) -> None:
        while [each for each in self.events if each in wanted] != [*wanted]:
            with anyio.fail_after(5):
                await self.event_recorded.wait()

    def begin(self, token: int) -> None:
        self.record(f"begin {token}")

    async def step(self, token: int, is_held: LeaseCheck) -> float:
        self.record(f"step {token}")
        await anyio.lowlevel.checkpoint()
        self._in_step()
        if is_held():
            self.record(f"effect {token}")
        return 60.0

    def stop(self) -> None:
        self.record("stop")


class FakeClock:
    """Clock that advances only when `sleep` is called."""

    def __init__(self, leases: FakeLeaseTokens) -> None:
        self.leases = leases
        self.sleeps = list[float]()

    async def sleep(self, duration_s: float) -> None:
        self.sleeps.append(duration_s)
        if len(self.sleeps) > MAX_FAILED_STEPS + 1:
            await anyio.sleep_forever()
        self.leases.now_s += duration_s
        await anyio.lowlevel.checkpoint()


async def test_duty_is_begun_stepped_and_stopped_with_its_lease() -> None:
    leases, duty = FakeLeaseTokens(), RecordingDuty()
    async with anyio.create_task_group() as group:
        runner = DutyRunner({"planner": duty}, leases, group, clock=lambda: leases.now_s)
        runner.apply(LeaseAcquired("planner", 7, 3.0))
        await duty.wait_for("begin 7", "step 7", "effect 7")
        assert runner.running() == {"planner": 7}
        runner.apply(LeaseEnded("planner", 6, "expired"))  # delayed report about an earlier holding
        assert runner.running() == {"planner": 7}
        runner.apply(LeaseEnded("planner", 7, "given_up"))
        await runner.stop_all()
    assert duty.events == ["begin 7", "step 7", "effect 7", "stop"]
    assert runner.counts == {"begun": 1, "given_up": 1}


async def test_lease_that_expires_within_a_step_allows_no_effect() -> None:
    leases = FakeLeaseTokens()
    duty = RecordingDuty(lambda: setattr(leases, "now_s", 3.0))
    async with anyio.create_task_group() as group:
        runner = DutyRunner({"planner": duty}, leases, group, clock=lambda: leases.now_s)
        runner.apply(LeaseAcquired("planner", 7, 3.0))
        await duty.wait_for("begin 7", "step 7")
        await anyio.wait_all_tasks_blocked()
        runner.apply(LeaseEnded("planner", 7, "expired"))
        await runner.stop_all()
    assert duty.events == ["begin 7", "step 7", "stop"]


async def test_expired_lease_allows_no_step_before_its_end_is_reported() -> None:
    leases, duty = FakeLeaseTokens(), RecordingDuty()
    clock = FakeClock(leases)
    async with anyio.create_task_group() as group:
        runner = DutyRunner({"planner": duty}, leases, group, clock=lambda: leases.now_s, sleep=clock.sleep)
        runner.apply(LeaseAcquired("planner", 7, 3.0))
        await anyio.wait_all_tasks_blocked()
        assert duty.events.count("step 7") == 1  # the next step is due in 60 s, when the lease has expired
        await runner.stop_all()
    assert duty.events[-1] == "stop"


async def test_next_holding_begins_after_the_previous_one_has_stopped() -> None:
    class SlowToStop(RecordingDuty):
        async def step(self, token: int, is_held: LeaseCheck) -> float:
            try:
                await super().step(token, is_held)
                await anyio.sleep_forever()
            finally:
                with anyio.CancelScope(shield=True):
                    for _ in range(10):
                        await anyio.lowlevel.checkpoint()
            return 0.0

    leases, duty = FakeLeaseTokens(), SlowToStop()
    async with anyio.create_task_group() as group:
        runner = DutyRunner({"planner": duty}, leases, group, clock=lambda: leases.now_s)
        runner.apply(LeaseAcquired("planner", 7, 3.0))
        await duty.wait_for("effect 7")
        leases.held_token = 8
        runner.apply(LeaseEnded("planner", 7, "expired"))
        runner.apply(LeaseAcquired("planner", 8, 3.0))
        await duty.wait_for("effect 8")
        await runner.stop_all()
    assert duty.events == [
        *("begin 7", "step 7", "effect 7", "stop"),
        *("begin 8", "step 8", "effect 8", "stop"),
    ]


async def test_duty_is_released_after_too_many_failed_steps_in_a_row() -> None:
    def fail() -> None:
        raise RuntimeError("no")

    leases, duty, released = FakeLeaseTokens(), RecordingDuty(fail), list[str]()
    leases.until_s = 1e9
    clock = FakeClock(leases)
    async with anyio.create_task_group() as group:
        runner = DutyRunner(
            {"planner": duty}, leases, group, released.append, lambda: leases.now_s, clock.sleep
        )
        runner.apply(LeaseAcquired("planner", 7, 3.0))
        await anyio.wait_all_tasks_blocked()
        await runner.stop_all()
    assert released == ["planner"]
    assert clock.sleeps == [STEP_RETRY_INTERVAL_S] * MAX_FAILED_STEPS
    assert runner.counts[DutyEvent.STEP_FAILED] == MAX_FAILED_STEPS


def test_monotonic_clock_advances_while_the_process_is_stopped() -> None:
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
        while time.monotonic() < stopped_s + 0.2:  # so that the child is stopped for at least 0.2 s
            time.sleep(0.01)
        child.send_signal(signal.SIGCONT)
        assert reading() - before >= 0.2
        child.stdin.close()
