"""The cost of members and the time to detect failures, by group size and loss, in virtual time. JSON."""

from __future__ import annotations

import resource
import statistics
import time
from typing import Any

import click
import numpy as np
import orjson

from benchmarks.members_world import SimulatedGroup
from ringledge.decide.membership.changes import FailureReason, MemberFailed

CHECK_INTERVAL_S = 0.25  # how often convergence is checked
CONVERGENCE_LIMIT_S = 120.0  # within which the group has to converge


def run_until_converged(world: SimulatedGroup) -> float:
    """Run until all agree on the group; the s it took."""
    start_s = world.now_s
    while not world.has_converged() and world.now_s - start_s < CONVERGENCE_LIMIT_S:
        world.run(CHECK_INTERVAL_S)
    return world.now_s - start_s


def traffic(world: SimulatedGroup) -> tuple[int, int]:
    """Datagrams and bytes that all running members have sent."""
    datagrams = sum(node.datagrams for node in world.nodes.values())
    size_bytes = sum(node.bytes for node in world.nodes.values())
    return datagrams, size_bytes


def false_failures(world: SimulatedGroup, killed: set[tuple[str, int]]) -> int:
    """How often a running member was declared failed, by any other."""
    return sum(
        isinstance(change, MemberFailed)
        and change.reason is FailureReason.SILENT
        and (change.member.name, change.member.start) not in killed
        for node in world.nodes.values()
        for _, change in node.changes
    )


def detection_times(world: SimulatedGroup, victim: tuple[str, int], since_s: float) -> list[float]:
    """The time until each other member declared the victim failed, in s."""
    return [
        at_s - since_s
        for node in world.nodes.values()
        for at_s, change in node.changes
        if isinstance(change, MemberFailed) and (change.member.name, change.member.start) == victim
    ]


def measure(
    members: int, loss: float, seed: int, idle_s: float, deaths: int, changes: float
) -> dict[str, Any]:
    """One group: it joins, is idle (or writes records), and loses members one after another."""
    world = SimulatedGroup(seed)
    world.loss = loss
    names = [f"conductor-{number}" for number in range(members)]
    for name in names:
        world.start(name, names[:3])
    joined_s = run_until_converged(world)
    world.run(10.0)  # until the joins are disseminated
    before = traffic(world)
    cpu_start_s = time.process_time()
    idle_start_s = world.now_s
    while world.now_s - idle_start_s < idle_s:
        if changes:
            for name in names:
                node = world.nodes[name]
                node.records.write(world.now_s, f"demand/{world.rng.randrange(10)}", world.rng.randbytes(24))
                world.notify_written(name)
            world.run(1 / changes)
        else:
            world.run(idle_s)
    after = traffic(world)
    cpu_s = time.process_time() - cpu_start_s
    killed: set[tuple[str, int]] = set()
    times: list[float] = []
    for name in world.rng.sample(names, deaths):
        victim = world.nodes[name].membership.me
        world.run(world.rng.uniform(0, 1))  # anywhere in an interval
        killed_s = world.now_s
        killed.add((victim.name, victim.start))
        world.kill(name)
        run_until_converged(world)
        times += detection_times(world, (victim.name, victim.start), killed_s)
        world.start(name, [other for other in names[:4] if other != name])
        run_until_converged(world)
    member_s = members * idle_s
    return {
        "joined_s": joined_s,
        "datagrams": (after[0] - before[0]) / member_s,
        "bytes": (after[1] - before[1]) / member_s,
        "cpu_ms": cpu_s * 1000 / member_s,
        "times": times,
        "false": false_failures(world, killed),
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
            runs = [
                measure(members, loss, seed + number, idle_s, min(deaths, members - 1), changes)
                for number in range(seeds)
            ]
            times = np.array([each for run in runs for each in run["times"]])
            rows.append(
                {
                    "members": members,
                    "loss": loss,
                    "datagrams_per_member_s": round(statistics.fmean(p["datagrams"] for p in runs), 2),
                    "bytes_per_member_s": round(statistics.fmean(p["bytes"] for p in runs)),
                    "decider_cpu_ms_per_member_s": round(statistics.fmean(p["cpu_ms"] for p in runs), 2),
                    "join_s": [round(p["joined_s"], 2) for p in runs],
                    "death_heard_s": {
                        "median": round(float(np.median(times)), 2),
                        "p99": round(float(np.quantile(times, 0.99)), 2),
                        "most": round(float(times.max()), 2),
                        "count": len(times),
                    },
                    "false_deaths": sum(p["false"] for p in runs),
                    "member_hours": round(sum(p["hours"] for p in runs), 2),
                }
            )
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    report = {"seed": seed, "seeds": seeds, "changes": changes, "rows": rows, "peak_rss_mb": round(peak_mb)}
    click.echo(orjson.dumps(report, option=orjson.OPT_INDENT_2).decode())


if __name__ == "__main__":
    main()
