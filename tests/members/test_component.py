"""Members on loopback sockets: joining, record replication, leaving, and queries of the member table."""

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
from ringledge.members.component import MembersComponent
from ringledge.members.settings import MembersConfig

FAST_PROBES = ProbeConfig(interval_s=0.1, ack_timeout_s=0.04)
TIMEOUT_S = 30.0  # generous, for busy machines; passing tests do not wait for it


def component(folder: Path, name: str, peers: dict[str, str], key: str = "0f" * 16) -> MembersComponent:
    path = folder / f"{key[:4]}.key"
    path.write_text(key)
    settings = MembersConfig(
        "yards", str(path), "127.0.0.1:0", peers=peers, probe=FAST_PROBES, accept_unlisted=True
    )
    return MembersComponent(settings, name, {}, CollectorRegistry(), random.Random(name))


def dropped_count(member: MembersComponent, reason: str) -> float:
    registry = member._metrics._dropped
    return sum(
        sample.value
        for family in registry.collect()
        for sample in family.samples
        if sample.name.endswith("_total") and sample.labels["why"] == reason
    )


async def wait_until(condition: Callable[[], bool]) -> None:
    with anyio.fail_after(TIMEOUT_S):
        while not condition():
            await anyio.sleep(0.005)


async def start_three(tasks: anyio.abc.TaskGroup, folder: Path) -> tuple[list[MembersComponent], str]:
    first = component(folder, "n0", {})
    first.start(tasks)
    address = await first.wait_bound()
    members = [first, component(folder, "n1", {"n0": address}), component(folder, "n2", {"n0": address})]
    for member in members[1:]:
        member.start(tasks)
    await wait_until(lambda: all(len(member.membership.active_members()) == 3 for member in members))
    return members, address


def test_three_members_join_replicate_records_and_leave(tmp_path: Path) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            members, address = await start_three(tasks, tmp_path)
            assert all(member.is_ready() for member in members)
            now_s = time.monotonic()
            members[1].records.write(now_s, "plan/a", b"x")
            wanted = {("n1", "plan/a"): b"x"}
            await wait_until(
                lambda: all(member.records.values(time.monotonic(), "") == wanted for member in members)
            )
            intruder = component(tmp_path, "n9", {"n0": address}, key="1e" * 16)
            intruder.start(tasks)
            await wait_until(lambda: dropped_count(members[0], "tag") > 0)
            intruder.stop()
            members[2].stop()
            await wait_until(lambda: len(members[0].membership.active_members()) == 2)
            assert not dropped_count(members[0], "body") and len(intruder.membership.active_members()) == 1
            for member in members[:2]:
                member.stop()

    anyio.run(run)


def test_successor_binds_the_address_once_its_predecessor_stops(tmp_path: Path) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            members, address = await start_three(tasks, tmp_path)
            others = {"n1": members[1].membership.local_member.address}
            settings = msgspec.structs.replace(members[0]._settings, listen=address, peers=others)
            successor = MembersComponent(settings, "n0", {}, CollectorRegistry(), random.Random(1))
            successor.start(tasks)
            await anyio.lowlevel.checkpoint()
            members[0].stop()
            await successor.wait_bound()
            await wait_until(
                lambda: successor.membership.local_member in members[2].membership.active_members()
            )
            for member in (*members[1:], successor):
                member.stop()

    anyio.run(run)


class Greet(msgspec.Struct, array_like=True, frozen=True):
    word: str


class Greeter:
    """A decider of another component, which sends greetings and records those it receives."""

    def __init__(self, recipient: str) -> None:
        self.recipient = recipient
        self.received: list[tuple[str, str]] = []
        self.has_sent = False

    def receive(self, now_s: float, sender: str, message: Any) -> list[Action]:
        self.received.append((sender, message.word))
        return [LeaseAcquired("d", 1, now_s + 1)]

    def tick(self, now_s: float) -> list[Action]:
        self.has_sent = True
        return [
            SendMessage(self.recipient, Greet("x" * 300)),
            SendMessage(self.recipient, Greet("hello")),
            SendMessage("nobody", Greet("?")),
        ]

    def next_tick_s(self) -> float:
        return float("inf") if self.has_sent or not self.recipient else 0.0


def test_further_decider_receives_messages_of_active_members_only(tmp_path: Path) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            receiver = component(tmp_path, "n0", {})
            acquired: list[object] = []
            receiving_greeter, sending_greeter = Greeter(""), Greeter("n0")
            receiver.add_decider("duties", receiving_greeter, (Greet,))
            receiver.hooks.on_lease_event.append(acquired.append)
            receiver.start(tasks)
            sender = component(tmp_path, "n1", {"n0": await receiver.wait_bound()})
            sender.add_decider("duties", sending_greeter, (Greet,))
            sender.start(tasks)
            # The first message arrives before n0 knows n1 and is dropped; a later one is accepted.
            await wait_until(
                lambda: dropped_count(receiver, "sender_unknown") + dropped_count(receiver, "other_start") > 0
            )
            assert not receiving_greeter.received
            await wait_until(
                lambda: all(len(each.membership.active_members()) == 2 for each in (receiver, sender))
            )
            assert sender.service is not None
            sender.service.execute_actions(sending_greeter.tick(0.0))
            await wait_until(lambda: receiving_greeter.received == [("n1", "hello")])
            assert isinstance(acquired[0], LeaseAcquired)
            # As if superseded: its deciders neither receive nor send any longer.
            receiver.membership.stopped = True
            sender.service.execute_actions(sending_greeter.tick(0.0))
            await wait_until(lambda: dropped_count(receiver, "silent") > 0)
            assert len(receiving_greeter.received) == 1
            assert dropped_count(sender, "too_long") >= 2 and dropped_count(sender, "no_address") >= 2
            receiver.stop()
            sender.stop()

    anyio.run(run)


def test_members_command_lists_the_member_table(tmp_path: Path) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            members, address = await start_three(tasks, tmp_path)
            key = tmp_path / "0f0f.key"
            (tmp_path / "members.toml").write_text(
                f'enabled = true\ncluster = "yards"\nkey_file = "{key}"\nlisten = "{address}"\n'
            )
            environ = {"RINGLEDGE_DEPLOY": str(tmp_path), "RELAY_CONFIG": ""}
            call = CliRunner().invoke
            result = await anyio.to_thread.run_sync(
                lambda: call(main, ["members", "--wait", "20"], env=environ)
            )
            assert result.exit_code == 0, result.output
            assert [line.split()[:2] for line in result.output.splitlines()] == [
                [f"n{number}", "alive"] for number in range(3)
            ]
            assert len(members[0].membership.statuses()) == 3  # the querying process has not become a member
            for member in members:
                member.stop()
            await wait_until(lambda: not any_running(members))
            result = await anyio.to_thread.run_sync(
                lambda: call(main, ["members", "--wait", "0.2"], env=environ)
            )
            assert result.exit_code == 1 and "no answer" in result.output

    anyio.run(run)


def any_running(members: list[MembersComponent]) -> bool:
    return not all(member._scope.cancelled_caught for member in members)
