"""The queue as a part: from a site that is cut off to its replay, with stand-ins for the servers."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from math import inf
from pathlib import Path

import anyio
import msgspec
import pytest
from prometheus_client import CollectorRegistry

from ringledge.decide.interface import QueueBacklog
from ringledge.decide.replay.partition_detection import ServerReachability, SiteReachability, SiteState
from ringledge.decide.replay.scheduler import SendOutcome
from ringledge.lifecycle import settings_files as strict
from ringledge.members.replay_sender import SendHandle, SendResult
from ringledge.store.component import QueuePart
from ringledge.store.entry import Asked, End, Entry
from ringledge.store.settings import QueueConfig
from tests.loopback import ROOT


class Links:
    """What a process sees of its servers, as the test has it."""

    def __init__(self, up: bool) -> None:
        self.up, self.count = up, (0.0, 0.0)

    def servers(self, now_s: float) -> list[ServerReachability]:
        heard_s = now_s if self.up else -inf
        return [
            ServerReachability(True, False, self.up, True, heard_s),
            ServerReachability(False, True, self.up, True, heard_s),
        ]

    def answers(self) -> tuple[float, float]:
        return self.count


class Told:
    """Facts of one member, and what it hears of others."""

    def __init__(self) -> None:
        self.own: dict[str, bytes] = {}
        self.others: dict[tuple[str, str], bytes] = {}

    def write(self, now_s: float, key: str, value: bytes) -> None:
        self.own[key] = value

    def delete(self, now_s: float, key: str) -> None:
        self.own.pop(key, None)

    def values(self, now_s: float, prefix: str) -> dict[tuple[str, str], bytes]:
        return {place: value for place, value in self.others.items() if place[1].startswith(prefix)}


async def until(holds: Callable[[], bool]) -> None:
    while not holds():
        await anyio.sleep(0.005)


def answered(entry: Entry, ended: Callable[[SendResult], None]) -> SendHandle | None:
    ended(SendResult(SendOutcome.SERVED, True, b'{"ok":1}', 20.0, 10.0))
    return None


def request(name: str) -> Asked:
    return Asked(name, "farm", "query", True, b"{}", 10.0, time.time(), time.time() + 60)


def test_cut_off_queued_and_replayed_once_the_link_is_back(tmp_path: Path) -> None:
    async def run() -> None:
        links, facts = Links(up=False), Told()
        sites = {"north": 1.0, "south": 1.0}
        config = QueueConfig(path=str(tmp_path / "queue.db"), site="north", sites=sites)
        part = QueuePart(config, links, CollectorRegistry(), random.Random(1), facts)
        refused = list[str]()

        def send(entry: Entry, ended: Callable[[SendResult], None]) -> SendHandle | None:
            if not links.up:
                refused.append(entry.name)
                ended(SendResult(SendOutcome.REJECTED, False))
                return None
            return answered(entry, ended)

        part.sender = send
        with anyio.fail_after(20):
            async with anyio.create_task_group() as tasks:
                part.start(tasks)
                part.ready()
                await until(lambda: part.state() is SiteState.PARTITIONED)
                said: SiteReachability = msgspec.msgpack.decode(
                    facts.own["reach/north"], type=SiteReachability
                )
                assert said.state == SiteState.PARTITIONED.value
                for number in range(3):
                    await part.queue.enqueue(request(f"{number}"))
                await until(lambda: "backlog/north" in facts.own)
                await until(lambda: bool(refused))  # one alone tries the link
                assert len(refused) == 1
                links.up = True
                for number in range(3):
                    while (await part.queue.get(f"{number}")).end is not End.SERVED:  # type: ignore[union-attr]
                        await anyio.sleep(0.01)
                row: QueueBacklog = msgspec.msgpack.decode(facts.own["backlog/north"], type=QueueBacklog)
                assert row.token == 1 and row.weight == 1.0
                await part.stop()
                part.queue.stop()
                tasks.cancel_scope.cancel()

    anyio.run(run)


def test_one_of_two_processes_replays_and_the_other_takes_over_with_a_higher_token(tmp_path: Path) -> None:
    async def run() -> None:
        parts = []
        async with anyio.create_task_group() as tasks:
            for _ in range(2):
                config = QueueConfig(path=str(tmp_path / "queue.db"))
                part = QueuePart(config, Links(up=True), CollectorRegistry(), random.Random(1))
                part.sender = answered
                part.start(tasks)
                parts.append(part)
            first, second = parts
            with anyio.fail_after(20):
                first.ready()
                await until(lambda: first.replayer.scheduler is not None)
                second.ready()
                await second.queue.enqueue(request("a"))
                while (await second.queue.get("a")).end is not End.SERVED:  # type: ignore[union-attr]
                    await anyio.sleep(0.01)
                assert second.replayer.scheduler is None
                assert await second.queue.highest() == 1
                await first.stop()
                await until(lambda: second.replayer.scheduler is not None)
                while await second.queue.highest() != 2:
                    await anyio.sleep(0.01)
                await second.stop()
                for part in parts:
                    part.queue.stop()
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_the_file_that_is_shipped_can_be_used_and_is_off(tmp_path: Path) -> None:
    shipped = ROOT / "deploy/queue.toml"
    assert strict.read(QueueConfig, shipped) is None
    on = tmp_path / "queue.toml"
    on.write_text(shipped.read_text().replace("enabled = false", "enabled = true"))
    assert strict.read(QueueConfig, on) == QueueConfig(path="/var/lib/ringledge/queue.db")
    on.write_text('enabled = true\npath = "q"\nsite = "a"\n[sites]\nb = 1.0\n')
    with pytest.raises(strict.SettingsError, match="sites"):
        strict.read(QueueConfig, on)
