"""A fleet of policies whose readers are replaced cold under a burst: does it get up again? Tells JSON.

Forty routers that share nothing, ten readers, six of which are replaced within 7 s, clients that come again
up to three times. Told for each second: unread tokens that wait at the readers (`queued`), tokens read
(`spent`), reads and those that are repeats, worth earned, requests answered in time, late, or never.
"""

from __future__ import annotations

from collections import defaultdict
from typing import Any

import click
import orjson

from benchmarks.collapse_fleet import BURST_MS, TROUBLE_MS, FleetSimulation
from ringledge.routing.concurrency_limit import ConcurrencyLimit
from ringledge.routing.interface import (
    RouterSettings,
)
from ringledge.routing.policy import Policy


class Unlimited(ConcurrencyLimit):
    """Never finds congestion: the policy without its limit on prefills."""

    def observe_wait(self, now_ms: float, wait_share: float, sent_ms: float) -> bool:
        """Whatever a prefill waits, no decrease."""
        return False


def without_limit(settings: RouterSettings, seed: int) -> Policy:
    """A policy that sends prefills however long they wait."""
    return Policy(settings, seed, Unlimited())


def summarize(seconds: list[defaultdict[str, float]]) -> dict[str, Any]:
    """The share served in time after the trouble began, seconds until nine in ten are, and each second."""

    def share(some: list[defaultdict[str, float]]) -> float:
        got = sum(s["in time"] for s in some)
        return got / max(1.0, got + sum(s["late"] + s["unserved"] for s in some))

    end = int((TROUBLE_MS + BURST_MS) / 1000)
    back = next((n - end for n in range(end, len(seconds) - 3) if share(seconds[n : n + 3]) >= 0.9), None)
    lines = [{name: round(value, 1) for name, value in s.items()} for s in seconds]
    return {
        "before": round(share(seconds[5:15]), 3),
        "after": round(share(seconds[15:]), 3),
        "seconds until 0.9 after the burst": back,
        "seconds": lines,
    }


@click.command()
@click.option("--seed", "seeds", type=int, multiple=True, default=(1, 2), help="Seeds, one day each.")
@click.option("--without", is_flag=True, help="Play without the limit on reads in a jam.")
@click.option("--brief", is_flag=True, help="Leave the seconds out.")
def main(seeds: tuple[int, ...], without: bool, brief: bool) -> None:
    """Play days on which six in ten readers are replaced cold under a burst."""
    for seed in seeds:
        result = {"seed": seed} | summarize(FleetSimulation(seed, without_limit if without else Policy).run())
        if brief:
            del result["seconds"]
        click.echo(orjson.dumps(result).decode())


if __name__ == "__main__":
    main()
