"""Measures the cost of membership and the time to detect failures, by group size and loss. JSON on stdout."""

from __future__ import annotations

import resource
import statistics
import time
from dataclasses import dataclass
from typing import Any

import click
import numpy as np
import orjson

from benchmarks.members_world import SimulatedGroup
from ringledge.decide.membership.changes import FailureReason, MemberFailed

CHECK_INTERVAL_S = 0.25  # how often convergence is checked
CONVERGENCE_LIMIT_S = 120.0  # within which the group has to converge


def run_until_converged(world: SimulatedGroup) -> float:
    """Run until all members agree on the group; returns the duration in s."""
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
    """How often any member declared a running member failed."""
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


@dataclass(frozen=True, slots=True)
class Measurement:
    """The cost of one group, per member and second of its idle time, and its detection of failures."""

    joined_s: float
    datagrams: float
    size_bytes: float
    cpu_ms: float
    detection_times_s: list[float]
    false_failures: int
    member_hours: float


@dataclass(frozen=True, slots=True)
class Workload:
    """`idle_s`: over which cost is counted; `deaths`: members killed; `changes`: writes per member and s."""

    idle_s: float
    deaths: int
    changes: float


def idle(world: SimulatedGroup, names: list[str], workload: Workload) -> None:
    """Let the idle time pass; members write records at the workload's rate."""
    start_s = world.now_s
    while world.now_s - start_s < workload.idle_s:
        if not workload.changes:
            world.run(workload.idle_s)
            continue
        for name in names:
            key = f"demand/{world.rng.randrange(10)}"
            world.nodes[name].records.write(world.now_s, key, world.rng.randbytes(24))
            world.notify_written(name)
        world.run(1 / workload.changes)


def kill_one_by_one(
    world: SimulatedGroup, names: list[str], deaths: int
) -> tuple[set[tuple[str, int]], list[float]]:
    """Kill and restart members; returns names and starts of the killed ones, and all detection times in s."""
    killed: set[tuple[str, int]] = set()
    times_s: list[float] = []
    for name in world.rng.sample(names, deaths):
        local_member = world.nodes[name].membership.local_member
        victim = (local_member.name, local_member.start)
        world.run(world.rng.uniform(0, 1))  # so that the kill falls at any point of a probe interval
        killed_s = world.now_s
        killed.add(victim)
        world.kill(name)
        run_until_converged(world)
        times_s += detection_times(world, victim, killed_s)
        world.start(name, [other for other in names[:4] if other != name])
        run_until_converged(world)
    return killed, times_s


def measure(members: int, loss: float, seed: int, workload: Workload) -> Measurement:
    """One group: it joins, is idle (or writes records), and loses members one after another."""
    world = SimulatedGroup(seed)
    world.loss = loss
    names = [f"conductor-{number}" for number in range(members)]
    for name in names:
        world.start(name, names[:3])
    joined_s = run_until_converged(world)
    world.run(10.0)  # until the joins are disseminated
    datagrams_before, bytes_before = traffic(world)
    cpu_start_s = time.process_time()
    idle(world, names, workload)
    datagrams_after, bytes_after = traffic(world)
    cpu_s = time.process_time() - cpu_start_s
    killed, times_s = kill_one_by_one(world, names, workload.deaths)
    member_s = members * workload.idle_s
    return Measurement(
        joined_s,
        datagrams=(datagrams_after - datagrams_before) / member_s,
        size_bytes=(bytes_after - bytes_before) / member_s,
        cpu_ms=cpu_s * 1000 / member_s,
        detection_times_s=times_s,
        false_failures=false_failures(world, killed),
        member_hours=world.now_s * members / 3600,
    )


def report_row(members: int, loss: float, runs: list[Measurement]) -> dict[str, Any]:
    """The averages over some runs, as a row of the output."""
    times_s = np.array([time_s for run in runs for time_s in run.detection_times_s])
    return {
        "members": members,
        "loss": loss,
        "datagrams_per_member_s": round(statistics.fmean(run.datagrams for run in runs), 2),
        "bytes_per_member_s": round(statistics.fmean(run.size_bytes for run in runs)),
        "decider_cpu_ms_per_member_s": round(statistics.fmean(run.cpu_ms for run in runs), 2),
        "join_s": [round(run.joined_s, 2) for run in runs],
        "death_heard_s": {
            "median": round(float(np.median(times_s)), 2),
            "p99": round(float(np.quantile(times_s, 0.99)), 2),
            "most": round(float(times_s.max()), 2),
            "count": len(times_s),
        },
        "false_deaths": sum(run.false_failures for run in runs),
        "member_hours": round(sum(run.member_hours for run in runs), 2),
    }


@click.command()
@click.option("--members", "sizes", default="3,40,200", show_default=True, help="Numbers of members.")
@click.option(
    "--loss", "losses", default="0,0.05,0.2", show_default=True, help="Fractions of datagrams lost."
)
@click.option(
    "--seed", default=1, show_default=True, help="Seed of the first group; each further one adds 1."
)
@click.option("--seeds", default=3, show_default=True, help="Groups per row.")
@click.option("--idle", "idle_s", default=60.0, show_default=True, help="Seconds over which cost is counted.")
@click.option("--deaths", default=3, show_default=True, help="Members killed in each group, one by one.")
@click.option("--changes", default=0.0, show_default=True, help="Records that each member writes per second.")
def main(sizes: str, losses: str, seed: int, seeds: int, idle_s: float, deaths: int, changes: float) -> None:
    """Print one JSON object, with a row for each number of members and each loss."""
    rows = []
    for members in map(int, sizes.split(",")):
        workload = Workload(idle_s, min(deaths, members - 1), changes)
        for loss in map(float, losses.split(",")):
            runs = [measure(members, loss, seed + number, workload) for number in range(seeds)]
            rows.append(report_row(members, loss, runs))
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    report = {"seed": seed, "seeds": seeds, "changes": changes, "rows": rows, "peak_rss_mb": round(peak_mb)}
    click.echo(orjson.dumps(report, option=orjson.OPT_INDENT_2).decode())


if __name__ == "__main__":
    main()
