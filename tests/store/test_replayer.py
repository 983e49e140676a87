"""The replay at its hard moments: holders that die, stall or are cut off, disks that take nothing."""

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
from ringledge.store.entry import End, Entry
from ringledge.store.entry import State as EntryState
from ringledge.store.metrics import Figures
from ringledge.store.queue import Queue
from ringledge.store.settings import QueueConfig
from tests.store.helpers import NOW_S, asked


class FakeServers:
    """The servers: every send stays in flight until a test ends it."""

    def __init__(self) -> None:
        self.sent: list[str] = []
        self.in_flight: dict[str, Callable[[SendResult], None]] = {}
        self.cancelled: list[str] = []

    def __call__(self, entry: Entry, ended: Callable[[SendResult], None]) -> SendHandle | None:
        self.sent.append(entry.name)
        self.in_flight[entry.name] = ended
        outer = self

        class Handle:
            def cancel(self) -> bool:
                outer.cancelled.append(entry.name)
                return entry.asked.safe

        return Handle()

    def end(self, name: str, outcome: SendOutcome = SendOutcome.SERVED, may_have_run: bool = True) -> None:
        self.in_flight.pop(name)(
            SendResult(outcome, may_have_run, b"{}" if outcome is SendOutcome.SERVED else b"")
        )


class Site:
    """Replayers of one file, with a clock that a test advances."""

    def __init__(self, path: Path, tasks: anyio.abc.TaskGroup) -> None:
        self.path, self.tasks, self.now_s = path, tasks, 0.0
        self.state, self.servers = SiteState.AVAILABLE, FakeServers()
        self.queue = self.open_queue()

    def open_queue(self) -> Queue:
        queue = Queue(QueueConfig(path=str(self.path), busy_s=5.0), lambda: NOW_S + self.now_s)
        queue.start()
        return queue

    def start_replayer(self, token: int, queue: Queue | None = None) -> tuple[Replayer, Figures]:
        def make_scheduler(now_s: float, token: int) -> ReplayScheduler:
            controller = RateController(random.Random(1), jitter_s=0.0)
            controller.set_ceiling(now_s, 1e9)
            return ReplayScheduler(controller, 8)

        figures = Figures(CollectorRegistry())
        own_queue, site = queue or self.queue, self
        replayer = Replayer(
            own_queue, self.servers, make_scheduler, lambda: site.state, lambda: site.now_s, figures
        )
        replayer.tasks = self.tasks
        replayer.begin(token)
        return replayer, figures

    async def steps(self, replayer: Replayer, token: int, still: Callable[[], bool] = lambda: True) -> None:
        """Some steps, a tenth of a second apart."""
        for _ in range(12):
            await replayer.step(token, still)
            while replayer.unsettled_count and not replayer._unsettled_results:
                await anyio.sleep(0)
            self.now_s += 0.1

    async def entry(self, name: str) -> Entry:
        entry = await self.queue.get(name)
        assert entry is not None
        return entry


def run_scenario(path: Path, scenario: Callable[[Site], Coroutine[Any, Any, None]]) -> None:
    async def run() -> None:
        with anyio.fail_after(30):
            async with anyio.create_task_group() as tasks:
                site = Site(path / "queue.db", tasks)
                await site.queue.enqueue(asked("book", safe=False))
                await site.queue.enqueue(asked("ask"))
                await scenario(site)
                tasks.cancel_scope.cancel()
            site.queue.stop()

    anyio.run(run)


