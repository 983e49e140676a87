"""Stormy days of leased duties by the thousand: what broke, and how long duties were uncovered.

A seed that breaks is printed with the moment and is played again by `--only SEED`.
"""

from __future__ import annotations

import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor

import click

from tests.simulated.faults import SeedReport, run_seed

PART = 50  # seeds given to a process at a time


def _play(seeds: range) -> list[SeedReport]:
    return [run_seed(seed) for seed in seeds]


def _parts(first: int, count: int) -> list[range]:
    return [range(each, min(first + count, each + PART)) for each in range(first, first + count, PART)]


@click.command(help=__doc__)
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--seeds", default=10_000, show_default=True, help="How many.")
@click.option("--processes", default=2, show_default=True)
@click.option("--only", type=int, help="Play this one and tell all of it.")
def main(first: int, seeds: int, processes: int, only: int | None) -> None:
    """Play them."""
    if only is not None:
        click.echo(run_seed(only))
        return
    began, sums, faults, broken, longest = (
        time.perf_counter(),
        Counter[str](),
        Counter[str](),
        0,
        Counter[float](),
    )
    with ProcessPoolExecutor(processes) as pool:
        for reports in pool.map(_play, _parts(first, seeds)):
            for each in reports:
                faults += each.faults
                sums += Counter(
                    steps=each.events, begun=each.acquisitions, applied=each.applied, stale=each.rejected
                )
                longest[round(each.max_coverage_s, 1)] += 1
                if each.violation:
                    broken += 1
                    click.echo(f"seed {each.seed} ({each.members} members): {each.violation}")
    ordered = sorted(longest.elements())
    click.echo(f"{seeds} seeds from {first}, {broken} broken, {time.perf_counter() - began:.0f} s")
    click.echo("; ".join(f"{name} {value}" for name, value in sums.items()))
    click.echo("; ".join(f"{name} {value}" for name, value in sorted(faults.items())))
    part = {"half": 0.5, "99 of 100": 0.99, "all": 1.0}
    within = {name: ordered[min(len(ordered) - 1, int(each * len(ordered)))] for name, each in part.items()}
    click.echo("covered after a burst within, s: " + ", ".join(f"{k} {v}" for k, v in within.items()))


if __name__ == "__main__":
    main()
