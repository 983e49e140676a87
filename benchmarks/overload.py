"""Measures one core at 1 to 3 times its capacity: bookings in time, loop delay, goodput. JSON on stdout.

The conductor runs on a core of its own; capacity is the highest rate at which 97 of 100 requests of each
class are served in time, found with overload control off. Rates follow the speed of the core, measured right
before each run. `--tree` measures another checkout of this repository, for example an older version.
"""

from __future__ import annotations

import re
import subprocess
import sys
from dataclasses import dataclass
from itertools import product
from pathlib import Path
from typing import Any

import click
import orjson
import psutil

from ringledge.lab import load
from ringledge.lab.load_plan import LoadPlan, parse_shares
from ringledge.lab.stage import LabProcesses, start_lab

PROMETHEUS_CONFIG = 'enabled = true\nlisten = "127.0.0.1:0"\n'
OVERLOAD_CONFIG = "enabled = true\n"
MIN_IN_TIME_SHARE = 0.97  # of requests served in time, at which the core counts as keeping up


def load_plan(stage: LabProcesses, rate: float, seconds: float, kb: float, seed: int) -> LoadPlan:
    """The load of all runs: 19% bookings, split by the tenants' shares."""
    target, health_address = stage.listening["platform"], stage.listening["operator"]
    return LoadPlan(target, rate, seconds, 0.19, kb, 0.0, parse_shares(""), (), 0, health_address, seed)


@dataclass(slots=True, frozen=True)
class RunOptions:
    """The options that several runs have in common."""

    seconds: float
    kb: float  # size of a prompt
    tree: Path | None  # another checkout to measure
    core: int  # on which the conductor runs


def measure_run(rate: float, seed: int, options: RunOptions, sheds: bool) -> dict[str, Any]:
    """Measure one run at a newly started conductor, with overload control if `sheds`."""
    deploy = {"prometheus.toml": PROMETHEUS_CONFIG} | ({"overload.toml": OVERLOAD_CONFIG} if sheds else {})
    servers = ("--sockets", "4096", "--readers", "4", "--writers", "4")
    with start_lab(servers, deploy, options.tree, options.core) as staged:
        process = psutil.Process(staged.pid)
        before = sum(process.cpu_times()[:2])
        report: dict[str, Any] = orjson.loads(
            load.run(load_plan(staged, rate, options.seconds, options.kb, seed))
        )
        cpu_s = sum(process.cpu_times()[:2]) - before
        served = sum(each["ends"].get("served", 0) for each in report["classes"].values())
        metrics = staged.metrics_text()
        report |= {
            "rate": rate,
            "cpu_s": round(cpu_s, 2),
            "cpu_ms_per_served": round(1000 * cpu_s / max(1, served), 2),
            "rss_mb": round(process.memory_info().rss / 1e6, 1),
            "audit": staged.audit(),
            "loop_delay_ms": loop_delay(metrics),
        }
        return report


def loop_delay(metrics: str) -> dict[str, float]:
    """Quantiles of the conductor's own histogram of loop delays: the upper bounds of their buckets, in ms."""
    buckets = re.findall(r'ringledge_loop_delay_seconds_bucket\{le="([^"]+)"\} (\S+)', metrics)
    if not buckets or not float(buckets[-1][1]):
        return {}
    total = float(buckets[-1][1])
    bounds = [(1000 * float(le), float(count) / total) for le, count in buckets]
    return {f"p{q}": next(le for le, part in bounds if part >= q / 100) for q in (50, 99)}


def speed(core: int) -> float:
    """Iterations of a fixed loop that the core does now: its speed can change by half within minutes."""
    code = (
        "import os,time\nos.sched_setaffinity(0,{%d})\nn,end=0,time.perf_counter()+0.4\n"
        "while time.perf_counter()<end: n+=sum(range(2000))>0\nprint(n)" % core
    )
    return float(subprocess.run([sys.executable, "-c", code], capture_output=True, check=True).stdout)


