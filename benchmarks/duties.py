"""Leased duties in virtual time: how soon each is taken on again, and what they cost.

`handing`: trials of each way that a holder goes. `cost`: datagrams a member and second, and the time of a
processor that the deciders take, at 3, 40 and 200 members. `orders`: every order of events of a small lease.
"""

from __future__ import annotations

import statistics
import time
from functools import partial

import click

from ringledge.decide.leases.manager import LeaseTerms
from tests.simulated import cases
from tests.simulated.exhaustive import ACCEPTORS, Model
from tests.simulated.fleet import SimulatedFleet
from tests.simulated.search import initial_states, search

TERMS = LeaseTerms(("a", "b", "c"))
NAMES = "abcdefg"
COST_S = 60.0  # of virtual time over which the cost is counted
DUTIES = ("planner", "replay/north", "replay/south")


def _gone(how: str, seed: int) -> tuple[float, int]:
    """One trial: s until another holds it, and stale effects refused."""
    fleet = cases.settled_fleet(seed, TERMS, NAMES)
    before = fleet.holder()
    others = [each for each in fleet.names if each != before]
    process, network = fleet.world.processes[before], fleet.world.network
    if how == "ended in good order":
        process.run(partial(cases.release_planner, fleet, before))
    elif how == "killed":
        fleet.world.kill(before)
    elif how == "stopped for 8 s":
        fleet.check_and_act(
            process, "planner", fleet.highest_tokens["planner"]
        )  # it has just looked at its clock
        process.suspend()
        fleet.world.call_at(fleet.world.true_s + 8, process.resume)
    elif how == "cut off":
        network.cut([before], others)
    elif how == "not heard":
        network.cut([before], others, one_way=True)
    elif how == "does not hear":
        network.cut(others, [before], one_way=True)
    took_s = fleet.run_until_covered(9, others)
    fleet.world.run_for(10)  # the one that was stopped goes on; each step is checked
    return took_s, fleet.receiver.fence.rejected


@click.group(help=__doc__)
def main() -> None:
    """Choose what to measure."""


@main.command()
@click.option("--trials", default=30, show_default=True)
def handing(trials: int) -> None:
    """How soon another holds it."""
    ways = ("ended in good order", "killed", "stopped for 8 s", "cut off", "not heard", "does not hear")
    for how in ways:
        results = [_gone(how, seed) for seed in range(trials)]
        took = sorted(each for each, _ in results)
        refused = sum(each for _, each in results)
        click.echo(
            f"{how:20} median {statistics.median(took):.2f} s, most {took[-1]:.2f} s, "
            f"stale effects refused {refused}"
        )


@main.command()
def cost() -> None:
    """Datagrams and time."""
    for count in (3, 40, 200):
        names = [f"n{each}" for each in range(count)]
        fleet = SimulatedFleet(1, names, LeaseTerms(tuple(names[:3])), DUTIES)
        fleet.start_all()
        fleet.run_until_covered(9)
        fleet.world.run_for(10)
        sent, began = fleet.world.network.counts["sent"], time.perf_counter()
        fleet.world.run_for(COST_S)
        spent, sent = time.perf_counter() - began, fleet.world.network.counts["sent"] - sent
        effects = COST_S * len(DUTIES) / 0.25  # told over the same network, not a cost of the leases
        click.echo(
            f"{count:4} members, {len(DUTIES)} duties: {(sent - effects) / COST_S:.0f} datagrams/s in all, "
            f"{(sent - effects) / COST_S / count:.2f} a member; "
            f"world and deciders {spent / COST_S:.2%} of a core"
        )


@main.command()
@click.option("--more", default=1, show_default=True, help="Events beyond the depths that the tests search.")
def orders(more: int) -> None:
    """States of the exhaustive model."""
    depths = {"at rest": 6, "asked": 5, "held": 5, "held two thirds of a lease": 5}
    depths |= {"two voters started again": 7, "two voters learn": 5}
    total = 0
    for start, depth in depths.items():
        model = Model(LeaseTerms(ACCEPTORS), 8, 2)
        found = search(model, initial_states(model)[start], depth + more)
        total += found.states
        click.echo(f"{start}: {found.depth} events, {found.states} states, {found.violation or 'no breach'}")
        for event in found.path:
            click.echo(f"    {event}")
    click.echo(f"{total} states")


if __name__ == "__main__":
    main()
