"""Records all that the leases of a simulated fleet say and do on days with faults, from fixed seeds."""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial
from random import Random
from typing import Any

from ringledge.decide.interface import SendMessage
from ringledge.decide.leases.manager import LeaseTerms
from tests.compatibility.rendering import render
from tests.simulated.fleet import SimulatedFleet
from tests.simulated.world import Process

SEEDS = range(8)
DAY_S = 25.0
FAULTS = 10


class _RecordedFleet(SimulatedFleet):
    """A simulated fleet whose messages and actions are written down."""

    def __init__(self, seed: int) -> None:
        count = 3 + seed % 4
        names = [f"n{number}" for number in range(count)]
        voters = tuple(names[:5] if count >= 5 and seed % 2 else names[:3])
        super().__init__(seed, names, LeaseTerms(voters), ["planner", "replay/north"][: 1 + seed % 2])
        self.steps: list[str] = []
        send = self.world.send

        def recorded(sender: str, action: SendMessage) -> None:
            self.steps.append(f"{self.world.true_s!r} {sender}: {render(action)}")
            send(sender, action)

        self.world.send = recorded  # type: ignore[method-assign]
        self.world.action_listeners.append(self._record)

    def _record(self, process: Process, action: Any) -> None:
        self.steps.append(f"{self.world.true_s!r} {process.name}: {render(action)}")


def _fault(fleet: _RecordedFleet, rng: Random) -> None:
    """Plan one fault."""
    world, names = fleet.world, fleet.names
    at_s, name = rng.uniform(0, DAY_S * 0.8), rng.choice(names)
    match rng.randrange(5):
        case 0:
            world.call_at(at_s, partial(world.start, name))
        case 1:
            some = rng.sample(names, rng.randrange(1, len(names)))
            rest = [each for each in names if each not in some]
            world.call_at(at_s, partial(world.network.cut, some, rest, rng.random() < 0.5))
            world.call_at(at_s + rng.uniform(0.5, 5), world.network.heal)
        case 2:
            world.call_at(at_s, partial(_give_up, fleet))
        case 3:
            world.call_at(at_s, partial(setattr, world.network, "loss", 0.3))
            world.call_at(at_s + 3, world.network.heal)
        case _:
            world.call_at(at_s, partial(_stand_still, fleet, name, rng.uniform(0.3, 5)))


def _give_up(fleet: _RecordedFleet) -> None:
    process = fleet.world.processes.get(fleet.holder(fleet.duties[0]))
    if process is not None and not process.suspended:
        leases = fleet.leases[process.name]
        process.run(lambda: process.execute(leases.release(process.clock_s(), fleet.duties[0])))


def _stand_still(fleet: _RecordedFleet, name: str, length_s: float) -> None:
    process = fleet.world.processes[name]
    if process.alive and not process.suspended:
        process.suspend()
        fleet.world.call_at(fleet.world.true_s + length_s, process.resume)


def lease_steps() -> Iterator[str]:
    """The whole trace."""
    for seed in SEEDS:
        fleet, rng = _RecordedFleet(seed), Random(seed + 1000)
        fleet.world.network.duplication = 0.1
        fleet.start_all()
        for _ in range(FAULTS):
            _fault(fleet, rng)
        fleet.world.run_for(DAY_S)
        yield from fleet.steps
        for name, leases in sorted(fleet.leases.items()):
            yield f"{name}: {render(leases.holders())} {render(sorted(leases.counts.items()))}"
