"""The plan of a load, and the request arrivals that are drawn from it."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

import numpy

from ringledge.lab.deployment import SETTINGS

MIN_BODY_BYTES = 100
MAX_BODY_BYTES = 250_000  # of a request; the protocol's limit is 256 KiB


@dataclass(slots=True, frozen=True)
class Burst:
    """An interval with a higher rate, and with larger requests if `prompt_kb` is given."""

    at_s: float
    duration_s: float
    rate_factor: float
    prompt_kb: float | None


def parse_burst(text: str) -> Burst:
    """Parse AT,FOR,TIMES[,KB]: start and duration in s, rate factor, prompt size; ValueError if malformed."""
    at_s, duration_s, rate_factor, *prompt_kb = map(float, text.split(","))
    if len(prompt_kb) > 1:
        raise ValueError(f"a burst is AT,FOR,TIMES[,KB], not {text}")
    return Burst(at_s, duration_s, rate_factor, prompt_kb[0] if prompt_kb else None)


def parse_shares(text: str) -> dict[str, float]:
    """Parse NAME=SHARE,...; for an empty text, all tenants with their fractions from the settings."""
    if not text:
        return {each["name"]: each["fraction"] for each in SETTINGS["tenants"]}
    return {name: float(share) for name, share in (each.split("=") for each in text.split(","))}


@dataclass(slots=True, frozen=True)
class LoadPlan:
    """The parameters of a load."""

    target: str  # the address of the conductor's platform front
    requests_per_s: float
    duration_s: float
    booking_share: float  # share of the booking class in all requests
    prompt_kb: float  # median of the body sizes, which have a lognormal distribution
    prompt_sigma: float  # sigma of that distribution
    tenant_shares: dict[str, float]  # share of each tenant in all requests; need not sum to 1
    bursts: tuple[Burst, ...] = ()
    non_reading_clients: int = 0  # clients that read nothing of their responses
    health_address: str = ""  # the address whose /healthcheck is called; empty: none
    seed: int = 1


@dataclass(slots=True)
class Arrival:
    """One request drawn from the plan."""

    at_s: float  # scheduled time, from the start of the load
    class_index: int
    tenant: str
    body_bytes: int


def draw_arrivals(plan: LoadPlan) -> Iterator[Arrival]:
    """Draw arrivals of a Poisson process with a higher rate during bursts; reproducible by seed."""
    rng = numpy.random.default_rng(plan.seed)
    tenants = list(plan.tenant_shares)
    shares = numpy.array(list(plan.tenant_shares.values()))
    at_s = 0.0
    while True:
        burst = next((each for each in plan.bursts if each.at_s <= at_s < each.at_s + each.duration_s), None)
        at_s += rng.exponential(1 / (plan.requests_per_s * (burst.rate_factor if burst else 1.0)))
        if at_s >= plan.duration_s:
            return
        prompt_kb = burst.prompt_kb if burst and burst.prompt_kb else plan.prompt_kb
        body_bytes = int(1024 * prompt_kb * math.exp(plan.prompt_sigma * rng.standard_normal()))
        class_index = int(rng.random() < plan.booking_share)
        tenant = str(rng.choice(tenants, p=shares / shares.sum()))
        yield Arrival(at_s, class_index, tenant, max(MIN_BODY_BYTES, min(body_bytes, MAX_BODY_BYTES)))
