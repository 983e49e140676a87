"""An orderly stop of the queue component: what is in flight ends before the lock is released."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import anyio
import pytest
from prometheus_client import CollectorRegistry

from ringledge.decide.replay.scheduler import SendOutcome
from ringledge.members.replay_sender import SendHandle, SendResult
from ringledge.store import component as component_module
from ringledge.store.component import QueueComponent
from ringledge.store.entry import Entry, EntryOutcome
from ringledge.store.settings import QueueConfig
from tests.store.test_component import FakeObservations, request, serve, wait_until


class Booking:
    """The handle of an entry that must not run twice."""

    def cancel(self) -> bool:
        return False


@pytest.mark.parametrize("answer", ["before the time-out", "after the time-out"])
def test_booking_in_flight_at_a_stop_ends_as_served_if_its_answer_comes_in_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, answer: str
) -> None:
    """Guards against a lock that is released first: the next holder ends the booking as unknown for good."""
    in_time = answer == "before the time-out"
    monkeypatch.setattr(component_module, "DRAIN_TIMEOUT_S", 20.0 if in_time else 0.0)

    async def run() -> None:
        components, results = [], list[Callable[[SendResult], None]]()

        def send(entry: Entry, on_result: Callable[[SendResult], None]) -> SendHandle | None:
            results.append(on_result)
            return Booking()

        async with anyio.create_task_group() as tasks:
            for _ in range(2):
                config = QueueConfig(path=str(tmp_path / "queue.db"))
                observations = FakeObservations(reachable=True)
                component = QueueComponent(config, observations, CollectorRegistry(), random.Random(1))
                component.sender = send
                component.start(tasks)
                components.append(component)
            holder, other = components
            with anyio.fail_after(20):
                holder.ready()
                await wait_until(lambda: holder.replayer.scheduler is not None)
                other.ready()
                for name in ("a", "b"):
                    await holder.queue.enqueue(replace(request(name), idempotent=False))
                await wait_until(lambda: len(results) == 2)
                async with anyio.create_task_group() as stopping:
                    stopping.start_soon(holder.stop)
                    if in_time:
                        await wait_until(lambda: holder.replayer.scheduler is None)
                        await holder.queue.enqueue(replace(request("c"), idempotent=False))
                        assert other._file_lock is not None
                        await other._file_lock.step()  # takes the queue over if it can
                        for on_result in results[:2]:
                            on_result(SendResult(SendOutcome.SERVED, True, b"{}", 20.0, 10.0))
                outcome = EntryOutcome.SERVED if in_time else EntryOutcome.UNKNOWN
                for name in ("a", "b"):
                    while (entry := await other.queue.get(name)) is None or entry.outcome is not outcome:
                        await anyio.sleep(0.01)
                await wait_until(lambda: other.replayer.scheduler is not None)
                await wait_until(lambda: len(results) == (3 if in_time else 2))  # "c", by the next holder
                for component in components:
                    component.queue.stop()
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_lock_is_not_acquired_by_a_process_that_stops(tmp_path: Path) -> None:
    """Guards against a step that was under way as the lock was released: it locked and adopted anew."""

    async def run() -> None:
        component = QueueComponent(
            QueueConfig(path=str(tmp_path / "queue.db")),
            FakeObservations(reachable=True),
            CollectorRegistry(),
            random.Random(1),
        )
        component.sender = serve
        async with anyio.create_task_group() as tasks:
            component.start(tasks)
            lock = component._file_lock
            assert lock is not None
            async with anyio.create_task_group() as stepping:
                stepping.start_soon(lock.step)
                await wait_until(lambda: lock._descriptor >= 0)  # the token is being read
                await component.stop()
            assert not lock.is_held() and lock._descriptor < 0 and component.replayer.scheduler is None
            component.queue.stop()

    anyio.run(run)
