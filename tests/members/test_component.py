"""Members on real sockets of loopback: they find each other, tell, part, and say who is there."""

import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import anyio.to_thread
import msgspec
from click.testing import CliRunner
from prometheus_client import CollectorRegistry

from ringledge.cli import main
from ringledge.decide.interface import Action, LeaseAcquired, SendMessage
from ringledge.decide.membership.settings import ProbeConfig
from ringledge.members.component import MembersPart
from ringledge.members.settings import MembersConfig

QUICK = ProbeConfig(interval_s=0.1, ack_timeout_s=0.04)
LONG_S = 30.0  # a busy machine's bound; nothing here waits for it to pass


def part(folder: Path, name: str, peers: dict[str, str], key: str = "0f" * 16) -> MembersPart:
    path = folder / f"{key[:4]}.key"
    path.write_text(key)
    settings = MembersConfig("yards", str(path), "127.0.0.1:0", peers=peers, probe=QUICK, strangers=True)
    return MembersPart(settings, name, {}, CollectorRegistry(), random.Random(name))


def dropped(each: MembersPart, why: str) -> float:
    registry = each._figures._dropped
    return sum(
        sample.value
        for family in registry.collect()
        for sample in family.samples
        if sample.name.endswith("_total") and sample.labels["why"] == why
    )


async def until(holds: Callable[[], bool]) -> None:
    with anyio.fail_after(LONG_S):
        while not holds():
            await anyio.sleep(0.005)


async def three(tasks: anyio.abc.TaskGroup, folder: Path) -> tuple[list[MembersPart], str]:
    first = part(folder, "n0", {})
    first.start(tasks)
    address = await first.bound()
    parts = [first, part(folder, "n1", {"n0": address}), part(folder, "n2", {"n0": address})]
    for each in parts[1:]:
        each.start(tasks)
    await until(lambda: all(len(each.membership.active_members()) == 3 for each in parts))
    return parts, address


def test_three_find_each_other_tell_and_part(tmp_path: Path) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            parts, address = await three(tasks, tmp_path)
            assert all(each.ready() for each in parts)
            now_s = time.monotonic()
            parts[1].facts.write(now_s, "plan/a", b"x")
            wanted = {("n1", "plan/a"): b"x"}
            await until(lambda: all(each.facts.values(time.monotonic(), "") == wanted for each in parts))
            intruder = part(tmp_path, "n9", {"n0": address}, key="1e" * 16)
            intruder.start(tasks)
            await until(lambda: dropped(parts[0], "tag") > 0)
            intruder.stop()
            parts[2].stop()
            await until(lambda: len(parts[0].membership.active_members()) == 2)
            assert not dropped(parts[0], "body") and len(intruder.membership.active_members()) == 1
            for each in parts[:2]:
                each.stop()

    anyio.run(run)


def test_an_address_is_taken_over_when_its_holder_stops(tmp_path: Path) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            parts, address = await three(tasks, tmp_path)
            others = {"n1": parts[1].membership.me.address}
            settings = msgspec.structs.replace(parts[0]._settings, listen=address, peers=others)
            heir = MembersPart(settings, "n0", {}, CollectorRegistry(), random.Random(1))
            heir.start(tasks)
            await anyio.lowlevel.checkpoint()
            parts[0].stop()
            await heir.bound()
            await until(lambda: heir.membership.me in parts[2].membership.active_members())
            for each in (*parts[1:], heir):
                each.stop()

    anyio.run(run)


class Greet(msgspec.Struct, array_like=True, frozen=True):
    word: str


class Greeter:
    """A decider of another subsystem."""

    def __init__(self, to: str) -> None:
        self.to, self.heard, self.told = to, list[tuple[str, str]](), False

    def receive(self, now_s: float, sender: str, message: Any) -> list[Action]:
        self.heard.append((sender, message.word))
        return [LeaseAcquired("d", 1, now_s + 1)]

    def tick(self, now_s: float) -> list[Action]:
        self.told = True
        return [
            SendMessage(self.to, Greet("x" * 300)),
            SendMessage(self.to, Greet("hello")),
            SendMessage("nobody", Greet("?")),
        ]

    def next_s(self) -> float:
        return float("inf") if self.told or not self.to else 0.0


def test_another_decider_talks_through_it_and_is_heard_only_by_those_who_are_there(tmp_path: Path) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            one = part(tmp_path, "n0", {})
            begun: list[object] = []
            listener, talker = Greeter(""), Greeter("n0")
            one.add("duties", listener, (Greet,))
            one.hooks.duties.append(begun.append)
            one.start(tasks)
            two = part(tmp_path, "n1", {"n0": await one.bound()})
            two.add("duties", talker, (Greet,))
            two.start(tasks)
            # n0 does not know n1 when the first comes; once it does, the next is taken.
            await until(lambda: dropped(one, "sender_unknown") + dropped(one, "other_start") > 0)
            assert not listener.heard
            await until(lambda: len(one.membership.active_members()) == 2)
            assert two.service is not None
            two.service.act(talker.tick(0.0))
            await until(lambda: listener.heard == [("n1", "hello")])
            assert isinstance(begun[0], LeaseAcquired)
            one.membership.stopped = True  # as with a successor: no decider of it hears or says any more
            two.service.act(talker.tick(0.0))
            await until(lambda: dropped(one, "silent") > 0)
            assert len(listener.heard) == 1
            assert dropped(two, "too_long") >= 2 and dropped(two, "no_address") >= 2
            one.stop()
            two.stop()

    anyio.run(run)


def test_the_command_shows_who_is_there(tmp_path: Path) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            parts, address = await three(tasks, tmp_path)
            key = tmp_path / "0f0f.key"
            (tmp_path / "members.toml").write_text(
                f'enabled = true\ncluster = "yards"\nkey_file = "{key}"\nlisten = "{address}"\n'
            )
            environ = {"RINGLEDGE_DEPLOY": str(tmp_path), "RELAY_CONFIG": ""}
            call = CliRunner().invoke
            told = await anyio.to_thread.run_sync(
                lambda: call(main, ["members", "--wait", "20"], env=environ)
            )
            assert told.exit_code == 0, told.output
            assert [line.split()[:2] for line in told.output.splitlines()] == [
                [f"n{at}", "alive"] for at in range(3)
            ]
            assert len(parts[0].membership.statuses()) == 3  # who looks is no member
            for each in parts:
                each.stop()
            await until(lambda: not tasks_running(parts))
            told = await anyio.to_thread.run_sync(
                lambda: call(main, ["members", "--wait", "0.2"], env=environ)
            )
            assert told.exit_code == 1 and "no answer" in told.output

    anyio.run(run)


def tasks_running(parts: list[MembersPart]) -> bool:
    return not all(each._scope.cancelled_caught for each in parts)
