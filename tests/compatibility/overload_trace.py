"""Drives the overload decisions with scripted random events from fixed seeds."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random

from ringledge.decide.overload.admission import OverloadController
from ringledge.decide.overload.messages import OverloadLimits, ResourceSample
from ringledge.decide.overload.tenant_quotas import TenantQuota
from tests.compatibility.rendering import render

SEEDS = range(8)
SAMPLES = 120


def _steps(seed: int) -> Iterator[str]:
    rng = Random(seed)
    limits = OverloadLimits(rng.choice([0.5, 1.0]), rng.choice([0.7, 0.9]), rng.choice([10.0, 30.0]))
    weights = [rng.choice([0.0, 1.0, 2.0, 6.0]) for _ in range(3)]
    quotas = [TenantQuota(0.6, rng.choice([None, 20.0])), TenantQuota(0.4, 5.0)]
    overload = OverloadController(limits, weights, quotas, 0.2, 1000.0, Random(seed + 1))
    now_ms, busy = 1000.0, 0.0
    yield f"{render(limits)} {render(weights)} {render(quotas)}"
    for _ in range(SAMPLES):
        now_ms += rng.uniform(50, 120)
        if rng.random() < 0.1:
            busy = rng.choice([0.2, 0.8, 1.0, 1.3])
        span_ms = rng.uniform(50, 120)
        sample = ResourceSample(
            now_ms,
            span_ms,
            busy * span_ms,
            rng.choice([0.5, 5.0, 60.0]) * busy,
            rng.choice([0.0, 0.0, 45.0]) * busy,
            rng.choice([0.3, 0.5, 0.82, 0.93]),
            rng.choice([0.0, 0.2, 0.9]),
            rng.choice([0.1, 0.3, 0.99]) if rng.random() < 0.2 else 0.1,
        )
        overload.on_sample(sample)
        state = f"{overload.under_pressure} {overload.transition_count} {overload.rate_correction!r}"
        yield f"{render(sample)} {state}"
        for _ in range(rng.randrange(12)):
            now_ms += rng.uniform(0, 4)
            arguments = (rng.randrange(3), rng.randrange(3), rng.uniform(0.1, 60.0))
            lag_ms = rng.choice([0.0, 0.0, 2.0, 80.0])
            rejection = overload.admit(now_ms, *arguments, lag_ms, busy)
            admitted = overload.admitted_fraction(now_ms, arguments[0], False)
            answers = (rejection, overload.may_reject, overload.rejects_all(now_ms), admitted)
            yield f"{now_ms!r} {render(arguments)} {lag_ms!r} -> {render(answers)}"


def overload_steps() -> Iterator[str]:
    """The steps of the trace."""
    for seed in SEEDS:
        yield from _steps(seed)
