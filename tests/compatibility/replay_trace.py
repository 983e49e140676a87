"""Drives the replay scheduler and the capacity loans between sites with scripted random events."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random

from ringledge.decide.replay.capacity_loans import CapacityLoans, LoanGrant, LoanRequest
from ringledge.decide.replay.rate_control import Capacity, RateController, spare_capacity
from ringledge.decide.replay.scheduler import QueueHead, ReplayScheduler, SendOutcome
from tests.compatibility.rendering import render

SEEDS = range(6)
STEPS = 500
LOANS_S = 60.0
SITES = {"north": 1.0, "south": 2.0, "east": 1.5}


def _replay(seed: int) -> Iterator[str]:
    rng, now_s = Random(seed), 10.0
    controller = RateController(Random(seed + 1))
    replay = ReplayScheduler(controller, rng.choice([2, 8]), {"farm": 2.0})
    queued: dict[str, QueueHead] = {}
    for number in range(STEPS):
        now_s += rng.expovariate(1 / 0.08)
        if rng.random() < 0.5:
            name = f"e{number}"
            work = rng.choice([200.0, 1500.0, 40_000.0])
            queued[name] = QueueHead(
                name, rng.choice(["farm", "fish", "rail"]), work, now_s, rng.random() < 0.7
            )
        match rng.randrange(12):
            case 0:
                controller.open(now_s)
            case 1 if rng.random() < 0.3:
                controller.close()
            case 2:
                live = Capacity(rng.choice([0.0, 9e4]), 3e4, rng.uniform(0, 8e4), rng.uniform(0, 2e4))
                decode_fraction = replay.decode_fraction(live.decode_fraction())
                ceiling = spare_capacity(live, 0.2, decode_fraction)
                controller.set_ceiling(now_s, ceiling)
                yield f"{now_s!r} {render(live)} {decode_fraction!r} {ceiling!r}"
            case 3 | 4 | 5 if replay.in_flight:
                name = rng.choice(sorted(replay.in_flight))
                outcome = rng.choice([SendOutcome.SERVED, SendOutcome.SERVED, *SendOutcome])
                work_done = rng.choice([None, rng.uniform(100, 3000)])
                replay.record_outcome(now_s, name, outcome, work_done, rng.uniform(0, 300))
                if outcome is SendOutcome.SERVED:
                    queued.pop(name, None)
            case _:
                head = replay.choose_next(now_s, list(queued.values()), probing=rng.random() < 0.1)
                yield f"{now_s!r} -> {render(head)}"
        state = f"{controller.rate!r} {controller.decreases} {controller.next_send_s(now_s)!r}"
        yield f"{replay.in_flight_count} {state} {replay.served_work!r}"
    yield render(sorted(replay.served_work_by_tenant.items()))


def _loans(seed: int) -> Iterator[str]:
    """Yields the steps of three sites whose records reach each other late or not at all."""
    rng, now_s = Random(seed), 0.0
    sites = {name: CapacityLoans(name, SITES, 1, now_s) for name in SITES}
    published: dict[str, LoanRequest | LoanGrant] = {}
    token = 1
    while now_s < LOANS_S:
        now_s += rng.uniform(0.2, 0.6)
        if rng.random() < 0.02:
            token += 1
            name = rng.choice(list(SITES))
            sites[name] = CapacityLoans(name, SITES, token, now_s)
        for name, loans in sites.items():
            if rng.random() < 0.4:
                loans.update_demand(now_s, rng.choice([0.0, 0.2, 0.6, 1.0]))
            if rng.random() < 0.8:
                requests = {
                    key.split("/")[1]: row for key, row in published.items() if isinstance(row, LoanRequest)
                }
                grants = {
                    key.split("/")[1]: row
                    for key, row in published.items()
                    if isinstance(row, LoanGrant) and key.endswith(f"/{name}")
                }
                loans.receive(now_s, requests, grants)
            rows = loans.records()
            fraction = loans.available_fraction(now_s)
            yield f"{now_s!r} {name} {fraction!r} {render(dict(sorted(rows.items())))}"
            if rng.random() < 0.7:
                published = {key: row for key, row in published.items() if key.split("/")[1] != name} | rows


def replay_steps() -> Iterator[str]:
    """The steps of the trace."""
    for seed in SEEDS:
        yield from _replay(seed)
        yield from _loans(seed)
