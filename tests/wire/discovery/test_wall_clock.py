"""The ages of servers follow discovery's clock if this machine's wall clock is wrong."""

from __future__ import annotations

import json
import random
import time
from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from ringledge.core.clock import Clock
from ringledge.core.conductor import Conductor
from ringledge.memory.endpoint_list import decode
from ringledge.memory.names import WireNames
from ringledge.memory.server_list import ServerList
from ringledge.observe.metrics import Metrics
from ringledge.routing.interface import (
    Idempotency,
    RequestClass,
    Role,
    RouterSettings,
    ServerKind,
)
from ringledge.wire.discovery.watcher import DiscoveryClient

HOUR_MS = 3_600_000.0
WARM_MS = 13_000.0
KINDS = (ServerKind(Role.DECODE),)
NAMES = WireNames(("east",), ("decode",), ("query",), (), 30.0, 0.25, 0.0)
SETTINGS = RouterSettings(
    (RequestClass(1200, 5000, Idempotency.IDEMPOTENT),), KINDS, cold_capacity=0.28, warm_after_ms=WARM_MS
)


class WarmupHarness:
    """A conductor whose wall clock has an error, and its discovery client."""

    def __init__(self, clock_error_ms: float) -> None:
        clock, servers = Clock(), ServerList(KINDS)
        clock._offset_ms += clock_error_ms
        port: Any = SimpleNamespace(endpoints_changed=lambda *_: None, unreachable_servers=frozenset)
        self.conductor = Conductor(SETTINGS, 1, clock, servers, Metrics(), port)
        self.discovery = DiscoveryClient("127.0.0.1:9", NAMES, self.conductor, random.Random(1))

    def receive_list(self, snapshot: bool, **since_ms: float) -> None:
        entries = [
            {"name": name, "address": "127.0.0.1:9", "zone": "east", "type": "decode", "group": 1,
             "status": "active", "since_ms": at_ms}
            for name, at_ms in since_ms.items()
        ]  # fmt: skip
        self.discovery.apply(
            decode(json.dumps({"index": 1, "snapshot": snapshot, "endpoints": entries}).encode())
        )

    def warmth(self, server: str) -> float:
        policy = self.conductor.policy
        return policy.fleet.warmth(policy.fleet.servers[server], self.conductor.clock.now_ms())


def discovery_now_ms() -> float:
    """The current time on discovery's clock, which is correct."""
    return time.time() * 1000


async def warmth_after_reported_start(clock_error_ms: float, age_ms: float) -> float:
    harness = WarmupHarness(clock_error_ms)
    harness.receive_list(True, old=0)
    harness.receive_list(False, new=discovery_now_ms() - age_ms)
    return harness.warmth("new")


@pytest.mark.parametrize("clock_error_ms", [0.0, HOUR_MS, -HOUR_MS, -5_000.0])
def test_server_that_just_started_is_warming_up(clock_error_ms: float) -> None:
    assert anyio.run(warmth_after_reported_start, clock_error_ms, 500.0) < 0.4


async def warmth_after_first_list(clock_error_ms: float) -> tuple[float, float]:
    harness = WarmupHarness(clock_error_ms)
    now_ms = discovery_now_ms()
    harness.receive_list(True, young=now_ms - 1000.0, warm=now_ms - 2 * WARM_MS)
    return harness.warmth("young"), harness.warmth("warm")


@pytest.mark.parametrize("clock_error_ms", [0.0, -HOUR_MS])
def test_slow_clock_does_not_prolong_the_warm_up(clock_error_ms: float) -> None:
    """Guards against start times in the future: by the slow clock all servers start in an hour."""
    young, warm = anyio.run(warmth_after_first_list, clock_error_ms)
    assert young < 0.5 and warm == 1.0


async def warmth_after_late_report() -> float:
    harness = WarmupHarness(0.0)
    harness.receive_list(True, old=0)
    harness.receive_list(False, new=discovery_now_ms() - 4000.0)
    return harness.warmth("new")


def test_late_report_does_not_make_a_server_younger() -> None:
    assert anyio.run(warmth_after_late_report) > 0.28 + 0.72 * 4000 / WARM_MS - 0.02


async def warmth_after_return(absence_ms: float) -> float:
    harness = WarmupHarness(0.0)
    started_ms = discovery_now_ms() - 2 * WARM_MS
    harness.receive_list(True, old=0, returns=started_ms)
    harness.receive_list(True, old=0)
    harness.conductor.clock._offset_ms += absence_ms
    harness.receive_list(False, returns=started_ms)
    return harness.warmth("returns")


def test_server_that_returns_without_a_new_start_is_warm() -> None:
    assert anyio.run(warmth_after_return, 8_000.0) == 1.0
