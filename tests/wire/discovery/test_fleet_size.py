"""A change of one endpoint takes no more work in a large fleet, from discovery to the policy."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import cast

import anyio
import msgspec
import pytest

from ringledge.core.clock import Clock
from ringledge.core.conductor import Conductor
from ringledge.core.server_port import ServerTransport
from ringledge.decide.servers.reachability import Reachability
from ringledge.lifecycle.config import WireNames
from ringledge.memory.endpoint_list import Endpoint, EndpointListing
from ringledge.memory.server_list import ServerList
from ringledge.observe.metrics import Metrics
from ringledge.wire.discovery.watcher import DiscoveryClient
from tests.router_harness import SETTINGS
from tests.work_counter import LARGE, assert_work_bounded, instructions

MAX_LINE_BYTES = 4_096  # that a pipe has room for if it polls as writable
NAMES = WireNames(("east",), ("prefill", "decode", "mixed"), (), (), 30.0, 0.25, 0.0)


class RecordingTransport:
    """The part of the transport that changes of the list use."""

    def __init__(self, servers: ServerList) -> None:
        self.reachability, self._servers = Reachability(0), servers

    def endpoints_changed(self, names: Iterable[str], is_whole: bool) -> None:
        entries = self._servers.entries
        if is_whole:
            self.reachability.update_servers((name, entry.zone) for name, entry in entries.items())
        for name in names:
            self.reachability.update_server(name, entries[name].zone if name in entries else None)

    def unreachable_servers(self) -> frozenset[str]:
        return frozenset()


def endpoint(number: int, status: str = "active") -> Endpoint:
    kind = ("prefill", "decode")[number % 2]
    return Endpoint(f"s{number}", "east", kind, number // 5, status, "127.0.0.1:9")


def discovery_of(size: int) -> DiscoveryClient:
    """Discovery's client of a router that has received a whole list."""
    servers = ServerList(SETTINGS.kinds)
    transport = cast(ServerTransport, RecordingTransport(servers))
    conductor = Conductor(SETTINGS, 1, Clock(), servers, Metrics(), transport)
    client = DiscoveryClient("", NAMES, conductor, random.Random(1))
    client.apply(EndpointListing(1, True, tuple(endpoint(number) for number in range(size))))
    return client


async def work_of_change(size: int, changed: Endpoint, limit: float) -> int:
    client = discovery_of(size)
    return instructions(lambda: client.apply(EndpointListing(2, False, (changed,))), limit)


@pytest.mark.parametrize("status", ["leaving", "left", "new"])
@pytest.mark.parametrize("size", LARGE)
def test_work_of_a_change_of_one_endpoint_does_not_grow_with_the_fleet(size: int, status: str) -> None:
    changed = endpoint(99_999) if status == "new" else endpoint(3, status)
    assert_work_bounded(size, lambda servers, limit: anyio.run(work_of_change, servers, changed, limit))


async def receive_starts(size: int) -> None:
    started = tuple(msgspec.structs.replace(endpoint(n), since_ms=1e12 + n) for n in range(size))
    discovery_of(1).apply(EndpointListing(2, True, started))


def test_log_line_of_a_list_names_few_servers(capfd: pytest.CaptureFixture[str]) -> None:
    anyio.run(receive_starts, 3_200)
    assert max(map(len, capfd.readouterr().err.splitlines())) < MAX_LINE_BYTES
