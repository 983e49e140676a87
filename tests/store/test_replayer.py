"""Replay under faults: lease holders that die, are suspended or are partitioned, and a full disk."""

from __future__ import annotations

import random
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import anyio
from prometheus_client import CollectorRegistry

from ringledge.decide.replay.partition_detection import SiteState
from ringledge.decide.replay.rate_control import PROBE_INTERVAL_S, RateController
from ringledge.decide.replay.scheduler import ReplayScheduler, SendOutcome
from ringledge.members.replay_sender import SendHandle, SendResult
from ringledge.members.replayer import Replayer
from ringledge.store.entry import Entry, EntryOutcome, EntryState
from ringledge.store.metrics import QueueMetrics
from ringledge.store.queue import Queue
from ringledge.store.settings import QueueConfig
from tests.store.helpers import NOW_S, queued_request


class EntrySenderStandIn:
    """Sender whose attempts stay in flight until the test completes them."""

    def __init__(self) -> None:
        self.sent: list[str] = []
        self.in_flight: dict[str, Callable[[SendResult], None]] = {}
        self.cancelled: list[str] = []

    def __call__(self, entry: Entry, on_result: Callable[[SendResult], None]) -> SendHandle | None:
        self.sent.append(entry.name)
        self.in_flight[entry.name] = on_result
        stand_in = self

        class Handle:
            def cancel(self) -> bool:
                stand_in.cancelled.append(entry.name)
                return entry.request.idempotent

        return Handle()

    def complete(
        self, name: str, outcome: SendOutcome = SendOutcome.SERVED, may_have_run: bool = True
    ) -> None:
        self.in_flight.pop(name)(
            SendResult(outcome, may_have_run, b"{}" if outcome is SendOutcome.SERVED else b"")
        )


class Site:
    """Lease holders that share a queue's file, on a clock that the test advances."""

    def __init__(self, path: Path, tasks: anyio.abc.TaskGroup) -> None:
        self.path, self.tasks, self.now_s = path, tasks, 0.0
        self.state, self.sender = SiteState.AVAILABLE, EntrySenderStandIn()
        self.queue = self.open_queue()

    def open_queue(self) -> Queue:
        queue = Queue(QueueConfig(path=str(self.path), lock_timeout_s=5.0), lambda: NOW_S + self.now_s)
        queue.start()
        return queue

    def begin_replay(self, token: int, queue: Queue | None = None) -> tuple[Replayer, QueueMetrics]:
        def make_scheduler(now_s: float, token: int) -> ReplayScheduler:
            rate_controller = RateController(random.Random(1), jitter_s=0.0)
            rate_controller.set_ceiling(now_s, 1e9)
            return ReplayScheduler(rate_controller, 8)

        metrics = QueueMetrics(CollectorRegistry())
        replayed_queue, site = queue or self.queue, self
        replayer = Replayer(
            replayed_queue, self.sender, make_scheduler, lambda: site.state, lambda: site.now_s, metrics
        )
        replayer.tasks = self.tasks
        replayer.begin(token)
        return replayer, metrics

    async def run_steps(
        self, replayer: Replayer, token: int, is_held: Callable[[], bool] = lambda: True
    ) -> None:
        """Run 12 steps at intervals of 0.1 s, and wait until the results of each are written."""
        for _ in range(12):
            await replayer.step(token, is_held)
            while replayer.unsettled_count and not replayer._unsettled_results:
                await anyio.sleep(0)
            self.now_s += 0.1

    async def entry(self, name: str) -> Entry:
        found = await self.queue.get(name)
        assert found is not None
        return found


def run_scenario(path: Path, scenario: Callable[[Site], Coroutine[Any, Any, None]]) -> None:
    """Run a scenario with two entries: `book`, which is not idempotent, and `ask`, which is."""

    async def run() -> None:
        with anyio.fail_after(30):
            async with anyio.create_task_group() as tasks:
                site = Site(path / "queue.db", tasks)
                await site.queue.enqueue(queued_request("book", idempotent=False))
                await site.queue.enqueue(queued_request("ask"))
                await scenario(site)
                tasks.cancel_scope.cancel()
            site.queue.stop()

    anyio.run(run)


