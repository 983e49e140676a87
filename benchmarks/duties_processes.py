"""How soon a duty of real processes is taken on again: s from each fault to the first effect elsewhere.

Three processes of the program on loopback, with relays between them (tests/fleet), a fleet a fault. JSON on
standard output. In a trial the holder ends in good order, is killed, stopped, or cut off from all others.
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
from tests.fleet.links import Harm
from tests.fleet.receiver import Effect
from tests.fleet.record import breaches, holdings

DUTY = "watch"
Fault = Callable[[Fleet, Effect], float]  # gives when it was done


def good_order(fleet: Fleet, holder: Effect) -> float:
    """SIGTERM."""
    return fleet.signal(holder.member, signal.SIGTERM)


def killed(fleet: Fleet, holder: Effect) -> float:
    """SIGKILL."""
    return fleet.kill(holder.member)


def stopped(fleet: Fleet, holder: Effect) -> float:
    """SIGSTOP, wherever it is."""
    return fleet.signal(holder.member, signal.SIGSTOP)


def stopped_within(fleet: Fleet, holder: Effect) -> float:
    """Between its look at the lease and the effect; counted from its last effect before."""
    (fleet.nodes[holder.member].folder / "stand_still").touch()
    return holder.at_s


def cut_off(fleet: Fleet, holder: Effect) -> float:
    """No datagram passes to or from it."""
    others = [each for each in fleet.names if each != holder.member]
    fleet.links.harm(Harm(cut=True), fleet.links.between([holder.member], others))
    return fleet.receiver.accepted[-1].at_s


FAULTS: dict[str, Fault] = {
    each.__name__: each for each in (good_order, killed, stopped, stopped_within, cut_off)
}


def undo(fleet: Fleet, name: str, member: str) -> None:
    """Have all members vote again, whatever was done to one."""
    node = fleet.nodes[member]
    if name in ("good_order", "killed"):
        node.process.wait()
        fleet.restart(member)
        node.logged("voting")
    elif name == "cut_off":
        fleet.links.heal()
    else:
        fleet.signal(member, signal.SIGCONT)
        while node.logged("duty")["what"] == "begun":
            continue


def trials(name: str, count: int, lease_s: float) -> dict[str, Any]:
    """One fleet's."""
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder), lease_s=lease_s) as fleet:
        took, late = list[float](), list[float]()
        fleet.receiver.next(DUTY)
        for _ in range(count):
            holder = fleet.receiver.accepted[-1]
            at_s = FAULTS[name](fleet, holder)
            first = fleet.receiver.next(DUTY, above=holder.token)
            took.append(first.at_s - at_s)
            undo(fleet, name, holder.member)
            its = [e.at_s - at_s for e in fleet.receiver.accepted if e.token == holder.token]
            late.append(its[-1])
        found = breaches(fleet.records())
        assert not found, found
        return {
            "trials": count,
            "median_s": round(statistics.median(took), 3),
            "most_s": round(max(took), 3),
            "last_effect_of_the_old_s": round(max(late), 3),
            "refused": len(fleet.receiver.refused),
            "holdings": len(holdings(fleet.records())[DUTY]),
            "cut": fleet.links.count("cut"),
        }


@click.command(help=__doc__)
@click.option("--trials", "count", default=30, show_default=True)
@click.option("--lease-s", default=3.0, show_default=True)
@click.option("--fault", "names", multiple=True, type=click.Choice(list(FAULTS)), help="Else all, at once.")
def main(count: int, lease_s: float, names: tuple[str, ...]) -> None:
    """Run them."""
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
