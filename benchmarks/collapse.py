"""Simulates whether a fleet recovers when prefill servers are replaced by cold ones during a burst of load.

Forty routers that share no state, ten prefill servers, six of which are replaced within 7 s, and clients that
retry up to three times. The output is JSON. For each second it holds the uncached tokens that are queued at
the prefill servers (`queued`), the tokens prefilled (`spent`), the prefills sent (`reads`) and those that
repeat an earlier one (`repeats`), the priority weight earned (`worth`), and the numbers of requests answered
in time, late, or never.
"""

from __future__ import annotations

from collections import defaultdict
from typing import Any

import click
import orjson

from benchmarks.collapse_fleet import BURST_DURATION_MS, BURST_START_MS, FleetSimulation
from ringledge.routing.concurrency_limit import ConcurrencyLimit
from ringledge.routing.interface import (
    RouterSettings,
)
from ringledge.routing.policy import Policy


class Unlimited(ConcurrencyLimit):
    """A concurrency limit that never detects congestion and so never limits the prefills."""

    def observe_wait(self, now_ms: float, wait_share: float, sent_ms: float) -> bool:
        """Ignores the wait, so that the limit never decreases."""
        return False


def without_limit(settings: RouterSettings, seed: int) -> Policy:
    """Creates a policy that sends prefills however long they wait."""
    return Policy(settings, seed, Unlimited())


def summarize(seconds: list[defaultdict[str, float]]) -> dict[str, Any]:
    """The shares of requests served in time before and from the burst on, and the counts of each second.

    The recovery time counts from the end of the burst until 90% are served in time for three seconds.
    """

    def in_time_share(window: list[defaultdict[str, float]]) -> float:
        in_time = sum(s["in time"] for s in window)
        return in_time / max(1.0, in_time + sum(s["late"] + s["unserved"] for s in window))

    burst_end = int((BURST_START_MS + BURST_DURATION_MS) / 1000)
    recovery_s = next(
        (
            n - burst_end
            for n in range(burst_end, len(seconds) - 3)
            if in_time_share(seconds[n : n + 3]) >= 0.9
        ),
        None,
    )
    counts = [{name: round(value, 1) for name, value in s.items()} for s in seconds]
    return {
        "before": round(in_time_share(seconds[5:15]), 3),
        "after": round(in_time_share(seconds[15:]), 3),
        "seconds until 0.9 after the burst": recovery_s,
        "seconds": counts,
    }


@click.command()
@click.option("--seed", "seeds", type=int, multiple=True, default=(1, 2), help="One simulation per seed.")
@click.option("--without", is_flag=True, help="Simulate without the concurrency limit on prefills.")
@click.option("--brief", is_flag=True, help="Omit the counts of each second.")
def main(seeds: tuple[int, ...], without: bool, brief: bool) -> None:
    """Simulate the replacement of six in ten prefill servers by cold ones during a burst."""
    for seed in seeds:
        result = {"seed": seed} | summarize(FleetSimulation(seed, without_limit if without else Policy).run())
        if brief:
            del result["seconds"]
        click.echo(orjson.dumps(result).decode())


if __name__ == "__main__":
    main()