def test_entries_of_a_dead_holder_end_as_unknown_or_are_sent_again(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        first, _ = site.begin_replay(1)
        await site.run_steps(first, 1)
        assert sorted(site.sender.sent) == ["ask", "book"]  # the first holder dies here
        second, metrics = site.begin_replay(2, site.open_queue())
        await site.run_steps(second, 2)
        assert site.sender.sent.count("book") == 1 and site.sender.sent.count("ask") == 2
        assert (await site.entry("book")).outcome is EntryOutcome.UNKNOWN
        site.sender.complete("ask")
        await site.run_steps(second, 2)
        assert (await site.entry("ask")).outcome is EntryOutcome.SERVED
        assert metrics.outcomes.labels("unknown")._value.get() == 1

    run_scenario(tmp_path, scenario)


def test_results_of_a_suspended_holder_are_rejected_after_a_takeover(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        first, metrics = site.begin_replay(1)
        await site.run_steps(first, 1)
        callbacks = dict(site.sender.in_flight)
        second, _ = site.begin_replay(2, site.open_queue())
        await site.run_steps(second, 2)
        for name in ("book", "ask"):  # the first holder resumes and gets its responses
            callbacks[name](SendResult(SendOutcome.SERVED, True, b"{}"))
        await site.run_steps(first, 1)
        assert metrics.stale_effects._value.get() >= 2
        assert (await site.entry("book")).outcome is EntryOutcome.UNKNOWN
        assert (await site.entry("ask")).state is EntryState.BEGUN  # begun by the second holder
        assert site.sender.sent.count("book") == 1

    run_scenario(tmp_path, scenario)


def test_nothing_is_sent_if_the_lease_ends_while_the_start_is_written(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        replayer, _ = site.begin_replay(1)
        lease_checks = iter([True, False])  # held before the sync but not after it
        await site.run_steps(replayer, 1, lambda: next(lease_checks, False))
        assert not site.sender.sent
        for name in ("book", "ask"):
            entry = await site.entry(name)
            assert entry.state is EntryState.WAITING and entry.attempts == 0

    run_scenario(tmp_path, scenario)


def test_partitioned_site_sends_only_probes_until_the_partition_ends(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        replayer, _ = site.begin_replay(1)
        await site.run_steps(replayer, 1)
        site.state = SiteState.PARTITIONED
        site.sender.complete("book", SendOutcome.FAILED, may_have_run=True)  # sent without a response
        site.sender.complete("ask", SendOutcome.FAILED, may_have_run=True)
        for number in range(20):
            await site.queue.enqueue(queued_request(f"{number}", idempotent=number % 2 == 0))
        sent, start_s = len(site.sender.sent), site.now_s
        for _ in range(5):
            await site.run_steps(replayer, 1)
            for name in list(site.sender.in_flight):
                site.sender.complete(name, SendOutcome.REJECTED, may_have_run=False)
        probes = len(site.sender.sent) - sent
        assert 1 <= probes <= (site.now_s - start_s) / PROBE_INTERVAL_S + 1
        assert "book" not in site.sender.sent[sent:]
        assert (await site.entry("book")).outcome is EntryOutcome.UNKNOWN
        site.state = SiteState.AVAILABLE
        for _ in range(40):
            await site.run_steps(replayer, 1)
            for name in list(site.sender.in_flight):
                site.sender.complete(name)
        assert not await site.queue.backlog_by_tenant()
        booking_sends = [name for name in site.sender.sent if name.isdecimal() and int(name) % 2]
        assert len(booking_sends) == len(set(booking_sends)) == 10  # each booking is sent once

    run_scenario(tmp_path, scenario)


def test_intermittent_connection_sends_no_booking_twice(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        replayer, _ = site.begin_replay(1)
        for number in range(40):
            await site.queue.enqueue(queued_request(f"{number}", f"t{number % 4}", idempotent=False))
        for _ in range(12):
            site.state = SiteState.AVAILABLE
            start_s = site.now_s
            while site.now_s - start_s < 3.0:
                await site.run_steps(replayer, 1)
                for name in list(site.sender.in_flight):
                    site.sender.complete(name)
            await site.run_steps(replayer, 1)
            site.state = SiteState.PARTITIONED
            for name in list(site.sender.in_flight):  # entries in flight fail
                site.sender.complete(name, SendOutcome.FAILED, may_have_run=True)
            await site.run_steps(replayer, 1)
        names = [name for name in site.sender.sent if name != "ask"]
        assert len(names) == len(set(names)) == 41
        outcomes = [(await site.entry(name)).outcome for name in names]
        assert (
            set(outcomes) <= {EntryOutcome.SERVED, EntryOutcome.UNKNOWN}
            and outcomes.count(EntryOutcome.SERVED) > 10
        )

    run_scenario(tmp_path, scenario)


def test_result_that_does_not_fit_on_the_disk_is_written_later(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        replayer, _ = site.begin_replay(1)
        await site.run_steps(replayer, 1)
        page_limit_sql = "PRAGMA max_page_count = {}"
        await site.queue.worker.run(lambda db: db.execute(page_limit_sql.format(1)).fetchone(), writes=False)
        site.sender.in_flight.pop("book")(SendResult(SendOutcome.SERVED, True, b"?" * 200_000))
        await site.run_steps(replayer, 1)
        assert replayer.unsettled_count == 1 and (await site.entry("book")).state is EntryState.BEGUN
        await site.queue.worker.run(
            lambda db: db.execute(page_limit_sql.format(9_999)).fetchone(), writes=False
        )
        await site.run_steps(replayer, 1)
        assert replayer.unsettled_count == 0 and (await site.entry("book")).outcome is EntryOutcome.SERVED

    run_scenario(tmp_path, scenario)


def test_stopped_replay_cancels_idempotent_entries_and_sends_nothing_more(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        replayer, _ = site.begin_replay(1)
        await site.run_steps(replayer, 1)
        await site.queue.enqueue(queued_request("late"))
        replayer.stop()
        await site.run_steps(replayer, 1)
        assert "late" not in site.sender.sent and "ask" in site.sender.cancelled
        assert replayer.in_flight_count == 1  # the booking is not cancelled
        site.sender.complete("book")  # there is no newer holder, so its result is accepted
        await site.run_steps(replayer, 1)
        assert (await site.entry("book")).outcome is EntryOutcome.SERVED

    run_scenario(tmp_path, scenario)
