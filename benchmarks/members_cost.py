"""What members cost and how soon a death is heard of, by their number and by loss, in virtual time. JSON."""

from __future__ import annotations

import resource
import statistics
import time
from typing import Any

import click
import numpy as np
import orjson

from benchmarks.members_world import World
from ringledge.decide.membership.changes import FailureReason, MemberFailed

STEP_S = 0.25  # how often it is looked whether all agree
SETTLE_S = 120.0  # in which they have to


def settle(world: World) -> float:
    """Until all agree on who is there; s."""
    began_s = world.now_s
    while not world.has_converged() and world.now_s - began_s < SETTLE_S:
        world.run(STEP_S)
    return world.now_s - began_s


def sums(world: World) -> tuple[int, int]:
    """Datagrams and bytes of all who run."""
    return sum(each.datagrams for each in world.nodes.values()), sum(
        each.bytes for each in world.nodes.values()
    )


def false_deaths(world: World, killed: set[tuple[str, int]]) -> int:
    """How many times a member that ran was taken for dead, by anyone."""
    return sum(
        isinstance(change, MemberFailed)
        and change.reason is FailureReason.SILENT
        and (change.member.name, change.member.start) not in killed
        for node in world.nodes.values()
        for _, change in node.changes
    )


def heard(world: World, victim: tuple[str, int], since_s: float) -> list[float]:
    """After how long each other member took it for dead; s."""
    return [
        at_s - since_s
        for node in world.nodes.values()
        for at_s, change in node.changes
        if isinstance(change, MemberFailed) and (change.member.name, change.member.start) == victim
    ]


def play(members: int, loss: float, seed: int, idle_s: float, deaths: int, changes: float) -> dict[str, Any]:
    """One fleet: it joins, is idle (or changes facts), and loses members one after another."""
    world = World(seed)
    world.loss = loss
    names = [f"conductor-{at}" for at in range(members)]
    for name in names:
        world.start(name, names[:3])
    joined_s = settle(world)
    world.run(10.0)  # news of the joining is through
    before, cpu_s, began_s = sums(world), time.process_time(), world.now_s
    while world.now_s - began_s < idle_s:
        if changes:
            for name in names:
                node = world.nodes[name]
                node.facts.write(world.now_s, f"demand/{world.rng.randrange(10)}", world.rng.randbytes(24))
                world.notify_written(name)
            world.run(1 / changes)
        else:
            world.run(idle_s)
    after, cpu_s = sums(world), time.process_time() - cpu_s
    killed: set[tuple[str, int]] = set()
    times: list[float] = []
    for name in world.rng.sample(names, deaths):
        me, at_s = world.nodes[name].membership.me, world.now_s
        world.run(world.rng.uniform(0, 1))  # anywhere in an interval
        at_s = world.now_s
        killed.add((me.name, me.start))
        world.kill(name)
        settle(world)
        times += heard(world, (me.name, me.start), at_s)
        world.start(name, [other for other in names[:4] if other != name])
        settle(world)
    member_s = members * idle_s
    return {
        "joined_s": joined_s,
        "datagrams": (after[0] - before[0]) / member_s,
        "bytes": (after[1] - before[1]) / member_s,
        "cpu_ms": cpu_s * 1000 / member_s,
        "times": times,
        "false": false_deaths(world, killed),
        "hours": world.now_s * members / 3600,
    }


@click.command()
@click.option("--members", "sizes", default="3,40,200", show_default=True, help="Numbers of members.")
@click.option("--loss", "losses", default="0,0.05,0.2", show_default=True, help="Parts of datagrams lost.")
@click.option("--seed", default=1, show_default=True, help="Of the first fleet; each further one adds 1.")
@click.option("--seeds", default=3, show_default=True, help="Fleets for each row.")
@click.option("--idle", "idle_s", default=60.0, show_default=True, help="Seconds over which cost is counted.")
@click.option("--deaths", default=3, show_default=True, help="Members killed in each fleet, one by one.")
@click.option("--changes", default=0.0, show_default=True, help="Facts that each member changes, per second.")
def main(sizes: str, losses: str, seed: int, seeds: int, idle_s: float, deaths: int, changes: float) -> None:
    """Print one JSON object: for each number of members and loss what a member costs, and deaths."""
    rows = []
    for members in map(int, sizes.split(",")):
        for loss in map(float, losses.split(",")):
            plays = [
                play(members, loss, seed + at, idle_s, min(deaths, members - 1), changes)
                for at in range(seeds)
            ]
            times = np.array([each for told in plays for each in told["times"]])
            rows.append(
                {
                    "members": members,
                    "loss": loss,
                    "datagrams_per_member_s": round(statistics.fmean(p["datagrams"] for p in plays), 2),
                    "bytes_per_member_s": round(statistics.fmean(p["bytes"] for p in plays)),
                    "decider_cpu_ms_per_member_s": round(statistics.fmean(p["cpu_ms"] for p in plays), 2),
                    "join_s": [round(p["joined_s"], 2) for p in plays],
                    "death_heard_s": {
                        "median": round(float(np.median(times)), 2),
                        "p99": round(float(np.quantile(times, 0.99)), 2),
                        "most": round(float(times.max()), 2),
                        "count": len(times),
                    },
                    "false_deaths": sum(p["false"] for p in plays),
                    "member_hours": round(sum(p["hours"] for p in plays), 2),
                }
            )
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    told = {"seed": seed, "seeds": seeds, "changes": changes, "rows": rows, "peak_rss_mb": round(peak_mb)}
    click.echo(orjson.dumps(told, option=orjson.OPT_INDENT_2).decode())


if __name__ == "__main__":
    main()
