"""Records all messages of membership and records in a group with losses, partitions and restarts."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random

from benchmarks.members_world import SimulatedGroup
from ringledge.decide.interface import SendMessage
from tests.compatibility.rendering import render

SEEDS = range(6)
PHASES = 12  # of a run
PHASE_S = 4.0


class _RecordedWorld(SimulatedGroup):
    """Members in virtual time whose datagrams are recorded."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.steps: list[str] = []

    def _send(self, name: str, action: SendMessage) -> None:
        self.steps.append(f"{self.now_s!r} {name}: {render(action)}")
        super()._send(name, action)


def _disturb(world: _RecordedWorld, rng: Random, names: list[str]) -> None:
    """One fault or repair between two phases."""
    name = rng.choice(names)
    match rng.randrange(8):
        case 0 if len(world.nodes) > 2 and name in world.nodes:
            world.kill(name)
        case 1 if len(world.nodes) > 2 and name in world.nodes:
            world.leave(name)
        case 2:
            world.start(name, names[:3])
        case 3:
            world.loss, world.duplication = rng.choice([0.0, 0.2]), rng.choice([0.0, 0.1])
        case 4:
            some = set(rng.sample(names, len(names) // 2))
            world.is_partitioned = lambda a, b: (a in some) != (b in some)
        case 5:
            world.is_partitioned = lambda a, b: False
        case 6 if name in world.nodes and not world.nodes[name].paused:
            world.pause(name)
            world.run(rng.uniform(0.2, 3.0))
            if name in world.nodes:
                world.resume(name)
    for member_name in sorted(world.nodes):
        records = world.nodes[member_name].records
        for _ in range(rng.randrange(4)):
            key = f"server/s{rng.randrange(8)}"
            if rng.random() < 0.2:
                records.delete(world.now_s, key)
            else:
                records.write(world.now_s, key, rng.randbytes(rng.randrange(1, 60)))
        world.notify_written(member_name)


def membership_steps() -> Iterator[str]:
    """The steps of the trace."""
    for seed in SEEDS:
        world, rng = _RecordedWorld(seed), Random(seed + 500)
        names = [f"n{number}" for number in range(4 + seed)]
        for name in names:
            world.start(name, names[:2])
        for _ in range(PHASES):
            world.run(PHASE_S)
            _disturb(world, rng, names)
        yield from world.steps
        for name, node in sorted(world.nodes.items()):
            yield f"{name}: {render(node.changes)} {render(node.membership.active_members())}"
            yield f"{name}: {render(sorted(node.records.values(world.now_s, '').items()))}"
