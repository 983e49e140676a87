"""Ages of servers where this machine's wall clock is wrong: they come from discovery's machine's own."""

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
from ringledge.memory.names import Names
from ringledge.memory.server_list import ServerList
from ringledge.observe.metrics import Metrics
from ringledge.routing.interface import (
    Idempotency,
    RequestClass,
    Role,
    RouterSettings,
    ServerKind,
)
from ringledge.wire.discovery.watcher import Discovery

HOUR_MS = 3_600_000.0
WARM_MS = 13_000.0
KINDS = (ServerKind(Role.DECODE),)
NAMES = Names(("east",), ("decode",), ("query",), (), 30.0, 0.25, 0.0)
SETTINGS = RouterSettings(
    (RequestClass(1200, 5000, Idempotency.IDEMPOTENT),), KINDS, cold_capacity=0.28, warm_after_ms=WARM_MS
)


class Rig:
    """A conductor whose machine's wall clock is wrong by so much, and its list."""

    def __init__(self, wrong_ms: float) -> None:
        clock, servers = Clock(), ServerList(KINDS)
        clock._offset_ms += wrong_ms
        port: Any = SimpleNamespace(endpoints_changed=lambda: None, unreachable_servers=frozenset)
        self.conductor = Conductor(SETTINGS, 1, clock, servers, Metrics(), port)
        self.discovery = Discovery("127.0.0.1:9", NAMES, self.conductor, random.Random(1))

    def told(self, snapshot: bool, **since_ms: float) -> None:
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


def true_ms() -> float:
    """What discovery's clock says now."""
    return time.time() * 1000


async def of_a_start_that_is_told(wrong_ms: float, ago_ms: float) -> float:
    rig = Rig(wrong_ms)
    rig.told(True, old=0)
    rig.told(False, new=true_ms() - ago_ms)
    return rig.warmth("new")


@pytest.mark.parametrize("wrong_ms", [0.0, HOUR_MS, -HOUR_MS, -5_000.0])
def test_a_server_that_has_just_started_is_cold(wrong_ms: float) -> None:
    assert anyio.run(of_a_start_that_is_told, wrong_ms, 500.0) < 0.4


async def of_a_list_at_the_start(wrong_ms: float) -> tuple[float, float]:
    rig = Rig(wrong_ms)
    now_ms = true_ms()
    rig.told(True, young=now_ms - 1000.0, warm=now_ms - 2 * WARM_MS)
    return rig.warmth("young"), rig.warmth("warm")


@pytest.mark.parametrize("wrong_ms", [0.0, -HOUR_MS])
def test_a_clock_that_is_behind_leaves_no_server_cold_for_long(wrong_ms: float) -> None:
    """By it they would all start in an hour."""
    young, warm = anyio.run(of_a_list_at_the_start, wrong_ms)
    assert young < 0.5 and warm == 1.0


async def late_list() -> float:
    rig = Rig(0.0)
    rig.told(True, old=0)
    rig.told(False, new=true_ms() - 4000.0)
    return rig.warmth("new")


def test_a_list_that_comes_late_makes_no_server_younger() -> None:
    assert anyio.run(late_list) > 0.28 + 0.72 * 4000 / WARM_MS - 0.02


async def of_one_that_returns(gone_ms: float) -> float:
    rig = Rig(0.0)
    started_ms = true_ms() - 2 * WARM_MS
    rig.told(True, old=0, returns=started_ms)
    rig.told(True, old=0)
    rig.conductor.clock._offset_ms += gone_ms
    rig.told(False, returns=started_ms)
    return rig.warmth("returns")


def test_a_server_that_left_the_list_and_returns_without_a_new_start_is_warm() -> None:
    assert anyio.run(of_one_that_returns, 8_000.0) == 1.0
