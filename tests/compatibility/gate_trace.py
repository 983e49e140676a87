"""Drives the admission gate with scripted requests and process readings from fixed seeds."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random
from typing import cast

from ringledge.core.clock import Clock
from ringledge.core.gate import AdmissionGate, GateOptions, ResourceLimits
from ringledge.decide.overload.messages import RejectionReason
from ringledge.decide.overload.settings import OverloadConfig
from ringledge.memory.buffered_bytes import BufferedBytes
from ringledge.memory.process_statistics import ProcessReading, ProcessStatistics
from ringledge.observe.metrics import Metrics
from ringledge.routing.interface import (
    Idempotency,
    RequestClass,
    Role,
    RouterSettings,
    ServerKind,
    Tenant,
)
from tests.compatibility.rendering import render

SEEDS = range(6)
STEPS = 400
MEMORY_BYTES = 200 * 1024 * 1024


class _ScriptedClock:
    def __init__(self) -> None:
        self.reading_ms = 1000.0

    def now_ms(self) -> float:
        return self.reading_ms


class _ScriptedProcessStatistics:
    """Scripted values of what the gate reads from the process between two readings."""

    def __init__(self) -> None:
        self.lag_ms = 0.0
        self.cpu = 0.0
        self.rss_bytes = 0
        self.trims = 0

    def loop_lag_ms(self) -> float:
        return self.lag_ms

    def cpu_rate(self) -> float:
        return self.cpu

    def trim_memory(self) -> None:
        self.trims += 1


class _ScriptedCache:
    """A cache with a scripted size."""

    def __init__(self) -> None:
        self.retained_bytes = 0

    def size_bytes(self) -> int:
        return self.retained_bytes

    def evict(self, size_bytes: int) -> int:
        evicted = min(size_bytes, self.retained_bytes)
        self.retained_bytes -= evicted
        return evicted


def _settings(rng: Random) -> RouterSettings:
    classes = tuple(
        RequestClass(1000.0, 5000.0, Idempotency.IDEMPOTENT, weight)
        for weight in (2.0, 6.0, rng.choice([0.5, 6.0]))
    )
    tenants = (Tenant(0.7, rng.choice([None, 30.0])), Tenant(0.3, 6.0))
    return RouterSettings(
        classes, (ServerKind(Role.MIXED),), tenants, routers=rng.choice([1, 3]), over_quota_weight=0.1
    )


def _reading(rng: Random) -> ProcessReading:
    span_ms = rng.uniform(50, 110)
    return ProcessReading(
        span_ms,
        span_ms * rng.choice([0.1, 0.7, 1.0, 1.3]),
        rng.choice([0.5, 4.0, 70.0]),
        rng.choice([0.0, 1.0, 50.0]),
        int(MEMORY_BYTES * rng.choice([0.3, 0.6, 0.85, 0.94])),
        rng.choice([50, 200, 499]),
    )


def _steps(seed: int) -> Iterator[str]:
    rng = Random(seed)
    clock = _ScriptedClock()
    statistics = _ScriptedProcessStatistics()
    cache = _ScriptedCache()
    buffered = BufferedBytes()
    buffered.register(cache)
    limits = ResourceLimits(1.0, MEMORY_BYTES, 500)
    gate = AdmissionGate(
        GateOptions(OverloadConfig(), limits, _settings(rng), ("query", "booking", "report"), seed),
        cast(Clock, clock),
        cast(ProcessStatistics, statistics),
        buffered,
        Metrics(),
    )
    for _ in range(STEPS):
        clock.reading_ms += rng.uniform(0, 12)
        statistics.lag_ms = rng.choice([0.0, 0.0, 3.0, 90.0])
        statistics.cpu = rng.choice([0.1, 0.6, 1.2])
        cache.retained_bytes += rng.choice([0, 0, 3 * 1024 * 1024])
        match rng.randrange(10):
            case 0 | 1 | 2:
                reading = _reading(rng)
                gate.on_reading(reading)
                state = f"{gate.may_reject()} {buffered.total_bytes} {statistics.trims}"
                yield f"reading {render(reading)} -> {state}"
            case 3:
                answers = (
                    gate.rejects_all(),
                    gate.has_max_priority("booking"),
                    gate.has_max_priority("report"),
                )
                yield f"asked -> {render(answers)}"
            case 4:
                rejection = gate.reject(rng.randrange(3), rng.choice(list(RejectionReason)))
                yield f"turned away -> {render(rejection)}"
            case 5:
                gate.set_process_count(rng.choice([1, 2]))
            case _:
                arguments = (rng.randrange(3), rng.randrange(3), rng.choice([300, 4000, 90_000]))
                yield f"{clock.reading_ms!r} {arguments} -> {render(gate.admit(*arguments))}"


def gate_steps() -> Iterator[str]:
    """The steps of the trace."""
    for seed in SEEDS:
        yield from _steps(seed)