def capacity(options: RunOptions, seed: int, low: float, high: float) -> float:
    """The highest rate that the core keeps up with, to within 5%."""
    while high / low > 1.05:
        rate = (low * high) ** 0.5
        report = measure_run(rate, seed, options, False)
        keeps_up = min(each["in_time_share"] for each in report["classes"].values()) >= MIN_IN_TIME_SHARE
        low, high = (rate, high) if keeps_up else (low, rate)
    return low


@click.command()
@click.option("--tree", type=click.Path(exists=True, path_type=Path), help="Another checkout to measure.")
@click.option("--capacity", "known", type=float, help="Requests per second; searched for if not given.")
@click.option("--kb", default=2.0, show_default=True, help="Size of a prompt.")
@click.option("--seconds", default=12.0, show_default=True, help="Length of a run.")
@click.option("--times", default="1,1.5,2,3", show_default=True, help="Multiples of the capacity.")
@click.option("--runs", default=1, show_default=True, help="Runs per multiple, with seeds from 1 on.")
@click.option("--core", default=0, show_default=True, help="The conductor's core.")
@click.option("--off", is_flag=True, help="Run without overload.toml.")
@click.option(
    "--against",
    type=click.Path(exists=True, path_type=Path),
    help="A checkout measured alternately with this one, without overload control; its capacity is used.",
)
@click.option("--low", default=20.0, show_default=True, help="Lower bound of the search for the capacity.")
@click.option("--high", default=1500.0, show_default=True, help="Upper bound of that search.")
def main(
    tree: Path | None,
    known: float | None,
    kb: float,
    seconds: float,
    times: str,
    runs: int,
    core: int,
    off: bool,
    against: Path | None,
    low: float,
    high: float,
) -> None:
    """Measure all runs; print each to standard error and one JSON object with all of them."""
    base_rate = known or capacity(RunOptions(5.0, kb, against or tree, core), 1, low, high)
    initial_speed = speed(core)
    rows = []
    versions = [("this", tree, not off)] + ([("against", against, False)] if against else [])
    for multiple in map(float, times.split(",")):
        for seed, (version, checkout, sheds) in product(range(1, runs + 1), versions):
            current_speed = speed(core)
            rate = base_rate * multiple * current_speed / initial_speed
            report = measure_run(rate, seed, RunOptions(seconds, kb, checkout, core), sheds)
            labels = {"version": version, "times": multiple, "rate": round(report["rate"]), "seed": seed}
            row = labels | {"speed": round(current_speed / initial_speed, 2)} | summary(report)
            click.echo(orjson.dumps(row).decode(), err=True)
            rows.append(row)
    result = {"capacity_per_s": round(base_rate, 1), "kb": kb, "overload": not off, "rows": rows}
    click.echo(orjson.dumps(result, option=orjson.OPT_INDENT_2).decode())


def summary(report: dict[str, Any]) -> dict[str, Any]:
    """The figures of one run's report, as a row of the output."""
    query, booking = report["classes"].values()
    return {
        "bookings_in_time": booking["in_time_share"],
        "queries_in_time": query["in_time_share"],
        "goodput_per_s": report["goodput_per_s"],
        "booking_ms": booking["first_token_ms"],
        "refused_ms": query["refused_ms"],
        "loop_delay_ms": report["loop_delay_ms"],
        "healthcheck_p99_ms": report["healthcheck_ms"].get("p99"),
        "cpu_s": report["cpu_s"],
        "cpu_ms_per_served": report["cpu_ms_per_served"],
        "rss_mb": report["rss_mb"],
        "ends": {name: each["ends"] for name, each in report["classes"].items()},
        "unanswered": report["unanswered"],
        "audit": report["audit"],
        "generator_kept_up": report["generator_kept_up"],
    }


if __name__ == "__main__":
    main()
