"""Alternative admission policies on the same arrivals: how many requests each serves in time.

The arrivals are the load tool's own, replayed through a model of one core. JSON on standard output.
"""

from __future__ import annotations

import click
import orjson

from benchmarks.overload_core import CAPACITY, Replay
from benchmarks.overload_policies import ALTERNATIVES
from ringledge.lab.load_plan import Burst, LoadPlan, draw_arrivals, parse_shares


@click.command()
@click.option("--seconds", default=20.0, show_default=True, help="Length of each run.")
@click.option("--seed", default=1, show_default=True, help="Seed of the arrivals.")
def main(seconds: float, seed: int) -> None:
    """Replay every run under every policy."""
    shares = parse_shares("")
    runs = {
        "steady 1x": (CAPACITY, 2.0, ()),
        "steady 3x": (3 * CAPACITY, 2.0, ()),
        "slow servers": (0.7 * CAPACITY, 2.0, ()),
        "rushes to 5x": (0.8 * CAPACITY, 2.0, (Burst(3, 2, 6, None), Burst(10, 2, 6, None))),
        "rush of 200 KB": (0.8 * CAPACITY, 2.0, (Burst(5, 6, 2, 200.0),)),
    }
    results = {}
    for run, (rate, kb, bursts) in runs.items():
        plan = LoadPlan("127.0.0.1:1", rate, seconds, 0.19, kb, 0.0, shares, bursts, seed=seed)
        has_slow_servers = run == "slow servers"
        results[run] = {
            name: Replay(policy(), seconds, has_slow_servers).run(draw_arrivals(plan))
            for name, policy in ALTERNATIVES.items()
        }
    report = {"capacity_per_s": round(CAPACITY, 1), "seconds": seconds, "seed": seed, "runs": results}
    click.echo(orjson.dumps(report, option=orjson.OPT_INDENT_2).decode())


if __name__ == "__main__":
    main()
