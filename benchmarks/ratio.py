"""Compares the planner with the best fixed split and the optimal plan, in virtual time; JSON on stdout.

Mixes: `short` (short prompts, long answers), `long` (long prompts, short answers), `autumn` (from one to the
other within 60 s and back), `swing` (there and back every 20 s). The load is a fixed fraction of the
capacity of the best split of all servers for the current mix. Settings are those of deploy/ratio.toml.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from functools import partial
from statistics import mean
from typing import Any

import click
import orjson

from benchmarks.ratio_simulation import DECODE_RATE, PREFILL_RATE, Simulation
from benchmarks.ratio_strategies import ScriptedPlan, SimulatedPlanner, best_fixed_split, optimal_plan
from ringledge.decide.ratio.settings import RatioConfig
from ringledge.observe.logging import log

SHAPES = ((1_000.0, 300.0), (4_000.0, 120.0))  # prompt tokens, answer tokens
LOAD = 0.75  # of the capacity of the best split
SIZES = {10: (1, 2, 5, 4), 60: (2, 6, 5, 4), 100: (2, 10, 5, 4)}  # sites, racks, servers a rack, members
MEASURE_FROM_S, END_S = 60.0, 360.0  # measured interval; the simulation settles before it
SHIFT_AT_S, SHIFT_BACK_AT_S = 120.0, 260.0  # when the mixes autumn and step begin to shift
SHIFT_DURATION_S, HALF_PERIOD_S = 60.0, 20.0
BIN_S = 5.0  # resolution of the recovery time


def long_fraction(mix: str, now_s: float) -> float:
    """The fraction of requests that are of the second shape."""
    if mix == "swing":
        return float(now_s // HALF_PERIOD_S % 2)
    if mix == "autumn":
        there, back = ((now_s - at_s) / SHIFT_DURATION_S for at_s in (SHIFT_AT_S, SHIFT_BACK_AT_S))
        return min(1.0, max(0.0, there)) - min(1.0, max(0.0, back))
    if mix == "step":
        return float(SHIFT_AT_S <= now_s < SHIFT_BACK_AT_S)
    return 1.0 if mix == "long" else 0.0


def demand(mix: str, servers: int, now_s: float) -> tuple[float, float]:
    """Requests per s, and the fraction of the second shape; no requests after END_S."""
    second = long_fraction(mix, now_s)
    prompt, answer = ((1 - second) * a + second * b for a, b in zip(*SHAPES, strict=True))
    rate = LOAD * servers / (prompt / PREFILL_RATE + answer / DECODE_RATE)
    return (rate if now_s < END_S else 0.0), second


def token_demand(mix: str, servers: int, now_s: float) -> tuple[float, float]:
    """Tokens per s to prefill and to decode at a site with that many servers."""
    rate, second = demand(mix, servers, min(now_s, END_S - 1))
    prompt, answer = ((1 - second) * a + second * b for a, b in zip(*SHAPES, strict=True))
    return rate * prompt, rate * answer


def run(
    mix: str,
    size: int,
    seed: int,
    strategy: Callable[[Simulation], ScriptedPlan | SimulatedPlanner],
    blind: bool = False,
) -> tuple[Simulation, ScriptedPlan | SimulatedPlanner]:
    """Simulate one strategy."""
    simulation = Simulation(seed, SIZES[size], RatioConfig(), SHAPES, partial(demand, mix, size), blind)
    plan = strategy(simulation)
    simulation.run_until(END_S + 60)
    return simulation, plan


def constant_plan(prefill_servers: int, _: float) -> int:
    """A plan that never changes."""
    return prefill_servers


def recovery_time_s(simulation: Simulation, best: Simulation, from_s: float, to_s: float) -> float:
    """Time from `from_s` until the value stays at 90% of the best up to `to_s`; 0 if it was never below."""
    bins = [from_s + BIN_S * at for at in range(int((to_s - from_s) / BIN_S))]
    below = [
        at for at in bins if simulation.served_value(at, at + BIN_S) < 0.9 * best.served_value(at, at + BIN_S)
    ]
    return below[-1] + BIN_S - from_s if below else 0.0


def compare(mix: str, size: int, seed: int, blind: bool) -> dict[str, Any]:
    """Run all strategies on one mix, size and seed, and compare them."""
    began_s, settings = time.perf_counter(), RatioConfig()
    sites, racks, each, _ = SIZES[size]
    servers = racks * each
    need = partial(token_demand, mix, servers)
    best_split = best_fixed_split(need, servers, END_S)
    split_margin = max(1, servers // 20)
    fixed_splits = [
        prefill_servers
        for prefill_servers in (best_split - split_margin, best_split, best_split + split_margin)
        if 0 < prefill_servers < servers
    ]
    fixed_runs = [
        run(mix, size, seed, partial(ScriptedPlan, plan=partial(constant_plan, n)))[0] for n in fixed_splits
    ]
    best_fixed = max(fixed_runs, key=lambda simulation: simulation.served_value(MEASURE_FROM_S, END_S))
    plans = [optimal_plan(need, servers, racks, settings, END_S, start_s) for start_s in (0.0, -4.0, 4.0)]
    foresight_runs = [run(mix, size, seed, partial(ScriptedPlan, plan=plan)) for plan in plans]
    best_foresight, scripted = max(
        foresight_runs, key=lambda each: each[0].served_value(MEASURE_FROM_S, END_S)
    )
    best = max(
        (best_foresight, best_fixed), key=lambda simulation: simulation.served_value(MEASURE_FROM_S, END_S)
    )
    simulation, planned = run(
        mix,
        size,
        seed,
        partial(SimulatedPlanner, start=best_fixed_split(need, servers, MEASURE_FROM_S)),
        blind,
    )
    values = {
        name: round(each.served_value(MEASURE_FROM_S, END_S), 4)
        for name, each in (("planner", simulation), ("best_fixed", best_fixed), ("foresight", best))
    }
    shifts = mix in ("autumn", "step")
    within = [(at_s + 60.0, at_s + 90.0) for at_s in (SHIFT_AT_S, SHIFT_BACK_AT_S)] if shifts else []
    return {
        "mix": mix,
        "servers": size,
        "seed": seed,
        **values,
        "of_foresight": round(values["planner"] / values["foresight"], 3),
        "from_60s_after_shift": [
            round(simulation.served_value(*at) / best.served_value(*at), 3) for at in within
        ],
        "to_ninety_s": [
            recovery_time_s(simulation, best, *at)
            for at in ((SHIFT_AT_S, SHIFT_BACK_AT_S), (SHIFT_BACK_AT_S, END_S))
        ]
        if shifts
        else [],
        "changes": planned.changes,
        "foresight_changes": scripted.changes,
        "fixed_readers": best_split,
        "twice": sum(job.decode_sends > 1 for job in simulation.requests),
        "no_end": sum(not job.outcome for job in simulation.requests),
        "states_left": sum(server.cache_entries for server in simulation.servers.values()),
        "took_s": round(time.perf_counter() - began_s, 1),
    }


@click.command()
@click.option(
    "--mix", "mixes", multiple=True, default=("short", "long", "autumn", "swing"), show_default=True
)
@click.option("--servers", multiple=True, type=click.Choice(["10", "60", "100"]), default=("10", "60", "100"))
@click.option("--seed", "seeds", multiple=True, type=int, default=(1,), show_default=True)
@click.option("--blind", is_flag=True, help="All requests are of one class, so a shift shows late.")
def main(mixes: tuple[str, ...], servers: tuple[str, ...], seeds: tuple[int, ...], blind: bool) -> None:
    """Compare the planner with a fixed split and with foresight."""
    log.configure("error", "lab")
    results = [compare(mix, int(size), seed, blind) for mix in mixes for size in servers for seed in seeds]
    mixes_and_sizes = sorted({(r["mix"], r["servers"]) for r in results})
    means = {
        f"{mix} {size}": round(
            mean(r["of_foresight"] for r in results if (r["mix"], r["servers"]) == (mix, size)), 3
        )
        for mix, size in mixes_and_sizes
    }
    click.echo(orjson.dumps({"runs": results, "mean_of_foresight": means}, option=orjson.OPT_INDENT_2))


if __name__ == "__main__":
    main()
