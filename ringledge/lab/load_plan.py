"""What the load sends: a plan, and the arrivals that are drawn from it."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

import numpy

from ringledge.lab.deployment import SETTINGS

MAX_BODY_BYTES = 250_000  # of a request: the protocol's limit is 256 KiB


@dataclass(slots=True, frozen=True)
class Burst:
    """A stretch with more requests, and larger ones if `kb` says so."""

    at_s: float
    for_s: float
    times: float
    kb: float | None


def parse_burst(text: str) -> Burst:
    """Read AT,FOR,TIMES[,KB]; ValueError where it is none."""
    at_s, for_s, times, *kb = map(float, text.split(","))
    if len(kb) > 1:
        raise ValueError(f"a burst is AT,FOR,TIMES[,KB], not {text}")
    return Burst(at_s, for_s, times, kb[0] if kb else None)


def parse_shares(text: str) -> dict[str, float]:
    """Read NAME=SHARE,...; all tenants with their fractions where it is empty."""
    if not text:
        return {each["name"]: each["fraction"] for each in SETTINGS["tenants"]}
    return {name: float(share) for name, share in (each.split("=") for each in text.split(","))}


@dataclass(slots=True, frozen=True)
class LoadPlan:
    """What is sent; rates a second, sizes in KB."""

    target: str
    rate: float
    seconds: float
    bookings: float
    prompt_kb: float
    prompt_sigma: float
    tenants: dict[str, float]
    bursts: tuple[Burst, ...] = ()
    unread: int = 0
    watch: str = ""
    seed: int = 1


@dataclass(slots=True)
class Arrival:
    """One request as it was drawn."""

    at_s: float
    class_index: int
    tenant: str
    size: int


def arrivals(plan: LoadPlan) -> Iterator[Arrival]:
    """A Poisson process with the plan's stretches, the same for the same seed."""
    rng = numpy.random.default_rng(plan.seed)
    names, parts = list(plan.tenants), numpy.array(list(plan.tenants.values()))
    at_s = 0.0
    while True:
        burst = next((b for b in plan.bursts if b.at_s <= at_s < b.at_s + b.for_s), None)
        at_s += rng.exponential(1 / (plan.rate * (burst.times if burst else 1.0)))
        if at_s >= plan.seconds:
            return
        kb = burst.kb if burst and burst.kb else plan.prompt_kb
        size = int(1024 * kb * math.exp(plan.prompt_sigma * rng.standard_normal()))
        booking = int(rng.random() < plan.bookings)
        tenant = str(rng.choice(names, p=parts / parts.sum()))
        yield Arrival(at_s, booking, tenant, max(100, min(size, MAX_BODY_BYTES)))
