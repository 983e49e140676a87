"""The queue component from a partition of the site to the replay, with fakes in place of servers."""

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
from ringledge.lifecycle import settings_files
from ringledge.members.replay_sender import SendHandle, SendResult
from ringledge.store.component import QueueComponent
from ringledge.store.entry import Entry, EntryOutcome, QueuedRequest
from ringledge.store.settings import QueueConfig
from tests.loopback import ROOT


class FakeObservations:
    """Observations of a prefill and a decode server that are both reachable or both not."""

    def __init__(self, reachable: bool) -> None:
        self.reachable = reachable

    def servers(self, now_s: float) -> list[ServerReachability]:
        heard_s = now_s if self.reachable else -inf
        return [
            ServerReachability(True, False, self.reachable, True, heard_s),
            ServerReachability(False, True, self.reachable, True, heard_s),
        ]

    def answers(self) -> tuple[float, float]:
        return 0.0, 0.0


class FakeRecordStore:
    """Records of the local member, and those received from other members."""

    def __init__(self) -> None:
        self.own: dict[str, bytes] = {}
        self.others: dict[tuple[str, str], bytes] = {}

    def write(self, now_s: float, key: str, value: bytes) -> bool:
        self.own[key] = value
        return True

    def delete(self, now_s: float, key: str) -> None:
        self.own.pop(key, None)

    def values(self, now_s: float, prefix: str) -> dict[tuple[str, str], bytes]:
        return {key: value for key, value in self.others.items() if key[1].startswith(prefix)}


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await anyio.sleep(0.005)


def serve(entry: Entry, on_result: Callable[[SendResult], None]) -> SendHandle | None:
    on_result(SendResult(SendOutcome.SERVED, True, b'{"ok":1}', 20.0, 10.0))
    return None


def request(name: str) -> QueuedRequest:
    return QueuedRequest(name, "farm", "query", True, b"{}", 10.0, time.time(), time.time() + 60)


def test_requests_queued_during_a_partition_are_replayed_after_it(tmp_path: Path) -> None:
    async def run() -> None:
        observations = FakeObservations(reachable=False)
        records = FakeRecordStore()
        sites = {"north": 1.0, "south": 1.0}
        config = QueueConfig(path=str(tmp_path / "queue.db"), site="north", site_weights=sites)
        component = QueueComponent(config, observations, CollectorRegistry(), random.Random(1), records)
        rejected = list[str]()

        def send(entry: Entry, on_result: Callable[[SendResult], None]) -> SendHandle | None:
            if not observations.reachable:
                rejected.append(entry.name)
                on_result(SendResult(SendOutcome.REJECTED, False))
                return None
            return serve(entry, on_result)

        component.sender = send
        with anyio.fail_after(20):
            async with anyio.create_task_group() as tasks:
                component.start(tasks)
                component.ready()
                await wait_until(lambda: component.site_state() is SiteState.PARTITIONED)
                view: SiteReachability = msgspec.msgpack.decode(
                    records.own["reach/north"], type=SiteReachability
                )
                assert view.state == SiteState.PARTITIONED.value
                for number in range(3):
                    await component.queue.enqueue(request(f"{number}"))
                await wait_until(lambda: "backlog/north" in records.own)
                await wait_until(lambda: bool(rejected))  # only one entry is sent as a probe
                assert len(rejected) == 1
                observations.reachable = True
                for number in range(3):
                    while (await component.queue.get(f"{number}")).outcome is not EntryOutcome.SERVED:  # type: ignore[union-attr]
                        await anyio.sleep(0.01)
                record: QueueBacklog = msgspec.msgpack.decode(records.own["backlog/north"], type=QueueBacklog)
                assert record.token == 1 and record.weight == 1.0
                await component.stop()
                component.queue.stop()
                tasks.cancel_scope.cancel()

    anyio.run(run)


def test_a_second_process_takes_the_replay_over_with_a_higher_token_when_the_first_stops(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        components = []
        async with anyio.create_task_group() as tasks:
            for _ in range(2):
                config = QueueConfig(path=str(tmp_path / "queue.db"))
                component = QueueComponent(
                    config, FakeObservations(reachable=True), CollectorRegistry(), random.Random(1)
                )
                component.sender = serve
                component.start(tasks)
                components.append(component)
            first, second = components
            with anyio.fail_after(20):
                first.ready()
                await wait_until(lambda: first.replayer.scheduler is not None)
                second.ready()
                await second.queue.enqueue(request("a"))
                while (await second.queue.get("a")).outcome is not EntryOutcome.SERVED:  # type: ignore[union-attr]
                    await anyio.sleep(0.01)
                assert second.replayer.scheduler is None
                assert await second.queue.highest_token() == 1
                await first.stop()
                await wait_until(lambda: second.replayer.scheduler is not None)
                while await second.queue.highest_token() != 2:
                    await anyio.sleep(0.01)
                await second.stop()
                for component in components:
                    component.queue.stop()
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_the_shipped_settings_are_disabled_and_valid_once_enabled(tmp_path: Path) -> None:
    shipped = ROOT / "deploy/queue.toml"
    assert settings_files.read_settings(QueueConfig, shipped) is None
    enabled = tmp_path / "queue.toml"
    enabled.write_text(shipped.read_text().replace("enabled = false", "enabled = true"))
    assert settings_files.read_settings(QueueConfig, enabled) == QueueConfig(
        path="/var/lib/ringledge/queue.db"
    )
    enabled.write_text('enabled = true\npath = "q"\nsite = "a"\n[sites]\nb = 1.0\n')
    with pytest.raises(settings_files.SettingsError, match="sites"):
        settings_files.read_settings(QueueConfig, enabled)