def test_successor_resends_only_idempotent_entries_of_a_dead_holder(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        first, _ = site.start_replayer(1)
        await site.steps(first, 1)
        assert sorted(site.servers.sent) == ["ask", "book"]  # it fails without any result
        second, figures = site.start_replayer(2, site.open_queue())
        await site.steps(second, 2)
        assert site.servers.sent.count("book") == 1 and site.servers.sent.count("ask") == 2
        assert (await site.entry("book")).end is End.UNKNOWN
        site.servers.end("ask")
        await site.steps(second, 2)
        assert (await site.entry("ask")).end is End.SERVED
        assert figures.ended.labels("unknown")._value.get() == 1

    run_scenario(tmp_path, scenario)


def test_results_of_a_holder_with_stale_token_are_rejected(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        first, figures = site.start_replayer(1)
        await site.steps(first, 1)
        ends = dict(site.servers.in_flight)
        second, _ = site.start_replayer(2, site.open_queue())
        await site.steps(second, 2)
        for name in ("book", "ask"):  # it resumes: its responses arrive, its lease is lost
            ends[name](SendResult(SendOutcome.SERVED, True, b"{}"))
        await site.steps(first, 1)
        assert figures.stale._value.get() >= 2
        assert (await site.entry("book")).end is End.UNKNOWN
        assert (await site.entry("ask")).state is EntryState.BEGUN  # of the second holder
        assert site.servers.sent.count("book") == 1

    run_scenario(tmp_path, scenario)


def test_lease_lost_while_start_is_written_sends_nothing(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        replayer, _ = site.start_replayer(1)
        lease_checks = iter([True, False])  # held before the sync, lost after it
        await site.steps(replayer, 1, lambda: next(lease_checks, False))
        assert not site.servers.sent
        for name in ("book", "ask"):
            entry = await site.entry(name)
            assert entry.state is EntryState.WAITING and entry.attempts == 0

    run_scenario(tmp_path, scenario)


def test_partitioned_site_sends_only_probes_and_no_booking_twice(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        replayer, _ = site.start_replayer(1)
        await site.steps(replayer, 1)
        site.state = SiteState.PARTITIONED
        site.servers.end("book", SendOutcome.FAILED, may_have_run=True)  # sent, without a response
        site.servers.end("ask", SendOutcome.FAILED, may_have_run=True)
        for number in range(20):
            await site.queue.enqueue(asked(f"{number}", safe=number % 2 == 0))
        sent, from_s = len(site.servers.sent), site.now_s
        for _ in range(5):
            await site.steps(replayer, 1)
            for name in list(site.servers.in_flight):
                site.servers.end(name, SendOutcome.REJECTED, may_have_run=False)
        attempts = len(site.servers.sent) - sent
        assert 1 <= attempts <= (site.now_s - from_s) / PROBE_INTERVAL_S + 1
        assert "book" not in site.servers.sent[sent:]
        assert (await site.entry("book")).end is End.UNKNOWN
        site.state = SiteState.AVAILABLE
        for _ in range(40):
            await site.steps(replayer, 1)
            for name in list(site.servers.in_flight):
                site.servers.end(name)
        assert not await site.queue.waiting()
        sends = [name for name in site.servers.sent if name.isdecimal() and int(name) % 2]
        assert len(sends) == len(set(sends)) == 10  # each booking once

    run_scenario(tmp_path, scenario)


def test_intermittent_link_sends_each_booking_once(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        replayer, _ = site.start_replayer(1)
        for number in range(40):
            await site.queue.enqueue(asked(f"{number}", f"t{number % 4}", safe=False))
        for _ in range(12):
            site.state = SiteState.AVAILABLE
            from_s = site.now_s
            while site.now_s - from_s < 3.0:
                await site.steps(replayer, 1)
                for name in list(site.servers.in_flight):
                    site.servers.end(name)
            await site.steps(replayer, 1)
            site.state = SiteState.PARTITIONED
            for name in list(site.servers.in_flight):  # what is in flight fails
                site.servers.end(name, SendOutcome.FAILED, may_have_run=True)
            await site.steps(replayer, 1)
        names = [name for name in site.servers.sent if name != "ask"]
        assert len(names) == len(set(names)) == 41
        ends = [(await site.entry(name)).end for name in names]
        assert set(ends) <= {End.SERVED, End.UNKNOWN} and ends.count(End.SERVED) > 10

    run_scenario(tmp_path, scenario)


def test_result_that_the_disk_rejects_is_written_later(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        replayer, _ = site.start_replayer(1)
        await site.steps(replayer, 1)
        page_limit = "PRAGMA max_page_count = {}"
        await site.queue.worker.run(lambda db: db.execute(page_limit.format(1)).fetchone(), writes=False)
        site.servers.in_flight.pop("book")(SendResult(SendOutcome.SERVED, True, b"?" * 200_000))
        await site.steps(replayer, 1)
        assert replayer.unsettled_count == 1 and (await site.entry("book")).state is EntryState.BEGUN
        await site.queue.worker.run(lambda db: db.execute(page_limit.format(9_999)).fetchone(), writes=False)
        await site.steps(replayer, 1)
        assert replayer.unsettled_count == 0 and (await site.entry("book")).end is End.SERVED

    run_scenario(tmp_path, scenario)


def test_stopped_replayer_cancels_idempotent_entries_and_sends_nothing(tmp_path: Path) -> None:
    async def scenario(site: Site) -> None:
        replayer, _ = site.start_replayer(1)
        await site.steps(replayer, 1)
        await site.queue.enqueue(asked("late"))
        replayer.stop()
        await site.steps(replayer, 1)
        assert "late" not in site.servers.sent and "ask" in site.servers.cancelled
        assert replayer.in_flight_count == 1  # the booking runs on
        site.servers.end("book")  # there is no successor yet: its result is accepted
        await site.steps(replayer, 1)
        assert (await site.entry("book")).end is End.SERVED

    run_scenario(tmp_path, scenario)
