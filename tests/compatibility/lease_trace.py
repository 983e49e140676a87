"""Records the messages and actions of the leases of a simulated fleet with faults, from fixed seeds."""

from __future__ import annotations

from collections.abc import Iterator
from functools import partial
from random import Random
from typing import Any

from ringledge.decide.interface import SendMessage
from ringledge.decide.leases.manager import LeaseTerms
from tests.compatibility.rendering import render
from tests.simulated.faults import release_first_duty, suspend_for
from tests.simulated.fleet import SimulatedFleet
from tests.simulated.world import Process

SEEDS = range(8)
RUN_S = 25.0
FAULTS = 10


class _RecordedFleet(SimulatedFleet):
    """A simulated fleet that records its messages and actions."""

    def __init__(self, seed: int) -> None:
        count = 3 + seed % 4
        names = [f"n{number}" for number in range(count)]
        acceptors = tuple(names[:5] if count >= 5 and seed % 2 else names[:3])
        super().__init__(seed, names, LeaseTerms(acceptors), ["planner", "replay/north"][: 1 + seed % 2])
        self.steps: list[str] = []
        send = self.world.send

        def recorded(sender: str, action: SendMessage) -> None:
            self.steps.append(f"{self.world.true_s!r} {sender}: {render(action)}")
            send(sender, action)

        self.world.send = recorded  # type: ignore[method-assign]
        self.world.action_listeners.append(self._record)

    def _record(self, process: Process, action: Any) -> None:
        self.steps.append(f"{self.world.true_s!r} {process.name}: {render(action)}")


def _plan_fault(fleet: _RecordedFleet, rng: Random) -> None:
    """Plan one fault."""
    world, names = fleet.world, fleet.names
    at_s, name = rng.uniform(0, RUN_S * 0.8), rng.choice(names)
    match rng.randrange(5):
        case 0:
            world.call_at(at_s, partial(world.start, name))
        case 1:
            group = rng.sample(names, rng.randrange(1, len(names)))
            rest = [each for each in names if each not in group]
            world.call_at(at_s, partial(world.network.cut, group, rest, rng.random() < 0.5))
            world.call_at(at_s + rng.uniform(0.5, 5), world.network.heal)
        case 2:
            world.call_at(at_s, partial(release_first_duty, fleet))
        case 3:
            world.call_at(at_s, partial(setattr, world.network, "loss", 0.3))
            world.call_at(at_s + 3, world.network.heal)
        case _:
            world.call_at(at_s, partial(suspend_for, fleet, name, rng.uniform(0.3, 5)))


def lease_steps() -> Iterator[str]:
    """The steps of the trace."""
    for seed in SEEDS:
        fleet, rng = _RecordedFleet(seed), Random(seed + 1000)
        fleet.world.network.duplication = 0.1
        fleet.start_all()
        for _ in range(FAULTS):
            _plan_fault(fleet, rng)
        fleet.world.run_for(RUN_S)
        yield from fleet.steps
        for name, leases in sorted(fleet.leases.items()):
            yield f"{name}: {render(leases.holders())} {render(sorted(leases.event_counts.items()))}"
