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
from ringledge.store.entry import Entry, EntryOutcome, EntryState
from ringledge.store.metrics import QueueMetrics
from ringledge.store.queue import Queue
from ringledge.store.settings import QueueConfig
from tests.store.helpers import NOW_S, queued_request


class StandIn:
    """The servers: every send waits until a test ends it."""

    def __init__(self) -> None:
        self.sent: list[str] = []
        self.out: dict[str, Callable[[SendResult], None]] = {}
        self.cancelled: list[str] = []

    def __call__(self, entry: Entry, on_result: Callable[[SendResult], None]) -> SendHandle | None:
        self.sent.append(entry.name)
        self.out[entry.name] = on_result
        outer = self

        class Out:
            def cancel(self) -> bool:
                outer.cancelled.append(entry.name)
                return entry.request.idempotent

        return Out()

    def end(self, name: str, verdict: SendOutcome = SendOutcome.SERVED, ran: bool = True) -> None:
        self.out.pop(name)(SendResult(verdict, ran, b"{}" if verdict is SendOutcome.SERVED else b""))


class Site:
    """Holders at one file, on a clock that a test moves."""

    def __init__(self, path: Path, tasks: anyio.abc.TaskGroup) -> None:
        self.path, self.tasks, self.now_s = path, tasks, 0.0
        self.state, self.servers = SiteState.AVAILABLE, StandIn()
        self.queue = self.process()

    def process(self) -> Queue:
        queue = Queue(QueueConfig(path=str(self.path), lock_timeout_s=5.0), lambda: NOW_S + self.now_s)
        queue.start()
        return queue

    def holder(self, token: int, queue: Queue | None = None) -> tuple[Replayer, QueueMetrics]:
        def decider(now_s: float, token: int) -> ReplayScheduler:
            pace = RateController(random.Random(1), jitter_s=0.0)
            pace.set_ceiling(now_s, 1e9)
            return ReplayScheduler(pace, 8)

        figures = QueueMetrics(CollectorRegistry())
        at, site = queue or self.queue, self
        made = Replayer(at, self.servers, decider, lambda: site.state, lambda: site.now_s, figures)
        made.tasks = self.tasks
        made.begin(token)
        return made, figures

    async def steps(self, replayer: Replayer, token: int, still: Callable[[], bool] = lambda: True) -> None:
        """Some steps, a tenth of a second apart."""
        for _ in range(12):
            await replayer.step(token, still)
            while replayer.unsettled_count and not replayer._unsettled_results:
                await anyio.sleep(0)
            self.now_s += 0.1

    async def entry(self, name: str) -> Entry:
        told = await self.queue.get(name)
        assert told is not None
        return told


def play(path: Path, game: Callable[[Site], Coroutine[Any, Any, None]]) -> None:
    async def run() -> None:
        with anyio.fail_after(30):
            async with anyio.create_task_group() as tasks:
                site = Site(path / "queue.db", tasks)
                await site.queue.enqueue(queued_request("book", idempotent=False))
                await site.queue.enqueue(queued_request("ask"))
                await game(site)
                tasks.cancel_scope.cancel()
            site.queue.stop()

    anyio.run(run)


def test_a_holder_that_dies_after_the_send_and_before_the_end_is_written(tmp_path: Path) -> None:
    async def game(site: Site) -> None:
        first, _ = site.holder(1)
        await site.steps(first, 1)
        assert sorted(site.servers.sent) == ["ask", "book"]  # and now nothing more is heard of it
        second, figures = site.holder(2, site.process())
        await site.steps(second, 2)
        assert site.servers.sent.count("book") == 1 and site.servers.sent.count("ask") == 2
        assert (await site.entry("book")).outcome is EntryOutcome.UNKNOWN
        site.servers.end("ask")
        await site.steps(second, 2)
        assert (await site.entry("ask")).outcome is EntryOutcome.SERVED
        assert figures.outcomes.labels("unknown")._value.get() == 1

    play(tmp_path, game)


def test_a_holder_that_stood_still_is_refused_what_it_still_does(tmp_path: Path) -> None:
    async def game(site: Site) -> None:
        first, figures = site.holder(1)
        await site.steps(first, 1)
        ends = dict(site.servers.out)
        second, _ = site.holder(2, site.process())
        await site.steps(second, 2)
        for name in ("book", "ask"):  # it goes on where it stood: its answers come, its lease is gone
            ends[name](SendResult(SendOutcome.SERVED, True, b"{}"))
        await site.steps(first, 1)
        assert figures.stale_effects._value.get() >= 2
        assert (await site.entry("book")).outcome is EntryOutcome.UNKNOWN
        assert (await site.entry("ask")).state is EntryState.BEGUN  # the second holder's
        assert site.servers.sent.count("book") == 1

    play(tmp_path, game)


