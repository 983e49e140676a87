"""Measures how soon another process takes over a duty: from the fault to the first effect of the new holder.

Each fault has its own fleet of three processes on loopback, with relays between them (tests/fleet). In a
trial the holder ends in good order, is killed, is suspended, or is cut off from all others. JSON on standard
output.
"""

from __future__ import annotations

import json
import signal
import statistics
import tempfile
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from tests.fleet.fleet import Fleet
from tests.fleet.links import LinkFaults
from tests.fleet.receiver import Effect
from tests.fleet.record import holdings, violations

DUTY = "watch"
Fault = Callable[[Fleet, Effect], float]  # given the holder's last effect; returns the time of the fault


def good_order(fleet: Fleet, holder: Effect) -> float:
    """End the holder in good order (SIGTERM)."""
    return fleet.signal(holder.member, signal.SIGTERM)


def killed(fleet: Fleet, holder: Effect) -> float:
    """Kill the holder (SIGKILL)."""
    return fleet.kill(holder.member)


def stopped(fleet: Fleet, holder: Effect) -> float:
    """Suspend the holder (SIGSTOP) at any point of its step."""
    return fleet.signal(holder.member, signal.SIGSTOP)


def stopped_within(fleet: Fleet, holder: Effect) -> float:
    """Suspend the holder between its lease check and the effect; returns the time of the last effect."""
    (fleet.nodes[holder.member].folder / "stand_still").touch()
    return holder.at_s


def cut_off(fleet: Fleet, holder: Effect) -> float:
    """Drop all datagrams to and from the holder; returns the time of the last accepted effect."""
    others = [each for each in fleet.names if each != holder.member]
    fleet.links.faults(LinkFaults(cut=True), fleet.links.between([holder.member], others))
    return fleet.receiver.accepted[-1].at_s


FAULTS: dict[str, Fault] = {
    each.__name__: each for each in (good_order, killed, stopped, stopped_within, cut_off)
}


def undo(fleet: Fleet, name: str, member: str) -> None:
    """Repair the fault; wait until a restarted member votes again, or a resumed one has lost its lease."""
    node = fleet.nodes[member]
    if name in ("good_order", "killed"):
        node.process.wait()
        fleet.restart(member)
        node.logged("lease_acceptor_activated")
    elif name == "cut_off":
        fleet.links.heal()
    else:
        fleet.signal(member, signal.SIGCONT)
        while node.logged("duty_lease_changed")["what"] == "begun":
            continue


def trials(name: str, count: int, lease_s: float) -> dict[str, Any]:
    """Run the trials of one fault in one fleet, and summarise them."""
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder), lease_s=lease_s) as fleet:
        failover_s = list[float]()
        last_effect_s = list[float]()  # of the old holder, counted from the fault
        fleet.receiver.next(DUTY)
        for _ in range(count):
            holder = fleet.receiver.accepted[-1]
            at_s = FAULTS[name](fleet, holder)
            first = fleet.receiver.next(DUTY, above=holder.token)
            failover_s.append(first.at_s - at_s)
            undo(fleet, name, holder.member)
            accepted = fleet.receiver.accepted
            old_s = [effect.at_s - at_s for effect in accepted if effect.token == holder.token]
            last_effect_s.append(old_s[-1])
        found = violations(fleet.records())
        assert not found, found
        return {
            "trials": count,
            "median_s": round(statistics.median(failover_s), 3),
            "most_s": round(max(failover_s), 3),
            "last_effect_of_the_old_s": round(max(last_effect_s), 3),
            "refused": len(fleet.receiver.refused),
            "holdings": len(holdings(fleet.records())[DUTY]),
            "cut": fleet.links.count("cut"),
        }


@click.command(help=__doc__)
@click.option("--trials", "count", default=30, show_default=True)
@click.option("--lease-s", default=3.0, show_default=True)
@click.option(
    "--fault", "names", multiple=True, type=click.Choice(list(FAULTS)), help="Default: all, concurrently."
)
def main(count: int, lease_s: float, names: tuple[str, ...]) -> None:
    """Run the faults concurrently, each with its own fleet."""
    results = dict[str, Any]()

    def run(name: str) -> None:
        results[name] = trials(name, count, lease_s)

    threads = [threading.Thread(target=run, args=(name,)) for name in names or FAULTS]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    click.echo(json.dumps({"lease_s": lease_s, "faults": results}, indent=1))


if __name__ == "__main__":
    main()
