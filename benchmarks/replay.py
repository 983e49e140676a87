"""Measures replay by five sites whose backlogs differ by up to 100 to 1: fairness, live latency, link flaps.

Each seed is simulated without replay, with replay, with all entries sent at once, and with links that are up
for 3 s at a time. Fairness is Jain's index of the sites' served work, divided by their weights, while all of
them have queued entries. JSON on standard output; the exit code is 1 if a required bound is missed.

    python -m benchmarks.replay --seeds 5
"""

from __future__ import annotations

import random
import sys
from collections import Counter, defaultdict
from statistics import mean
from typing import Any

import click
import numpy
import orjson

from benchmarks.replay_simulation import World, make_queue
from ringledge.decide.replay.fair_share import jain_index

BACKLOGS = {"s1": 10_000, "s2": 100, "s3": 100, "s4": 500, "s5": 1_000}
WEIGHTS = {"s1": 1.0, "s2": 1.0, "s3": 1.0, "s4": 2.0, "s5": 1.0}
# Duration in s; live traffic as fractions of the prefill capacity.
DURATION_S, LIVE_LOAD, HIGH_LIVE_LOAD = 240.0, 0.5, 0.75
# Entries in flight per site, and duration in s, of the simulation that sends all at once.
UNLIMITED_IN_FLIGHT, UNLIMITED_DURATION_S = 300, 15.0
MIN_JAIN_INDEX, MAX_P99_RATIO = 0.95, 1.1
FLAP_PERIOD_S, FLAP_UP_S = 10.0, 3.0


def live_only(
    seed: int, burst_at_s: float = 0.0, live: float = LIVE_LOAD, duration_s: float = DURATION_S
) -> World:
    """A simulation of live traffic alone."""
    return World(seed, live, duration_s, burst_at_s)


def with_queues(simulated: World, seed: int, flapping: bool = False) -> World:
    """Add all sites with their queues; `flapping`: all links go up and down together, periodically."""
    rng = random.Random(seed + 2)
    for name, entries in BACKLOGS.items():
        if flapping:
            simulated.add(
                name, WEIGHTS, make_queue(rng, name, entries), lambda now_s: now_s % FLAP_PERIOD_S < FLAP_UP_S
            )
        else:
            simulated.add(name, WEIGHTS, make_queue(rng, name, entries))
    return simulated


def without_limits(simulated: World, seed: int) -> World:
    """Add all sites without rate control: they send everything as soon as their links are up."""
    with_queues(simulated, seed)
    for site in simulated.sites.values():
        site.scheduler._max_in_flight = UNLIMITED_IN_FLIGHT
        site.scheduler.rate_controller.may_send = lambda now_s: True  # type: ignore[method-assign]
    return simulated


def p99_first_token_s(simulated: World) -> float:
    """The 99th percentile of live times to the first token, in s."""
    return float(numpy.percentile(simulated.first_token_times_s, 99))


def jain_indices(simulated: World) -> tuple[float, float]:
    """Jain's index over the sites, and over the tenants of the largest, while all have something queued."""
    until_s = min(site.ended_s if site.ended_s > 0 else DURATION_S for site in simulated.sites.values())
    work_by_site = [
        sum(work for at_s, work, _ in site.served_log if at_s <= until_s) / WEIGHTS[name]
        for name, site in simulated.sites.items()
    ]
    tenants = defaultdict[str, float](float)
    for at_s, work, tenant in simulated.sites["s1"].served_log:
        tenants[tenant] += work if at_s <= until_s else 0.0
    return jain_index(work_by_site), jain_index(tenants.values())


def run_seed(seed: int) -> dict[str, Any]:
    """Run all simulations of one seed, and summarise them."""
    live_alone, replayed = live_only(seed), with_queues(live_only(seed), seed)
    before, unlimited = (
        live_only(seed, duration_s=UNLIMITED_DURATION_S),
        without_limits(live_only(seed, duration_s=UNLIMITED_DURATION_S), seed),
    )
    burst, bursting = live_only(seed, burst_at_s=100.0), with_queues(live_only(seed, burst_at_s=100.0), seed)
    flapping = with_queues(live_only(seed), seed, flapping=True)
    busy, busier = (
        live_only(seed, live=HIGH_LIVE_LOAD),
        with_queues(live_only(seed, live=HIGH_LIVE_LOAD), seed),
    )
    without_loans = with_queues(live_only(seed), seed)
    without_loans.records_delivered = False
    for each in (
        live_alone,
        replayed,
        before,
        unlimited,
        burst,
        bursting,
        flapping,
        without_loans,
        busy,
        busier,
    ):
        each.run()
    sites, tenants = jain_indices(replayed)
    windows = Counter(int(at_s // FLAP_PERIOD_S) for at_s, _ in flapping.sends)
    most_sends = max(windows.values(), default=0)
    work, work_without_loans = (
        sum(work for site in each.sites.values() for _, work, _ in site.served_log)
        for each in (replayed, without_loans)
    )
    return {
        "seed": seed,
        "jain_sites": round(sites, 4),
        "jain_tenants": round(tenants, 4),
        "p99_alone_s": round(p99_first_token_s(live_alone), 4),
        "p99_ratio": round(p99_first_token_s(replayed) / p99_first_token_s(live_alone), 4),
        "p99_ratio_all_at_once": round(p99_first_token_s(unlimited) / p99_first_token_s(before), 4),
        "p99_ratio_live_doubles": round(p99_first_token_s(bursting) / p99_first_token_s(burst), 4),
        "p99_ratio_live_075": round(p99_first_token_s(busier) / p99_first_token_s(busy), 4),
        "p99_ratio_flapping": round(p99_first_token_s(flapping) / p99_first_token_s(live_alone), 4),
        "live_refused": [live_alone.live_rejected, replayed.live_rejected, unlimited.live_rejected],
        "replayed_tokens_per_s": round(work / DURATION_S),
        "replayed_tokens_per_s_without_loans": round(work_without_loans / DURATION_S),
        "drained_s": {name: round(site.ended_s, 1) for name, site in replayed.sites.items()},
        "entries_left": sum(site.waiting_entries() for site in replayed.sites.values()),
        "refused": sum(site.rejected for site in replayed.sites.values()),
        "most_sends_in_a_flap": most_sends,
        "sends_in_first_second": sum(at_s <= 1.0 for at_s, _ in replayed.sends),
        "sends_in_first_second_all_at_once": sum(at_s <= 1.0 for at_s, _ in unlimited.sends),
    }


@click.command()
@click.option("--seeds", default=5)
@click.option("--first", default=1, help="The first seed.")
def main(seeds: int, first: int) -> None:
    """Run the seeds, and print the results and the missed bounds."""
    results = [run_seed(seed) for seed in range(first, first + seeds)]
    worst = {
        "jain_sites": min(each["jain_sites"] for each in results),
        "jain_tenants": min(each["jain_tenants"] for each in results),
        "p99_ratio": max(each["p99_ratio"] for each in results),
        "p99_ratio_mean": round(mean(each["p99_ratio"] for each in results), 4),
    }
    missed = [name for name in ("jain_sites", "jain_tenants") if worst[name] < MIN_JAIN_INDEX]
    missed += ["p99_ratio"] if worst["p99_ratio"] > MAX_P99_RATIO else []
    report = {"worst": worst, "missed": missed, "plays": results}
    print(orjson.dumps(report, option=orjson.OPT_INDENT_2).decode())
    sys.exit(bool(missed))


if __name__ == "__main__":
    main()