def test_a_lease_that_ends_while_the_start_is_written_sends_nothing(tmp_path: Path) -> None:
    async def game(site: Site) -> None:
        replayer, _ = site.holder(1)
        looks = iter([True, False])  # before the sync it runs, after it no more
        await site.steps(replayer, 1, lambda: next(looks, False))
        assert not site.servers.sent
        for name in ("book", "ask"):
            entry = await site.entry(name)
            assert entry.state is EntryState.WAITING and entry.attempts == 0

    play(tmp_path, game)


def test_a_site_that_is_cut_off_while_it_replays(tmp_path: Path) -> None:
    async def game(site: Site) -> None:
        replayer, _ = site.holder(1)
        await site.steps(replayer, 1)
        site.state = SiteState.PARTITIONED
        site.servers.end("book", SendOutcome.FAILED, ran=True)  # it was written, and nothing came back
        site.servers.end("ask", SendOutcome.FAILED, ran=True)
        for number in range(20):
            await site.queue.enqueue(queued_request(f"{number}", idempotent=number % 2 == 0))
        sent, from_s = len(site.servers.sent), site.now_s
        for _ in range(5):
            await site.steps(replayer, 1)
            for name in list(site.servers.out):
                site.servers.end(name, SendOutcome.REJECTED, ran=False)
        tries = len(site.servers.sent) - sent
        assert 1 <= tries <= (site.now_s - from_s) / PROBE_INTERVAL_S + 1
        assert "book" not in site.servers.sent[sent:]
        assert (await site.entry("book")).outcome is EntryOutcome.UNKNOWN
        site.state = SiteState.AVAILABLE
        for _ in range(40):
            await site.steps(replayer, 1)
            for name in list(site.servers.out):
                site.servers.end(name)
        assert not await site.queue.backlog_by_tenant()
        sends = [name for name in site.servers.sent if name.isdecimal() and int(name) % 2]
        assert len(sends) == len(set(sends)) == 10  # each booking once

    play(tmp_path, game)


def test_a_link_that_is_there_for_three_seconds_at_a_time(tmp_path: Path) -> None:
    async def game(site: Site) -> None:
        replayer, _ = site.holder(1)
        for number in range(40):
            await site.queue.enqueue(queued_request(f"{number}", f"t{number % 4}", idempotent=False))
        for _ in range(12):
            site.state = SiteState.AVAILABLE
            from_s = site.now_s
            while site.now_s - from_s < 3.0:
                await site.steps(replayer, 1)
                for name in list(site.servers.out):
                    site.servers.end(name)
            await site.steps(replayer, 1)
            site.state = SiteState.PARTITIONED
            for name in list(site.servers.out):  # what was under way breaks
                site.servers.end(name, SendOutcome.FAILED, ran=True)
            await site.steps(replayer, 1)
        names = [name for name in site.servers.sent if name != "ask"]
        assert len(names) == len(set(names)) == 41
        ends = [(await site.entry(name)).outcome for name in names]
        assert (
            set(ends) <= {EntryOutcome.SERVED, EntryOutcome.UNKNOWN} and ends.count(EntryOutcome.SERVED) > 10
        )

    play(tmp_path, game)


def test_an_end_that_the_disk_does_not_take_is_written_later(tmp_path: Path) -> None:
    async def game(site: Site) -> None:
        replayer, _ = site.holder(1)
        await site.steps(replayer, 1)
        most = "PRAGMA max_page_count = {}"
        await site.queue.worker.run(lambda db: db.execute(most.format(1)).fetchone(), writes=False)
        site.servers.out.pop("book")(SendResult(SendOutcome.SERVED, True, b"?" * 200_000))
        await site.steps(replayer, 1)
        assert replayer.unsettled_count == 1 and (await site.entry("book")).state is EntryState.BEGUN
        await site.queue.worker.run(lambda db: db.execute(most.format(9_999)).fetchone(), writes=False)
        await site.steps(replayer, 1)
        assert replayer.unsettled_count == 0 and (await site.entry("book")).outcome is EntryOutcome.SERVED

    play(tmp_path, game)


def test_a_duty_given_up_lets_what_may_repeat_go_and_sends_nothing_more(tmp_path: Path) -> None:
    async def game(site: Site) -> None:
        replayer, _ = site.holder(1)
        await site.steps(replayer, 1)
        await site.queue.enqueue(queued_request("late"))
        replayer.stop()
        await site.steps(replayer, 1)
        assert "late" not in site.servers.sent and "ask" in site.servers.cancelled
        assert replayer.in_flight_count == 1  # the booking runs on
        site.servers.end("book")  # nobody has taken over yet: its end is taken
        await site.steps(replayer, 1)
        assert (await site.entry("book")).outcome is EntryOutcome.SERVED

    play(tmp_path, game)
