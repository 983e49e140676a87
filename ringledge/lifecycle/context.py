"""The objects that all components share, created before the first component."""

from __future__ import annotations

import random
from dataclasses import dataclass

import anyio.abc

from ringledge.core.clock import Clock
from ringledge.core.conductor import Conductor
from ringledge.lifecycle.config import Config
from ringledge.lifecycle.fronts import Fronts
from ringledge.lifecycle.handover_channel import Predecessor
from ringledge.lifecycle.shutdown import Shutdown
from ringledge.memory.operator_overrides import OperatorOverrides
from ringledge.memory.server_list import ServerList
from ringledge.observe.metrics import Metrics
from ringledge.routing.interface import EndpointUpdateKind
from ringledge.wire.discovery.watcher import DiscoveryClient
from ringledge.wire.servers.context import UpstreamContext
from ringledge.wire.servers.upstream import Upstream


@dataclass(frozen=True, slots=True, eq=False)
class ProgramContext:
    """The conductor, and the servers, fronts, metrics and configuration that it works with."""

    config: Config
    tasks: anyio.abc.TaskGroup  # runs until the program ends
    metrics: Metrics
    servers: ServerList
    upstream: Upstream
    conductor: Conductor
    operator_overrides: OperatorOverrides
    discovery: DiscoveryClient
    fronts: Fronts
    shutdown: Shutdown


def create_context(config: Config, tasks: anyio.abc.TaskGroup, predecessor: Predecessor) -> ProgramContext:
    """Create the conductor and the objects that it works with, without starting anything.

    Listening sockets and the clock's offset are inherited from the predecessor, if there is one.
    """
    settings, names = config.settings, config.names
    metrics = Metrics()
    servers = ServerList(settings.kinds)
    clock = Clock(predecessor.clock_offset_ms)
    fronts = Fronts(config, metrics, predecessor.listeners)
    upstream = Upstream(
        UpstreamContext(
            tasks=tasks,
            servers=servers,
            names=names,
            max_connections=fronts.max_upstream_sockets,
            configured_hold_limit_ms=settings.release_within_ms,
            zone=settings.zone,
            clock=clock,
            metrics=metrics,
        )
    )
    conductor = Conductor(settings, config.seed, clock, servers, metrics, upstream)
    upstream.conductor = conductor
    overrides = OperatorOverrides(config.folder, config.name, config.fingerprint, conductor.override_server)
    overrides.load()  # before the first request is forwarded
    discovery = DiscoveryClient(config.discovery, names, conductor, random.Random(config.seed))
    discovery.apply(config.known_endpoints, EndpointUpdateKind.PERSISTED)
    return ProgramContext(
        config=config,
        tasks=tasks,
        metrics=metrics,
        servers=servers,
        upstream=upstream,
        conductor=conductor,
        operator_overrides=overrides,
        discovery=discovery,
        fronts=fronts,
        shutdown=Shutdown(),
    )
