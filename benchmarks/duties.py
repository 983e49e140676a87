"""Measures leased duties in virtual time: the time to fail over, and the cost of the leases.

`handing`: trials of each way in which a holder fails or ends. `cost`: datagrams per member and second, and
the CPU time of the simulation with its deciders, at 3, 40 and 200 members. `orders`: an exhaustive search of
the orders of events of one lease.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable

import click

from ringledge.decide.leases.manager import LeaseTerms
from tests.simulated import cases
from tests.simulated.exhaustive import ACCEPTORS, Model
from tests.simulated.fleet import EFFECT_INTERVAL_S, SimulatedFleet
from tests.simulated.search import initial_states, search

TERMS = LeaseTerms(("a", "b", "c"))
NAMES = "abcdefg"
PERIOD_S = 60.0  # of virtual time, over which the cost is counted
DUTIES = ("planner", "replay/north", "replay/south")
SUSPENSION_S = 8

Fault = Callable[[SimulatedFleet, str], None]  # injects a fault into the holder of that name


def _release(fleet: SimulatedFleet, holder: str) -> None:
    process = fleet.world.processes[holder]
    process.run(lambda: cases.release_planner(fleet, holder))


def _kill(fleet: SimulatedFleet, holder: str) -> None:
    fleet.world.kill(holder)


def _suspend(fleet: SimulatedFleet, holder: str) -> None:
    """Suspend the holder right after it has checked its lease."""
    process = fleet.world.processes[holder]
    fleet.check_and_act(process, "planner", fleet.highest_tokens["planner"])
    process.suspend()
    fleet.world.call_at(fleet.world.true_s + SUSPENSION_S, process.resume)


def _cut_off(fleet: SimulatedFleet, holder: str) -> None:
    fleet.world.network.cut([holder], cases.others_than(fleet, holder))


def _lose_sent(fleet: SimulatedFleet, holder: str) -> None:
    fleet.world.network.cut([holder], cases.others_than(fleet, holder), one_way=True)


def _lose_received(fleet: SimulatedFleet, holder: str) -> None:
    fleet.world.network.cut(cases.others_than(fleet, holder), [holder], one_way=True)


FAULTS: dict[str, Fault] = {
    "ended in good order": _release,
    "killed": _kill,
    f"stopped for {SUSPENSION_S} s": _suspend,
    "cut off": _cut_off,
    "not heard": _lose_sent,
    "does not hear": _lose_received,
}


def _failover(fault: Fault, seed: int) -> tuple[float, int]:
    """One trial: the time until another member holds the duty, and the number of stale effects rejected."""
    fleet = cases.settled_fleet(seed, TERMS, NAMES)
    holder = fleet.holder()
    fault(fleet, holder)
    failover_s = fleet.run_until_covered(9, cases.others_than(fleet, holder))
    fleet.world.run_for(10)  # a suspended holder resumes; the invariants are checked at each event
    return failover_s, fleet.receiver.fence.rejected


@click.group(help=__doc__)
def main() -> None:
    """Choose what to measure."""


@main.command()
@click.option("--trials", default=30, show_default=True)
def handing(trials: int) -> None:
    """Measure the time until another member holds the duty."""
    for name, fault in FAULTS.items():
        results = [_failover(fault, seed) for seed in range(trials)]
        durations_s = sorted(failover_s for failover_s, _ in results)
        rejected = sum(rejected for _, rejected in results)
        click.echo(
            f"{name:20} median {statistics.median(durations_s):.2f} s, most {durations_s[-1]:.2f} s, "
            f"stale effects refused {rejected}"
        )


@main.command()
def cost() -> None:
    """Measure datagrams and CPU time."""
    for count in (3, 40, 200):
        names = [f"n{number}" for number in range(count)]
        fleet = SimulatedFleet(1, names, LeaseTerms(tuple(names[:3])), DUTIES)
        fleet.start_all()
        fleet.run_until_covered(9)
        fleet.world.run_for(10)
        sent_before = fleet.world.network.counts["sent"]
        start_s = time.perf_counter()
        fleet.world.run_for(PERIOD_S)
        cpu_s = time.perf_counter() - start_s
        sent = fleet.world.network.counts["sent"] - sent_before
        effects = PERIOD_S * len(DUTIES) / EFFECT_INTERVAL_S  # share the network; no cost of the leases
        click.echo(
            f"{count:4} members, {len(DUTIES)} duties: {(sent - effects) / PERIOD_S:.0f} datagrams/s in all, "
            f"{(sent - effects) / PERIOD_S / count:.2f} a member; "
            f"world and deciders {cpu_s / PERIOD_S:.2%} of a core"
        )


@main.command()
@click.option(
    "--more", default=1, show_default=True, help="Depth in events beyond the depths that the tests search."
)
def orders(more: int) -> None:
    """Count the states of an exhaustive search, and print any violation."""
    depths = {"at rest": 6, "prepared": 5, "held": 5, "held two thirds of a lease": 5}
    depths |= {"two acceptors restarted": 7, "two acceptors recovering": 5}
    total = 0
    for initial, depth in depths.items():
        model = Model(LeaseTerms(ACCEPTORS), 8, 2)
        result = search(model, initial_states(model)[initial], depth + more)
        total += result.states
        outcome = result.violation or "no breach"
        click.echo(f"{initial}: {result.depth} events, {result.states} states, {outcome}")
        for event in result.path:
            click.echo(f"    {event}")
    click.echo(f"{total} states")


if __name__ == "__main__":
    main()
