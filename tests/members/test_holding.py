"""Members on real sockets of loopback hold a duty one at a time and hand it on."""

from __future__ import annotations

from pathlib import Path
from random import Random

import anyio
import anyio.abc

from ringledge.decide.fence import Fence
from ringledge.members.duty import Still
from ringledge.members.duty_settings import DutiesConfig
from ringledge.members.holding import Holding
from ringledge.members.part import MembersPart
from tests.members.test_part import part, until

NAMES = ["n0", "n1", "n2"]
SETTINGS = DutiesConfig(NAMES, lease_s=0.5, overloaded_s=60.0)


class Applies:
    """A duty whose effects go to a receiver behind a fence."""

    def __init__(self, name: str, fence: Fence, applied: list[tuple[int, str]]) -> None:
        self.name, self.fence, self.applied = name, fence, applied

    def begin(self, token: int) -> None:
        pass

    async def step(self, token: int, still: Still) -> float:
        if still() and self.fence.admit("planner", token):
            self.applied.append((token, self.name))
        return 0.01

    def stop(self) -> None:
        pass


class Fleet:
    """Three members, all voters, and what the receiver applied."""

    def __init__(self) -> None:
        self.fence, self.applied = Fence(), list[tuple[int, str]]()
        self.parts: dict[str, MembersPart] = {}
        self.holdings: dict[str, Holding] = {}

    async def begin(self, tasks: anyio.abc.TaskGroup, folder: Path) -> None:
        address = ""
        for name in NAMES:
            each = self.parts[name] = part(folder, name, {"n0": address} if address else {})
            duty = Applies(name, self.fence, self.applied)
            self.holdings[name] = Holding(each, SETTINGS, {"planner": duty}, Random(name))
            each.start(tasks)
            address = address or await each.bound()
            await each.bound()
            self.holdings[name].start(tasks)

    def holders(self) -> list[str]:
        return [name for name, each in self.holdings.items() if each.held()]

    async def another(self, before: str) -> str:
        """Who applies effects under a higher token than the one before."""
        highest = self.fence.highest("planner")
        await until(lambda: self.fence.highest("planner") > highest)
        token, name = self.applied[-1]
        assert token > highest
        assert name != before
        return name


def test_a_duty_is_held_by_one_handed_on_and_taken_from_one_that_is_gone(tmp_path: Path) -> None:
    async def play() -> None:
        fleet = Fleet()
        async with anyio.create_task_group() as tasks:
            await fleet.begin(tasks, tmp_path)
            first = await fleet.another("")
            assert fleet.holders() == [first]
            fleet.holdings[first].able(False)
            fleet.holdings[first].give_up("planner")
            second = await fleet.another(first)
            fleet.parts[second]._scope.cancel()  # heard no more; it doesn't say goodbye
            third = await fleet.another(second)
            fleet.holdings[first].able(True)
            await fleet.holdings[third].stop()
            assert fleet.holdings[third].held() == {}
            assert fleet.holdings[third].leases.voter is None
            tasks.cancel_scope.cancel()
        tokens = [token for token, _ in fleet.applied]
        assert tokens == sorted(tokens)
        by_token = {token: {name for each, name in fleet.applied if each == token} for token in tokens}
        assert all(len(names) == 1 for names in by_token.values())

    anyio.run(play)
