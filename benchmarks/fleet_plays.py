"""Play the operators' bench on several seeds, a few plays at a time, and print one table row for each day.

The bench is a program outside this repository: its path and the site file are arguments. Each play leaves its
own journal entry. The exit code is 1 if any day broke a rule, crashed or failed its gate.
"""

from __future__ import annotations

import sys
import tempfile
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from subprocess import DEVNULL, run
from typing import Any

import click
import orjson

HEADER = (
    "| day | seed | conductors | servers | G | score | verdict |",
    "| --- | --- | --- | --- | --- | --- | --- |",
)


@dataclass(frozen=True, slots=True)
class Play:
    """One call of the bench: one simulated day of a kind, or a panel of days."""

    name: str
    is_panel: bool
    seed: int


@dataclass(frozen=True, slots=True)
class Day:
    """What the bench reported for one day; ``faults`` is empty if the day passed."""

    name: str
    seed: int
    conductors: int
    servers: int
    worth: float | None
    score: float | None
    faults: tuple[str, ...]

    def row(self) -> str:
        """A row of the Markdown table."""
        verdict = "; ".join(self.faults) or "rules kept"
        worth, score = _format_figure(self.worth), _format_figure(self.score)
        cells = (self.name, self.seed, self.conductors, self.servers, worth, score, verdict)
        return f"| {' | '.join(map(str, cells))} |"


@dataclass(frozen=True, slots=True)
class Bench:
    """The bench's path and the arguments that all plays have in common."""

    program: Path
    site: Path
    nodes: int | None
    why: str

    def command(self, play: Play, report: Path) -> list[str]:
        """The command line of a play that writes its report to a file."""
        site = str(self.site)
        day = ["score", site, "--panel", play.name] if play.is_panel else [site, "--rough", play.name]
        size = ["--nodes", str(self.nodes)] if self.nodes else []
        flags = ["--seed", str(play.seed), "--json", str(report), "--no-build", "--why", self.why]
        return [str(self.program), *day, *size, *flags]


def read_days(report: dict[str, Any]) -> Iterator[Day]:
    """The days of a report, which has a list of days, or one row for a single day."""
    for day_report in report["days"] if "days" in report else [report["row"]]:
        yield Day(
            day_report["name"],
            day_report["seed"],
            day_report["balancers"],
            day_report["servers"],
            day_report["G"],
            day_report["score"],
            tuple(_faults(day_report)),
        )


def _faults(day_report: dict[str, Any]) -> Iterator[str]:
    """The reasons why a day fails: a crash, a gate that is not met, broken rules."""
    if day_report.get("fault"):
        yield f"fault: {day_report['fault']}"
    if day_report.get("gate"):
        yield f"gate: {day_report['gate']}"
    for rule, count in sorted((day_report.get("rules") or {}).items()):
        if count:
            yield f"{rule} broken {count} times"


def _format_figure(value: float | None) -> str:
    return "-" if value is None else f"{value:.3f}"


def play_one(bench: Bench, play: Play) -> list[Day]:
    """Run one play; a bench that exits without a report counts as a day with a fault."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        ended = run(bench.command(play, report), stdin=DEVNULL, stdout=DEVNULL, check=False)
        if not report.exists():
            fault = f"no report, exit code {ended.returncode}"
            return [Day(play.name, play.seed, 0, 0, None, None, (fault,))]
        return list(read_days(orjson.loads(report.read_bytes())))


def play_all(bench: Bench, plays: list[Play], at_once: int) -> Iterator[list[Day]]:
    """Run the plays, up to `at_once` concurrently; results come in the order of the plays."""
    with ThreadPoolExecutor(at_once) as pool:
        yield from pool.map(lambda play: play_one(bench, play), plays)


@click.command(help=__doc__)
@click.option(
    "--bench", type=click.Path(exists=True, path_type=Path), required=True, help="Path of the bench."
)
@click.option(
    "--site", type=click.Path(exists=True, path_type=Path), required=True, help="Path of the site file."
)
@click.option("--kind", "kinds", multiple=True, help="A kind of rough day; may be repeated.")
@click.option("--panel", "panels", multiple=True, help="A panel of days; may be repeated.")
@click.option("--seed", "seeds", type=int, multiple=True, default=(1,), show_default=True)
@click.option("--nodes", type=int, help="Conductors of a rough day.")
@click.option("--at-once", type=int, default=1, show_default=True, help="Number of concurrent plays.")
@click.option("--why", required=True, help="One sentence for the journal.")
def main(
    bench: Path,
    site: Path,
    kinds: tuple[str, ...],
    panels: tuple[str, ...],
    seeds: tuple[int, ...],
    nodes: int | None,
    at_once: int,
    why: str,
) -> None:
    """Play each kind and panel with each seed."""
    plays = [Play(name, False, seed) for name in kinds for seed in seeds]
    plays += [Play(name, True, seed) for name in panels for seed in seeds]
    failed = False
    for line in HEADER:
        click.echo(line)
    for days in play_all(Bench(bench, site, nodes, why), plays, at_once):
        for day in days:
            click.echo(day.row())
            failed = failed or bool(day.faults)
    sys.exit(int(failed))


if __name__ == "__main__":
    main()
