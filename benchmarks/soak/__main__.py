"""Runs the soak for a range of seeds: python -m benchmarks.soak --help."""

from __future__ import annotations

import asyncio
import shutil
import sys
import tempfile
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from importlib.util import find_spec
from pathlib import Path

import click
import orjson

from benchmarks.soak.day import SoakRun, Verdict
from benchmarks.soak.plan import draw_plan


@dataclass(frozen=True, slots=True)
class FleetSize:
    """The size of the runs."""

    servers: int = 0  # in addition to the few usual ones
    core_divisor: int = 1  # each router gets about a core divided by this


USUAL_SIZE = FleetSize()


@click.command()
@click.option("--seed", default=1, help="The first seed.")
@click.option("--count", default=1, help="The number of consecutive seeds.")
@click.option("--parallel", default=1, help="The number of runs at a time.")
@click.option("--fleet", default=0, help="The number of servers in addition to the few usual ones.")
@click.option("--core-divisor", default=1, help="Each router gets about a core divided by this.")
@click.option(
    "--keep",
    type=click.Path(path_type=Path),
    help="The folder for the events and logs of runs that broke a rule.",
)
@click.option(
    "--json", "report", type=click.Path(path_type=Path), help="The file that receives all verdicts."
)
def main(
    seed: int,
    count: int,
    parallel: int,
    fleet: int,
    core_divisor: int,
    keep: Path | None,
    report: Path | None,
) -> None:
    """Run seeds with real processes on loopback; exits with 1 if any run broke a rule."""
    if find_spec("httptools") is None:
        raise click.ClickException("httptools is missing: pip install -r requirements-lab.txt")
    size = FleetSize(fleet, core_divisor)
    verdicts = asyncio.run(run_seeds(range(seed, seed + count), parallel, keep, size))
    broken = [verdict for verdict in verdicts if verdict.violations]
    click.echo(
        f"{len(verdicts)} runs, {sum(each.requests for each in verdicts)} requests, {len(broken)} failed"
    )
    if report is not None:
        report.write_bytes(
            orjson.dumps([asdict(verdict) for verdict in verdicts], option=orjson.OPT_INDENT_2)
        )
    sys.exit(bool(broken))


async def run_seeds(
    seeds: Iterable[int], parallel: int, keep: Path | None = None, size: FleetSize = USUAL_SIZE
) -> list[Verdict]:
    """Run the seeds, `parallel` at a time; `keep` receives the files of runs that broke a rule."""
    slots = asyncio.Semaphore(parallel)

    async def run_one(seed: int) -> Verdict:
        async with slots:
            with tempfile.TemporaryDirectory() as folder:
                plan = draw_plan(seed, size.servers, size.core_divisor)
                verdict = await SoakRun(plan, Path(folder)).run()
                if keep is not None and verdict.violations:
                    shutil.copytree(folder, keep / str(seed), dirs_exist_ok=True, ignore=_special_files)
            _print_verdict(verdict)
            return verdict

    return list(await asyncio.gather(*(run_one(seed) for seed in seeds)))


def _special_files(folder: str, names: list[str]) -> list[str]:
    return [name for name in names if not (Path(folder, name).is_file() or Path(folder, name).is_dir())]


def _print_verdict(verdict: Verdict) -> None:
    click.echo(
        f"seed {verdict.seed}: {verdict.requests} requests {verdict.statuses}, "
        f"late streams {verdict.late_streams}, peak {verdict.peak_mb:.0f} MB, "
        f"longest stall {verdict.held_up_s:.3f} s"
    )
    for violation in verdict.violations[:12]:
        click.echo(f"  {violation.rule} {violation.id}: {violation.note}")
    if verdict.violations:
        for fault in verdict.troubles:
            click.echo(f"    {fault}")


if __name__ == "__main__":
    main()
