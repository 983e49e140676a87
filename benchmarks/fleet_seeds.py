"""Simulates faults of leased duties on thousands of seeds; reports violated invariants and coverage times.

A seed that violates an invariant is printed with the time of the violation; `--only SEED` repeats it.
"""

from __future__ import annotations

import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

import click

from tests.simulated.faults import Fault, SeedReport, run_seed

SEEDS_PER_TASK = 50  # run by a worker process as one task
QUANTILES = {"half": 0.5, "99 of 100": 0.99, "all": 1.0}


@dataclass
class Totals:
    """Sums over the reports of all seeds."""

    counts: Counter[str] = field(default_factory=Counter)
    faults: Counter[Fault] = field(default_factory=Counter)
    # The longest time of each seed until all duties were covered.
    coverage_s: list[float] = field(default_factory=list)
    violations: int = 0

    def add(self, report: SeedReport) -> None:
        """Add the report of one seed."""
        self.faults += report.faults
        self.counts += Counter(
            steps=report.events, begun=report.acquisitions, applied=report.applied, stale=report.rejected
        )
        self.coverage_s.append(round(report.max_coverage_s, 1))
        self.violations += bool(report.violation)

    def coverage_quantiles_s(self) -> dict[str, float]:
        """Quantiles, over the seeds, of the time until all duties were covered after a burst of faults."""
        ordered = sorted(self.coverage_s)
        last = len(ordered) - 1
        return {name: ordered[min(last, int(part * len(ordered)))] for name, part in QUANTILES.items()}


def _run_seeds(seeds: range) -> list[SeedReport]:
    return [run_seed(seed) for seed in seeds]


def _tasks(first: int, count: int) -> list[range]:
    end = first + count
    starts = range(first, end, SEEDS_PER_TASK)
    return [range(start, min(end, start + SEEDS_PER_TASK)) for start in starts]


@click.command(help=__doc__)
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--seeds", default=10_000, show_default=True, help="Number of seeds.")
@click.option("--processes", default=2, show_default=True)
@click.option("--only", type=int, help="Run only this seed and print its full report.")
def main(first: int, seeds: int, processes: int, only: int | None) -> None:
    """Run the seeds and print the totals."""
    if only is not None:
        click.echo(run_seed(only))
        return
    began = time.perf_counter()
    totals = Totals()
    with ProcessPoolExecutor(processes) as pool:
        for reports in pool.map(_run_seeds, _tasks(first, seeds)):
            for report in reports:
                totals.add(report)
                if report.violation:
                    click.echo(f"seed {report.seed} ({report.members} members): {report.violation}")
    elapsed_s = time.perf_counter() - began
    click.echo(f"{seeds} seeds from {first}, {totals.violations} broken, {elapsed_s:.0f} s")
    click.echo("; ".join(f"{name} {value}" for name, value in totals.counts.items()))
    click.echo("; ".join(f"{fault} {value}" for fault, value in sorted(totals.faults.items())))
    quantiles = ", ".join(f"{name} {value}" for name, value in totals.coverage_quantiles_s().items())
    click.echo(f"covered after a burst within, s: {quantiles}")


if __name__ == "__main__":
    main()
